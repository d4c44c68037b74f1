//! Framing of message bodies (RFC 9112 sections 6 and 7): a decoder that finds the end of a body however its
//! bytes are split into reads, and an encoder that frames a body for its receiver.

use crate::http::{Field, Framing, MessageError};
use std::io::Write;

/// The longest extension of one chunk.
const MAX_EXTENSION_BYTES: usize = 256;

/// The most bytes in the extensions of all chunks of a body together. It is limited so that a body
/// cannot consist mainly of extensions, which are read and dropped.
const MAX_TOTAL_EXTENSION_BYTES: usize = 16 * 1024;

/// The largest trailer section.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// The most fields in a trailer section.
const MAX_TRAILER_FIELDS: usize = 32;

/// The most digits of a chunk size, leading zeros included: enough for any 64-bit size.
const MAX_SIZE_DIGITS: u8 = 16;

/// The largest chunk size to which one more hexadecimal digit can be added without overflow.
const MAX_SIZE_BEFORE_DIGIT: u64 = (i64::MAX as u64) >> 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Inside a body of known length, with this many bytes left.
    Length(u64),
    /// Inside a body that ends when its connection does.
    UntilClose,
    /// Inside the size of a chunk.
    ChunkSize { value: u64, digits: u8 },
    /// Inside the extensions of a chunk, after its size.
    Extension { length: usize },
    /// Before the line feed that ends the size line of a chunk.
    SizeLineFeed,
    /// Inside the data of a chunk, with this many bytes left.
    ChunkData(u64),
    /// Before the carriage return after the data of a chunk.
    DataCarriageReturn,
    /// Before the line feed after the data of a chunk.
    DataLineFeed,
    /// Inside the trailer section.
    Trailers,
    /// After the end of the body.
    Done,
}

/// Finds the end of a body, and separates the bytes of the body from those of its framing.
///
/// Its caller alternates between [`skip_framing`](Self::skip_framing) and [`consume`](Self::consume).
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    /// The size of the current chunk.
    chunk_size: u64,
    /// Bytes of the extensions of all chunks so far.
    total_extension_bytes: usize,
    trailer_bytes: Vec<u8>,
    trailers: Vec<Field>,
}

impl BodyDecoder {
    /// Creates a decoder for a body in this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize { value: 0, digits: 0 },
            Framing::Close => State::UntilClose,
        };
        Self {
            state,
            chunk_size: 0,
            total_extension_bytes: 0,
            trailer_bytes: Vec::new(),
            trailers: Vec::new(),
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the bytes of the body arrive without framing in between.
    pub fn is_unframed(&self) -> bool {
        matches!(self.state, State::Length(_) | State::UntilClose)
    }

    /// Takes the fields of the trailer section out of the decoder.
    pub fn take_trailers(&mut self) -> Vec<Field> {
        std::mem::take(&mut self.trailers)
    }

    /// Reads framing up to the next byte of the body, or to the end of the body, and returns the number of
    /// bytes read.
    ///
    /// # Errors
    /// What is wrong with the framing, or which limit it exceeds.
    pub fn skip_framing(&mut self, input: &[u8]) -> Result<usize, MessageError> {
        for (position, &byte) in input.iter().enumerate() {
            if matches!(self.state, State::Length(_) | State::UntilClose | State::ChunkData(_) | State::Done)
            {
                return Ok(position);
            }
            self.state = self.state_after(byte)?;
        }
        Ok(input.len())
    }

    /// The state after a byte of framing.
    fn state_after(&mut self, byte: u8) -> Result<State, MessageError> {
        match (self.state, byte) {
            (State::ChunkSize { value, digits }, _) => self.state_after_size_byte(value, digits, byte),
            (State::Extension { .. }, b'\r') => Ok(State::SizeLineFeed),
            (State::Extension { .. }, b'\n' | 0) => Err(MessageError::InvalidExtension),
            (State::Extension { length }, _) => self.state_after_extension_byte(length),
            (State::SizeLineFeed, b'\n') if self.chunk_size == 0 => Ok(State::Trailers),
            (State::SizeLineFeed, b'\n') => Ok(State::ChunkData(self.chunk_size)),
            (State::DataCarriageReturn, b'\r') => Ok(State::DataLineFeed),
            (State::DataLineFeed, b'\n') => Ok(State::ChunkSize { value: 0, digits: 0 }),
            (State::SizeLineFeed | State::DataCarriageReturn | State::DataLineFeed, _) => {
                Err(MessageError::InvalidChunk)
            }
            (State::Trailers, _) => self.state_after_trailer_byte(byte),
            (State::Length(_) | State::UntilClose | State::ChunkData(_) | State::Done, _) => Ok(self.state),
        }
    }

    fn state_after_size_byte(&mut self, value: u64, digits: u8, byte: u8) -> Result<State, MessageError> {
        if let Some(digit) = (byte as char).to_digit(16) {
            if digits == MAX_SIZE_DIGITS || value > MAX_SIZE_BEFORE_DIGIT {
                return Err(MessageError::InvalidChunkSize);
            }
            return Ok(State::ChunkSize { value: value << 4 | u64::from(digit), digits: digits + 1 });
        }
        if digits == 0 {
            return Err(MessageError::InvalidChunkSize);
        }
        self.chunk_size = value;
        match byte {
            b'\r' => Ok(State::SizeLineFeed),
            b';' | b' ' | b'\t' => Ok(State::Extension { length: 1 }),
            _ => Err(MessageError::InvalidChunkSize),
        }
    }

    fn state_after_extension_byte(&mut self, length: usize) -> Result<State, MessageError> {
        self.total_extension_bytes += 1;
        if length == MAX_EXTENSION_BYTES || self.total_extension_bytes > MAX_TOTAL_EXTENSION_BYTES {
            return Err(MessageError::InvalidExtension);
        }
        Ok(State::Extension { length: length + 1 })
    }

    fn state_after_trailer_byte(&mut self, byte: u8) -> Result<State, MessageError> {
        self.trailer_bytes.push(byte);
        if self.trailer_bytes == b"\r\n" || self.trailer_bytes.ends_with(b"\r\n\r\n") {
            self.trailers = parse_trailers(&self.trailer_bytes)?;
            self.trailer_bytes = Vec::new();
            return Ok(State::Done);
        }
        if self.trailer_bytes.len() >= MAX_TRAILER_BYTES {
            return Err(MessageError::InvalidTrailer);
        }
        Ok(State::Trailers)
    }

    /// How many of the next `length` bytes after the skipped framing belong to the body.
    pub fn available(&self, length: usize) -> usize {
        match self.state {
            State::Length(left) | State::ChunkData(left) => left.min(length as u64) as usize,
            State::UntilClose => length,
            _ => 0,
        }
    }

    /// Counts bytes of the body as read. They must not exceed what is [`available`](Self::available).
    pub fn consume(&mut self, count: usize) {
        self.state = match self.state {
            State::Length(left) if left == count as u64 => State::Done,
            State::Length(left) => State::Length(left - count as u64),
            State::ChunkData(left) if left == count as u64 => State::DataCarriageReturn,
            State::ChunkData(left) => State::ChunkData(left - count as u64),
            other => other,
        };
    }

    /// Handles the end of the sender's connection, and returns whether the body is complete.
    pub fn end_of_input(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }
}

