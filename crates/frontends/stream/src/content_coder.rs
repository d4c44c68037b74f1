//! Streaming content coding of a body: gzip (RFC 1952) and zstd (RFC 8878), encoded or decoded step by step.
//!
//! Memory is limited in three ways: by the window of the coding, by the output of one step, and by a limit on
//! how far a body may grow when it is decoded, so that a small body cannot expand without end (a
//! decompression bomb).

use crate::http::MessageError;
use flate2::write::{GzDecoder, GzEncoder};
use flate2::Compression;
use lynxtally_flow::coding::{Coding, GrowthLimit};
use std::io::Write;
use zstd::stream::raw::{DParameter, Decoder as RawZstdDecoder, InBuffer, Operation, OutBuffer};
use zstd::stream::write::Encoder as ZstdEncoder;

/// The most bytes that one step of zstd decoding produces.
const MAX_STEP_BYTES: usize = 32 * 1024;

/// The zstd window for encoding, as a power of two.
const ENCODE_WINDOW_LOG: u32 = 17;

/// The largest zstd window that is accepted for decoding, as a power of two. RFC 9659 section 3 allows
/// encoders 23; a quarter of that bounds the memory of a decoder.
const MAX_DECODE_WINDOW_LOG: u32 = 21;

/// The fastest level: encoding time matters more to a proxy than the best ratio.
const ZSTD_LEVEL: i32 = 1;

/// A growth limit that allows everything.
const UNLIMITED_GROWTH: GrowthLimit =
    GrowthLimit { max_ratio: f64::INFINITY, always_allowed_bytes: u64::MAX };

enum Transform {
    Identity,
    GzipEncode(Box<GzEncoder<Vec<u8>>>),
    ZstdEncode(Box<ZstdEncoder<'static, Vec<u8>>>),
    GzipDecode(Box<GzDecoder<Vec<u8>>>),
    ZstdDecode(ZstdDecoder),
}

/// Encodes one body in a content coding, decodes it, or passes it through unchanged.
pub struct ContentCoder {
    transform: Transform,
    growth_limit: GrowthLimit,
    input_bytes: u64,
    output_bytes: u64,
    /// Whether input was taken since the last flush.
    needs_flush: bool,
}

impl ContentCoder {
    /// Creates a coder that passes bytes through unchanged.
    pub fn identity() -> Self {
        Self::new(Transform::Identity, UNLIMITED_GROWTH)
    }

    /// Creates a coder that encodes a body.
    ///
    /// # Errors
    /// [`MessageError::UnsupportedCoding`] if the library rejects the parameters.
    pub fn encoder(coding: Coding) -> Result<Self, MessageError> {
        let transform = match coding {
            Coding::Identity => Transform::Identity,
            Coding::Gzip => Transform::GzipEncode(Box::new(GzEncoder::new(Vec::new(), Compression::fast()))),
            Coding::Zstd => {
                let mut encoder =
                    ZstdEncoder::new(Vec::new(), ZSTD_LEVEL).map_err(|_| MessageError::UnsupportedCoding)?;
                encoder.window_log(ENCODE_WINDOW_LOG).map_err(|_| MessageError::UnsupportedCoding)?;
                Transform::ZstdEncode(Box::new(encoder))
            }
        };
        Ok(Self::new(transform, UNLIMITED_GROWTH))
    }

    /// Creates a coder that decodes a body, which may grow only as far as `growth_limit` allows.
    ///
    /// # Errors
    /// [`MessageError::UnsupportedCoding`] if the library rejects the parameters.
    pub fn decoder(coding: Coding, growth_limit: GrowthLimit) -> Result<Self, MessageError> {
        let transform = match coding {
            Coding::Identity => Transform::Identity,
            Coding::Gzip => Transform::GzipDecode(Box::new(GzDecoder::new(Vec::new()))),
            Coding::Zstd => Transform::ZstdDecode(ZstdDecoder::new()?),
        };
        Ok(Self::new(transform, growth_limit))
    }

    fn new(transform: Transform, growth_limit: GrowthLimit) -> Self {
        Self { transform, growth_limit, input_bytes: 0, output_bytes: 0, needs_flush: false }
    }

    /// Whether bytes pass through unchanged.
    pub fn is_identity(&self) -> bool {
        matches!(self.transform, Transform::Identity)
    }

