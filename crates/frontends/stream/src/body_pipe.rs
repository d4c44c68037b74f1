//! One direction of a proxied body: bytes arrive in one framing and leave in another, and their content
//! coding is changed in between if needed.
//!
//! The pipe holds the bytes that its receiver has not taken yet. Its caller reads from the sender no more
//! than there is room for, so a slow receiver slows the sender down.

use crate::body_framing::{BodyDecoder, BodyEncoder};
use crate::content_coder::ContentCoder;
use crate::http::{Field, Framing, MessageError};
use crate::idempotency::ContentDigest;
use crate::output_buffer::OutputBuffer;
use lynxtally_engine::Fingerprint;

/// One direction of a proxied body.
pub struct BodyPipe {
    decoder: BodyDecoder,
    coder: ContentCoder,
    encoder: BodyEncoder,
    /// Input that is not decoded yet because there is no room for its output.
    undecoded: Vec<u8>,
    /// Framed bytes that wait to be written to the receiver.
    pub out: OutputBuffer,
    /// A copy of the body before framing, kept for a retry. `None` if none is kept.
    replay_copy: Option<Vec<u8>>,
    /// The digest of the body so far. `None` if none is calculated.
    digest: Option<ContentDigest>,
    trailers: Vec<Field>,
    /// Bytes of the body received, without framing.
    received_bytes: u64,
    /// Bytes of the body after content coding and before framing.
    encoded_bytes: u64,
    /// Whether the whole body was received and its end was appended to `out`.
    complete: bool,
}

impl BodyPipe {
    /// Creates a pipe for a body that arrives in the framing `from` and leaves in the framing `to`.
    pub fn new(from: Framing, to: Framing, coder: ContentCoder) -> Self {
        Self {
            decoder: BodyDecoder::new(from),
            coder,
            encoder: BodyEncoder::new(to),
            undecoded: Vec::new(),
            out: OutputBuffer::default(),
            replay_copy: None,
            digest: None,
            trailers: Vec::new(),
            received_bytes: 0,
            encoded_bytes: 0,
            complete: false,
        }
    }

    /// Starts to keep a copy of the body, so that it can be sent again.
    pub fn keep_copy(&mut self) {
        self.replay_copy = Some(Vec::new());
    }

    /// Starts to calculate a fingerprint of the content, to which the body is added as it is received.
    pub fn calculate_fingerprint(&mut self, digest: ContentDigest) {
        self.digest = Some(digest);
    }

    /// Takes the fingerprint of the content, once the whole body was received. It can be taken only once.
    pub fn take_fingerprint(&mut self) -> Option<Fingerprint> {
        self.digest.take_if(|_| self.complete).map(ContentDigest::finish)
    }

    /// The copy of the body so far, or `None` if none is kept.
    pub fn kept_copy(&self) -> Option<&[u8]> {
        self.replay_copy.as_deref()
    }

    /// Drops the copy. The body cannot be sent again after this.
    pub fn drop_copy(&mut self) {
        self.replay_copy = None;
    }

    /// Bytes of the body received, without framing.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Bytes of the body after content coding and before framing.
    pub fn encoded_bytes(&self) -> u64 {
        self.encoded_bytes
    }

    /// Whether the whole body was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the whole body was received and written to its receiver.
    pub fn is_done(&self) -> bool {
        self.complete && self.out.is_empty()
    }

    /// The bytes that the pipe holds, decoded or not, without the copy for a retry.
    pub fn buffered_bytes(&self) -> u64 {
        (self.out.len() + self.undecoded.len()) as u64
    }

    /// Whether input waits to be decoded. While it does, no more input may be received.
    pub fn has_undecoded(&self) -> bool {
        !self.undecoded.is_empty()
    }

    /// How many of the next `length` bytes of input may be written to the receiver unchanged, without passing
    /// through the pipe.
    pub fn passthrough_length(&self, length: usize) -> usize {
        let unchanged = self.coder.is_identity() && self.replay_copy.is_none();
        let unframed = self.decoder.is_unframed() && self.encoder.is_unframed();
        let nothing_before = self.out.is_empty() && self.undecoded.is_empty();
        if unchanged && unframed && nothing_before {
            self.decoder.available(length)
        } else {
            0
        }
    }

    /// Counts bytes that were written to the receiver unchanged.
    ///
    /// # Errors
    /// [`MessageError::InvalidLength`] if the body ends here and is shorter than its framing said.
    pub fn record_passthrough(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        self.decoder.consume(bytes.len());
        self.encoder.record_passthrough(bytes.len());
        self.record_received(bytes);
        self.encoded_bytes += bytes.len() as u64;
        self.finish_at_end()
    }

