//! Bytes that wait for their receiver.

/// Below this size there is nothing to be gained by giving memory back.
const MIN_RELEASED_BYTES: usize = 4096;

/// A queue of bytes: they are appended at its end and written to a socket from its front.
#[derive(Clone, Debug, Default)]
pub struct OutputBuffer {
    bytes: Vec<u8>,
    /// How many bytes at the start of `bytes` are already consumed.
    consumed: usize,
}

impl OutputBuffer {
    /// The bytes to be written next: all that wait.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether no bytes wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes so many bytes from the front, and gives memory back where enough of it is free.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.bytes.len() {
            self.consumed = 0;
            self.bytes.clear();
            // A body that flows freely keeps no memory of its own.
            if self.bytes.capacity() > MIN_RELEASED_BYTES {
                self.bytes = Vec::new();
            }
        } else if self.consumed > MIN_RELEASED_BYTES && self.consumed > self.bytes.len() / 2 {
            self.bytes.drain(..self.consumed);
            self.bytes.shrink_to(MIN_RELEASED_BYTES);
            self.consumed = 0;
        }
    }

    /// Removes all that waits.
    pub fn discard(&mut self) {
        self.consume(self.len());
    }

    /// The buffer to append to. Only appending is allowed: the start may be consumed already.
    pub fn append_to(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