/// Fields that are dropped from trailer sections, because they would change how the message is read (RFC 9110
/// section 6.5.1).
const FORBIDDEN_TRAILERS: [&str; 9] = [
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

/// Parses a trailer section, and leaves out the forbidden fields.
fn parse_trailers(section: &[u8]) -> Result<Vec<Field>, MessageError> {
    let mut buffer = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    let Ok(httparse::Status::Complete((_, fields))) = httparse::parse_headers(section, &mut buffer) else {
        return Err(MessageError::InvalidTrailer);
    };
    let is_allowed =
        |name: &str| !FORBIDDEN_TRAILERS.iter().any(|forbidden| name.eq_ignore_ascii_case(forbidden));
    let allowed = fields.iter().filter(|field| is_allowed(field.name));
    Ok(allowed.map(|field| (field.name.to_owned(), field.value.to_vec())).collect())
}

/// Frames a body for its receiver.
#[derive(Clone, Debug)]
pub struct BodyEncoder {
    framing: Framing,
    /// Bytes that still have to be written if the length of the body was announced; otherwise 0.
    announced_bytes_left: u64,
}

impl BodyEncoder {
    /// Creates an encoder for this framing.
    pub fn new(framing: Framing) -> Self {
        let announced_bytes_left = match framing {
            Framing::Length(length) => length,
            Framing::Empty | Framing::Chunked | Framing::Close => 0,
        };
        Self { framing, announced_bytes_left }
    }

    /// Whether the bytes of the body leave without framing in between.
    pub fn is_unframed(&self) -> bool {
        matches!(self.framing, Framing::Length(_) | Framing::Close)
    }

    /// Counts bytes of the body that were sent without passing through this encoder.
    pub fn record_passthrough(&mut self, count: usize) {
        self.announced_bytes_left = self.announced_bytes_left.saturating_sub(count as u64);
    }

    /// Appends bytes of the body to `out`, with their framing.
    pub fn write(&mut self, data: &[u8], out: &mut Vec<u8>) {
        self.record_passthrough(data.len());
        match self.framing {
            Framing::Empty => {}
            Framing::Length(_) | Framing::Close => out.extend_from_slice(data),
            // An empty chunk would end the body.
            Framing::Chunked if data.is_empty() => {}
            Framing::Chunked => {
                // Writing to memory cannot fail.
                let _ = write!(out, "{:x}\r\n", data.len());
                out.extend_from_slice(data);
                out.extend_from_slice(b"\r\n");
            }
        }
    }

    /// Appends the end of the body to `out`. Without it, the body does not look complete to its receiver.
    ///
    /// # Errors
    /// [`MessageError::InvalidLength`] if fewer bytes were written than announced.
    pub fn finish(&mut self, trailers: &[Field], out: &mut Vec<u8>) -> Result<(), MessageError> {
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
        if self.announced_bytes_left > 0 {
            return Err(MessageError::InvalidLength);
        }
        Ok(())
    }
}
