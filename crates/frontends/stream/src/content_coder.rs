//! Bodies coded and decoded as they pass (RFC 1952, RFC 8878), with bounded windows, a bounded step, and a bound on what
//! a small body may become.

use crate::http::Bad;
use flate2::write::{GzDecoder, GzEncoder};
use flate2::Compression;
use lynxtally_flow::coding::{Coding, Growth};
use std::io::Write;
use zstd::stream::raw::{Decoder as Unzstd, InBuffer, Operation, OutBuffer};
use zstd::stream::write::Encoder as Zstd;

/// What one step of decoding gives at most, in octets.
const STEP: usize = 32 * 1024;
/// Windows, as powers of two: what we code with, and the most that we decode with (RFC 9659 section 3 lets coders take
/// 23; we bound memory at a quarter of that).
const WINDOW: u32 = 17;
const WINDOW_MOST: u32 = 21;
/// Speed counts here, not the last octet.
const ZSTD_LEVEL: i32 = 1;

enum Inside {
    Plain,
    Gzip(Box<GzEncoder<Vec<u8>>>),
    Zstd(Box<Zstd<'static, Vec<u8>>>),
    Gunzip(Box<GzDecoder<Vec<u8>>>),
    Unzstd { decoder: Box<Unzstd<'static>>, whole: bool },
}

/// Codes or decodes one body.
pub struct Coder {
    inside: Inside,
    growth: Growth,
    came: u64,
    became: u64,
    /// Whether something was taken in since the last flush.
    pending: bool,
}

impl Coder {
    /// Passes octets on as they are.
    pub fn plain() -> Self {
        Self::of(Inside::Plain, Growth { ratio: f64::INFINITY, slack: u64::MAX })
    }

    fn of(inside: Inside, growth: Growth) -> Self {
        Self { inside, growth, came: 0, became: 0, pending: false }
    }

    /// Codes.
    pub fn code(coding: Coding) -> Result<Self, Bad> {
        let inside = match coding {
            Coding::Identity => Inside::Plain,
            Coding::Gzip => Inside::Gzip(Box::new(GzEncoder::new(Vec::new(), Compression::fast()))),
            Coding::Zstd => {
                let mut encoder = Zstd::new(Vec::new(), ZSTD_LEVEL).map_err(|_| Bad::Coding)?;
                encoder.window_log(WINDOW).map_err(|_| Bad::Coding)?;
                Inside::Zstd(Box::new(encoder))
            }
        };
        Ok(Self { inside, ..Self::plain() })
    }

    /// Decodes; what comes of it is bounded.
    pub fn decode(coding: Coding, growth: Growth) -> Result<Self, Bad> {
        let inside = match coding {
            Coding::Identity => Inside::Plain,
            Coding::Gzip => Inside::Gunzip(Box::new(GzDecoder::new(Vec::new()))),
            Coding::Zstd => {
                let mut decoder = Unzstd::new().map_err(|_| Bad::Coding)?;
                let bound = zstd::stream::raw::DParameter::WindowLogMax(WINDOW_MOST);
                decoder.set_parameter(bound).map_err(|_| Bad::Coding)?;
                Inside::Unzstd { decoder: Box::new(decoder), whole: true }
            }
        };
        Ok(Self::of(inside, growth))
    }

    /// Whether octets pass as they are.
    pub fn is_plain(&self) -> bool {
        matches!(self.inside, Inside::Plain)
    }

    /// One step: takes some of the octets and adds what came of them; tells how many it took.
    pub fn step(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<usize, Bad> {
        let before = out.len();
        let took = match &mut self.inside {
            Inside::Plain => {
                out.extend_from_slice(data);
                data.len()
            }
            Inside::Gzip(coder) => {
                coder.write_all(data).map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
                data.len()
            }
            Inside::Zstd(coder) => {
                coder.write_all(data).map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
                data.len()
            }
            Inside::Gunzip(decoder) => {
                let took = decoder.write(data).map_err(|_| Bad::Coded)?;
                out.append(decoder.get_mut());
                took
            }
            Inside::Unzstd { decoder, whole } => {
                out.resize(before + STEP, 0);
                let mut input = InBuffer::around(data);
                let mut output = OutBuffer::around(&mut out[before..]);
                let done = decoder.run(&mut input, &mut output);
                let (took, gave) = (input.pos(), output.pos());
                out.truncate(before + gave);
                let left = done.map_err(|_| Bad::Coded)?;
                *whole = left == 0;
                if *whole && took < data.len() {
                    // A further frame follows (RFC 8878 section 3.1).
                    decoder.reinit().map_err(|_| Bad::Coded)?;
                }
                took
            }
        };
        if took == 0 && out.len() == before && !data.is_empty() {
            return Err(Bad::Coded);
        }
        self.pending = true;
        (self.came, self.became) = (self.came + took as u64, self.became + (out.len() - before) as u64);
        match self.growth.allows(self.came, self.became) {
            true => Ok(took),
            false => Err(Bad::Bomb),
        }
    }

    /// Adds what it holds back, so that a slow trickle goes on.
    pub fn flush(&mut self, out: &mut Vec<u8>) -> Result<(), Bad> {
        if !std::mem::take(&mut self.pending) {
            return Ok(());
        }
        match &mut self.inside {
            Inside::Gzip(coder) => {
                coder.flush().map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
            }
            Inside::Zstd(coder) => {
                coder.flush().map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
            }
            Inside::Gunzip(decoder) => {
                decoder.flush().map_err(|_| Bad::Coded)?;
                out.append(decoder.get_mut());
            }
            Inside::Unzstd { .. } | Inside::Plain => {}
        }
        Ok(())
    }

    /// The body is whole: adds the rest. An error where its coding says that it is not.
    pub fn finish(&mut self, out: &mut Vec<u8>) -> Result<(), Bad> {
        match &mut self.inside {
            Inside::Plain => {}
            Inside::Gzip(coder) => {
                coder.try_finish().map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
            }
            Inside::Zstd(coder) => {
                coder.do_finish().map_err(|_| Bad::Coded)?;
                out.append(coder.get_mut());
            }
            Inside::Gunzip(decoder) => {
                decoder.try_finish().map_err(|_| Bad::Coded)?;
                out.append(decoder.get_mut());
            }
            Inside::Unzstd { whole, .. } => {
                if !*whole {
                    return Err(Bad::Coded);
                }
            }
        }
        Ok(())
    }
}
