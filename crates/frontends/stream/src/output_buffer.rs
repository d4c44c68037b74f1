//! A buffer for bytes that wait to be written to a socket.

/// The least capacity, in bytes, that is worth releasing.
const MIN_RELEASED_BYTES: usize = 4096;

/// A queue of bytes: they are appended at its end and written to a socket from its front.
#[derive(Clone, Debug, Default)]
pub struct OutputBuffer {
    bytes: Vec<u8>,
    /// How many bytes at the start of `bytes` are already consumed.
    consumed: usize,
}

impl OutputBuffer {
    /// All bytes that wait to be written, in order.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// The number of bytes that wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether no bytes wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes `count` bytes from the front, and releases memory once enough of it is unused.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.bytes.len() {
            self.consumed = 0;
            self.bytes.clear();
            // An empty buffer keeps at most `MIN_RELEASED_BYTES`, so that a body whose receiver keeps up takes
            // hardly any memory between writes.
            if self.bytes.capacity() > MIN_RELEASED_BYTES {
                self.bytes = Vec::new();
            }
        } else if self.consumed > MIN_RELEASED_BYTES && self.consumed > self.bytes.len() / 2 {
            self.bytes.drain(..self.consumed);
            self.bytes.shrink_to(MIN_RELEASED_BYTES);
            self.consumed = 0;
        }
    }

    /// Removes all bytes.
    pub fn discard(&mut self) {
        self.consume(self.len());
    }

    /// The vector to append to. Callers may only append: the bytes at its start may be consumed already.
    pub fn append_to(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}
