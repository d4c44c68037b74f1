//! Bodies, as octets come and go: a state machine that finds a body's end however the octets are split, and one that
//! frames a body anew (RFC 9112 sections 6 and 7).

use crate::http::{Bad, Field, Framing};
use std::io::Write;

/// What extensions take at most, in octets: of one chunk, and of all chunks of a body together.
const EXTENSION_MOST: usize = 256;
const EXTENSIONS_MOST: usize = 16 * 1024;
const TRAILERS_MOST: usize = 4 * 1024;
const TRAILER_FIELDS: usize = 32;
/// Digits of a chunk's size: enough for any size that can be counted to, leading zeros included.
const DIGITS_MOST: u8 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many octets are left.
    Length(u64),
    Close,
    Size {
        value: u64,
        digits: u8,
    },
    Extension {
        length: usize,
    },
    SizeEnd,
    Data(u64),
    DataReturn,
    DataEnd,
    Trailers,
    Done,
}

/// Finds a body's end.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    /// The size of the chunk that begins.
    size: u64,
    extensions: usize,
    trailers: Vec<u8>,
    fields: Vec<Field>,
}

impl Decoder {
    /// For a body framed so.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size { value: 0, digits: 0 },
            Framing::Close => State::Close,
        };
        Self { state, size: 0, extensions: 0, trailers: Vec::new(), fields: Vec::new() }
    }

    /// Whether the body is whole.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the octets of the body come bare, without any framing between them.
    pub fn bare(&self) -> bool {
        matches!(self.state, State::Length(_) | State::Close)
    }

    /// The fields that came after the body.
    pub fn trailers(&mut self) -> Vec<Field> {
        std::mem::take(&mut self.fields)
    }

    /// Takes framing up to the next octet of the body or its end; tells how much that was.
    pub fn skip(&mut self, input: &[u8]) -> Result<usize, Bad> {
        for (at, octet) in input.iter().enumerate() {
            self.state = match (self.state, *octet) {
                (State::Length(_) | State::Close | State::Data(_) | State::Done, _) => return Ok(at),
                (State::Size { value, digits }, octet) => match (octet as char).to_digit(16) {
                    Some(digit) => {
                        if digits == DIGITS_MOST || value > (i64::MAX as u64) >> 4 {
                            return Err(Bad::ChunkSize);
                        }
                        State::Size { value: value << 4 | u64::from(digit), digits: digits + 1 }
                    }
                    None if digits == 0 => return Err(Bad::ChunkSize),
                    None => {
                        self.size = value;
                        match octet {
                            b'\r' => State::SizeEnd,
                            b';' | b' ' | b'\t' => State::Extension { length: 1 },
                            _ => return Err(Bad::ChunkSize),
                        }
                    }
                },
                (State::Extension { .. }, b'\r') => State::SizeEnd,
                (State::Extension { .. }, b'\n' | 0) => return Err(Bad::Extension),
                (State::Extension { length }, _) => {
                    self.extensions += 1;
                    if length == EXTENSION_MOST || self.extensions > EXTENSIONS_MOST {
                        return Err(Bad::Extension);
                    }
                    State::Extension { length: length + 1 }
                }
                (State::SizeEnd, b'\n') => {
                    if self.size == 0 {
                        State::Trailers
                    } else {
                        State::Data(self.size)
                    }
                }
                (State::DataReturn, b'\r') => State::DataEnd,
                (State::DataEnd, b'\n') => State::Size { value: 0, digits: 0 },
                (State::SizeEnd | State::DataReturn | State::DataEnd, _) => return Err(Bad::Chunk),
                (State::Trailers, octet) => {
                    self.trailers.push(octet);
                    if self.trailers == b"\r\n" || self.trailers.ends_with(b"\r\n\r\n") {
                        self.fields = fields(&self.trailers)?;
                        self.trailers = Vec::new();
                        self.state = State::Done;
                        return Ok(at + 1);
                    }
                    if self.trailers.len() >= TRAILERS_MOST {
                        return Err(Bad::Trailer);
                    }
                    State::Trailers
                }
            };
        }
        Ok(input.len())
    }

    /// How many of so many octets, after what was skipped, are the body's.
    pub fn available(&self, length: usize) -> usize {
        match self.state {
            State::Length(left) | State::Data(left) => left.min(length as u64) as usize,
            State::Close => length,
            _ => 0,
        }
    }

    /// So many octets of the body were taken.
    pub fn took(&mut self, octets: usize) {
        self.state = match self.state {
            State::Length(left) if left == octets as u64 => State::Done,
            State::Length(left) => State::Length(left - octets as u64),
            State::Data(left) if left == octets as u64 => State::DataReturn,
            State::Data(left) => State::Data(left - octets as u64),
            other => other,
        };
    }

    /// The sender sends no more; whether the body is whole.
    pub fn ended(&mut self) -> bool {
        if self.state == State::Close {
            self.state = State::Done;
        }
        self.done()
    }
}

/// Fields that would change how a message is read have no place after its body (RFC 9110 section 6.5.1).
const NOT_AFTER: [&str; 9] = [
    "content-length",
    "transfer-encoding",
    "host",
    "connection",
    "trailer",
    "te",
    "content-encoding",
    "content-type",
    "content-range",
];

fn fields(octets: &[u8]) -> Result<Vec<Field>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; TRAILER_FIELDS];
    match httparse::parse_headers(octets, &mut fields) {
        Ok(httparse::Status::Complete((_, fields))) => {
            let stays = |name: &str| !NOT_AFTER.iter().any(|own| name.eq_ignore_ascii_case(own));
            let kept = fields.iter().filter(|field| stays(field.name));
            Ok(kept.map(|field| (field.name.to_owned(), field.value.to_vec())).collect())
        }
        _ => Err(Bad::Trailer),
    }
}

/// Frames a body.
#[derive(Clone, Debug)]
pub struct Encoder {
    framing: Framing,
    /// Octets that are still owed, where their number was told.
    owed: u64,
}

impl Encoder {
    /// Frames it so.
    pub fn new(framing: Framing) -> Self {
        Self { framing, owed: if let Framing::Length(length) = framing { length } else { 0 } }
    }

    /// Whether octets of the body go out bare, without any framing between them.
    pub fn bare(&self) -> bool {
        matches!(self.framing, Framing::Length(_) | Framing::Close)
    }

    /// So many octets went out bare.
    pub fn passed(&mut self, octets: usize) {
        self.owed = self.owed.saturating_sub(octets as u64);
    }

    /// Adds octets of the body.
    pub fn put(&mut self, data: &[u8], out: &mut Vec<u8>) {
        self.passed(data.len());
        match self.framing {
            Framing::Empty => {}
            Framing::Length(_) | Framing::Close => out.extend_from_slice(data),
            Framing::Chunked if data.is_empty() => {}
            Framing::Chunked => {
                let _ = write!(out, "{:x}\r\n", data.len());
                out.extend_from_slice(data);
                out.extend_from_slice(b"\r\n");
            }
        }
    }

    /// The body is whole; only now can it look so. False where fewer octets came than were told.
    pub fn finish(&mut self, trailers: &[Field], out: &mut Vec<u8>) -> bool {
        if self.framing == Framing::Chunked {
            out.extend_from_slice(b"0\r\n");
            for (name, value) in trailers {
                out.extend_from_slice(name.as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
            out.extend_from_slice(b"\r\n");
        }
        self.owed == 0
    }
}