    /// Encodes or decodes a part of `data`, appends the result to `out`, and returns how many bytes of `data` were
    /// taken.
    ///
    /// # Errors
    /// [`MessageError::CorruptCoding`] if the data is not valid in its coding,
    /// [`MessageError::ExpandsTooFar`] if the body grows beyond its limit.
    pub fn step(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<usize, MessageError> {
        let length_before = out.len();
        let taken = self.transform.step(data, out)?;
        let produced = out.len() - length_before;
        // A decoder that neither takes nor produces anything would be called forever.
        if taken == 0 && produced == 0 && !data.is_empty() {
            return Err(MessageError::CorruptCoding);
        }
        self.needs_flush = true;
        self.input_bytes += taken as u64;
        self.output_bytes += produced as u64;
        if self.growth_limit.allows(self.input_bytes, self.output_bytes) {
            Ok(taken)
        } else {
            Err(MessageError::ExpandsTooFar)
        }
    }

    /// Appends what the coder holds back, so that a slow body reaches its receiver before it ends.
    ///
    /// # Errors
    /// [`MessageError::CorruptCoding`] if the data so far is not valid in its coding.
    pub fn flush(&mut self, out: &mut Vec<u8>) -> Result<(), MessageError> {
        if !self.needs_flush {
            return Ok(());
        }
        self.needs_flush = false;
        match &mut self.transform {
            Transform::GzipEncode(encoder) => {
                encoder.flush().map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
            }
            Transform::ZstdEncode(encoder) => {
                encoder.flush().map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
            }
            Transform::GzipDecode(decoder) => {
                decoder.flush().map_err(|_| MessageError::CorruptCoding)?;
                out.append(decoder.get_mut());
            }
            Transform::ZstdDecode(_) | Transform::Identity => {}
        }
        Ok(())
    }

    /// Appends the rest of the output at the end of the body.
    ///
    /// # Errors
    /// [`MessageError::CorruptCoding`] if the body ends in the middle of its coding.
    pub fn finish(&mut self, out: &mut Vec<u8>) -> Result<(), MessageError> {
        match &mut self.transform {
            Transform::Identity => {}
            Transform::GzipEncode(encoder) => {
                encoder.try_finish().map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
            }
            Transform::ZstdEncode(encoder) => {
                encoder.do_finish().map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
            }
            Transform::GzipDecode(decoder) => {
                decoder.try_finish().map_err(|_| MessageError::CorruptCoding)?;
                out.append(decoder.get_mut());
            }
            Transform::ZstdDecode(decoder) => {
                if !decoder.at_frame_end {
                    return Err(MessageError::CorruptCoding);
                }
            }
        }
        Ok(())
    }
}

impl Transform {
    fn step(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<usize, MessageError> {
        match self {
            Self::Identity => {
                out.extend_from_slice(data);
                Ok(data.len())
            }
            Self::GzipEncode(encoder) => {
                encoder.write_all(data).map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
                Ok(data.len())
            }
            Self::ZstdEncode(encoder) => {
                encoder.write_all(data).map_err(|_| MessageError::CorruptCoding)?;
                out.append(encoder.get_mut());
                Ok(data.len())
            }
            Self::GzipDecode(decoder) => {
                let taken = decoder.write(data).map_err(|_| MessageError::CorruptCoding)?;
                out.append(decoder.get_mut());
                Ok(taken)
            }
            Self::ZstdDecode(decoder) => decoder.step(data, out),
        }
    }
}

/// A zstd decoder with a limited window and limited output per step.
struct ZstdDecoder {
    decoder: Box<RawZstdDecoder<'static>>,
    /// Whether the input so far ends with a complete frame, or is empty.
    at_frame_end: bool,
}

impl ZstdDecoder {
    fn new() -> Result<Self, MessageError> {
        let mut decoder = RawZstdDecoder::new().map_err(|_| MessageError::UnsupportedCoding)?;
        let max_window = DParameter::WindowLogMax(MAX_DECODE_WINDOW_LOG);
        decoder.set_parameter(max_window).map_err(|_| MessageError::UnsupportedCoding)?;
        Ok(Self { decoder: Box::new(decoder), at_frame_end: true })
    }

    fn step(&mut self, data: &[u8], out: &mut Vec<u8>) -> Result<usize, MessageError> {
        let length_before = out.len();
        out.resize(length_before + MAX_STEP_BYTES, 0);
        let mut input = InBuffer::around(data);
        let mut output = OutBuffer::around(&mut out[length_before..]);
        let result = self.decoder.run(&mut input, &mut output);
        let taken = input.pos();
        let produced = output.pos();
        out.truncate(length_before + produced);
        let expected_bytes = result.map_err(|_| MessageError::CorruptCoding)?;
        self.at_frame_end = expected_bytes == 0;
        if self.at_frame_end && taken < data.len() {
            // Another frame follows (RFC 8878 section 3.1).
            self.decoder.reinit().map_err(|_| MessageError::CorruptCoding)?;
        }
        Ok(taken)
    }
}