    /// Receives input, decodes it until `room` bytes wait, and returns how many bytes of it are used. All are
    /// used except bytes behind the end of the body: input that cannot be decoded yet is kept.
    ///
    /// # Errors
    /// What is wrong with the framing or the content coding of the body.
    pub fn receive(&mut self, input: &[u8], room: usize) -> Result<usize, MessageError> {
        debug_assert!(self.undecoded.is_empty(), "input received before earlier input was decoded");
        let used = self.decode(input, room)?;
        if used < input.len() && !self.decoder.is_done() {
            self.undecoded.extend_from_slice(&input[used..]);
            return Ok(input.len());
        }
        Ok(used)
    }

    /// Decodes more of the waiting input, until `room` bytes wait.
    ///
    /// # Errors
    /// As for [`Self::receive`].
    pub fn decode_more(&mut self, room: usize) -> Result<(), MessageError> {
        let mut input = std::mem::take(&mut self.undecoded);
        let used = self.decode(&input, room)?;
        input.drain(..used);
        if !self.decoder.is_done() {
            self.undecoded = input;
        }
        Ok(())
    }

    fn decode(&mut self, input: &[u8], room: usize) -> Result<usize, MessageError> {
        let mut used = 0;
        loop {
            used += self.decoder.skip_framing(&input[used..])?;
            let data_length = self.decoder.available(input.len() - used);
            let data = &input[used..used + data_length];
            if data.is_empty() {
                break;
            }
            let taken = self.code(data, room)?;
            self.decoder.consume(taken);
            self.record_received(&data[..taken]);
            used += taken;
            if taken < data.len() {
                break;
            }
        }
        self.finish_at_end()?;
        Ok(used)
    }

    /// Passes data through the content coder until `room` bytes wait, and returns how many bytes were taken.
    /// Without a content coding all data is taken, because its size does not change.
    fn code(&mut self, data: &[u8], room: usize) -> Result<usize, MessageError> {
        if self.coder.is_identity() {
            self.encode(data);
            return Ok(data.len());
        }
        let mut taken = 0;
        while taken < data.len() && self.out.len() < room {
            let mut coded = Vec::new();
            taken += self.coder.step(&data[taken..], &mut coded)?;
            self.encode(&coded);
        }
        Ok(taken)
    }

    fn record_received(&mut self, data: &[u8]) {
        self.received_bytes += data.len() as u64;
        if let Some(digest) = &mut self.digest {
            digest.update(data);
        }
    }

    fn encode(&mut self, data: &[u8]) {
        self.encoded_bytes += data.len() as u64;
        if let Some(copy) = &mut self.replay_copy {
            copy.extend_from_slice(data);
        }
        self.encoder.write(data, self.out.append_to());
    }

    /// Ends the outgoing body if the incoming one has ended.
    fn finish_at_end(&mut self) -> Result<(), MessageError> {
        if !self.decoder.is_done() || self.complete {
            return Ok(());
        }
        let mut coded = Vec::new();
        self.coder.finish(&mut coded)?;
        self.encode(&coded);
        self.trailers = self.decoder.take_trailers();
        self.encoder.finish(&self.trailers, self.out.append_to())?;
        self.complete = true;
        Ok(())
    }

    /// Sends out what the content coder holds back, so that it does not wait for the next input.
    ///
    /// # Errors
    /// [`MessageError::CorruptCoding`] if the body so far is not valid in its coding.
    pub fn flush(&mut self) -> Result<(), MessageError> {
        if self.complete || self.coder.is_identity() {
            return Ok(());
        }
        let mut coded = Vec::new();
        self.coder.flush(&mut coded)?;
        self.encode(&coded);
        Ok(())
    }

    /// Handles the end of the sender's connection, and returns whether the body is complete.
    ///
    /// # Errors
    /// What is wrong with the end of the body.
    pub fn end_of_input(&mut self) -> Result<bool, MessageError> {
        if self.decoder.end_of_input() {
            self.finish_at_end()?;
        }
        Ok(self.complete)
    }

    /// Starts the body; an empty body is complete at once.
    ///
    /// # Errors
    /// [`MessageError::InvalidLength`] if the outgoing framing announced bytes that an empty body does not
    /// have.
    pub fn start(&mut self) -> Result<(), MessageError> {
        self.finish_at_end()
    }

    /// Receives the rest of the body from another sender, in the framing `from`.
    pub fn resume_from(&mut self, from: Framing) {
        self.decoder = BodyDecoder::new(from);
    }

    /// Restarts the output for another receiver: drops the waiting output, and appends `head` and then the copy
    /// of the body in the framing `to`.
    pub fn replay(&mut self, head: &[u8], to: Framing) {
        self.out = OutputBuffer::default();
        self.out.append_to().extend_from_slice(head);
        self.encoder = BodyEncoder::new(to);
        let copy = self.replay_copy.as_deref().unwrap_or(&[]);
        self.encoder.write(copy, self.out.append_to());
        if self.complete {
            self.complete = self.encoder.finish(&self.trailers, self.out.append_to()).is_ok();
        }
    }
}
