//! One direction of a stream: octets come framed in one way and go framed in another, decoded or coded between. It
//! holds what its receiver has not taken yet, and asks for no more than there is room for.

use crate::body::{Decoder, Encoder};
use crate::content_coder::Coder;
use crate::http::{Bad, Field, Framing};

/// Octets that wait for their receiver.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    octets: Vec<u8>,
    taken: usize,
}

/// With less than this there is nothing to be gained by giving memory back.
const KEPT: usize = 4096;

impl Waiting {
    /// What is to go next.
    pub fn front(&self) -> &[u8] {
        &self.octets[self.taken..]
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.octets.len() - self.taken
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// So many went.
    pub fn took(&mut self, octets: usize) {
        self.taken += octets;
        if self.taken == self.octets.len() {
            self.taken = 0;
            self.octets.clear();
            if self.octets.capacity() > KEPT {
                // What flows needs no memory of its own.
                self.octets = Vec::new();
            }
        } else if self.taken > KEPT && self.taken > self.octets.len() / 2 {
            self.octets.drain(..self.taken);
            self.octets.shrink_to(KEPT);
            self.taken = 0;
        }
    }

    /// Where more is added.
    pub fn add(&mut self) -> &mut Vec<u8> {
        &mut self.octets
    }
}

/// One direction.
pub struct Way {
    decoder: Decoder,
    coder: Coder,
    encoder: Encoder,
    /// What came and could not be decoded yet, for want of room.
    pending: Vec<u8>,
    /// What is to go out.
    pub out: Waiting,
    /// A copy of what went into the encoder, while it is kept.
    spool: Option<Vec<u8>>,
    /// The fields after the body.
    after: Vec<Field>,
    /// Octets of the body that came, and that went into the encoder.
    came: u64,
    gave: u64,
    /// Whether the body is whole, and its end is among what is to go out.
    whole: bool,
}

impl Way {
    /// A body framed so as it comes, and so as it goes.
    pub fn new(from: Framing, to: Framing, coder: Coder) -> Self {
        Self {
            decoder: Decoder::new(from),
            coder,
            encoder: Encoder::new(to),
            pending: Vec::new(),
            out: Waiting::default(),
            spool: None,
            after: Vec::new(),
            came: 0,
            gave: 0,
            whole: false,
        }
    }

    /// From now on a copy is kept.
    pub fn keep(&mut self) {
        self.spool = Some(Vec::new());
    }

    /// The copy; none where it is not whole.
    pub fn kept(&self) -> Option<&[u8]> {
        self.spool.as_deref()
    }

    /// The copy is not kept any more.
    pub fn forget(&mut self) {
        self.spool = None;
    }

    /// Octets of the body that came.
    pub fn came(&self) -> u64 {
        self.came
    }

    /// Octets of the body that go out, before they are framed.
    pub fn gave(&self) -> u64 {
        self.gave
    }

    /// Whether the body is whole.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// Whether all is out.
    pub fn done(&self) -> bool {
        self.whole && self.out.is_empty()
    }

    /// What is held here.
    pub fn held(&self) -> u64 {
        (self.out.len() + self.pending.len()) as u64
    }

    /// Whether octets wait to be decoded; none can be taken before.
    pub fn stuck(&self) -> bool {
        !self.pending.is_empty()
    }

    /// How many of so many octets may go to the receiver just as they came.
    pub fn straight(&self, length: usize) -> usize {
        let plain = self.coder.is_plain() && self.spool.is_none();
        let bare = self.decoder.bare() && self.encoder.bare();
        let first = self.out.is_empty() && self.pending.is_empty();
        if plain && bare && first {
            self.decoder.available(length)
        } else {
            0
        }
    }

    /// So many went so.
    pub fn passed(&mut self, octets: usize) -> Result<(), Bad> {
        self.decoder.took(octets);
        self.encoder.passed(octets);
        (self.came, self.gave) = (self.came + octets as u64, self.gave + octets as u64);
        self.finish_if_done()
    }

    /// Takes octets that came, as long as no more than `room` waits; tells how many: fewer than all only past the body's
    /// end, as what can't be decoded yet is kept.
    pub fn take(&mut self, input: &[u8], room: usize) -> Result<usize, Bad> {
        debug_assert!(self.pending.is_empty(), "taken out of order");
        let used = self.work(input, room)?;
        if used < input.len() && !self.decoder.done() {
            self.pending.extend_from_slice(&input[used..]);
            return Ok(input.len());
        }
        Ok(used)
    }

    /// Goes on with what could not be decoded before.
    pub fn go_on(&mut self, room: usize) -> Result<(), Bad> {
        let mut input = std::mem::take(&mut self.pending);
        let used = self.work(&input, room)?;
        input.drain(..used);
        if !self.decoder.done() {
            self.pending = input;
        }
        Ok(())
    }

    fn work(&mut self, input: &[u8], room: usize) -> Result<usize, Bad> {
        let mut used = 0;
        loop {
            used += self.decoder.skip(&input[used..])?;
            let data = &input[used..used + self.decoder.available(input.len() - used)];
            if data.is_empty() {
                break;
            }
            let mut took = 0;
            while took < data.len() && (self.out.len() < room || self.coder.is_plain()) {
                took += self.step(&data[took..])?;
            }
            self.decoder.took(took);
            self.came += took as u64;
            used += took;
            if took < data.len() {
                break;
            }
        }
        self.finish_if_done()?;
        Ok(used)
    }

    fn step(&mut self, data: &[u8]) -> Result<usize, Bad> {
        if self.coder.is_plain() {
            self.give(data);
            return Ok(data.len());
        }
        let mut made = Vec::new();
        let took = self.coder.step(data, &mut made)?;
        self.give(&made);
        Ok(took)
    }

    fn give(&mut self, data: &[u8]) {
        self.gave += data.len() as u64;
        if let Some(spool) = &mut self.spool {
            spool.extend_from_slice(data);
        }
        self.encoder.put(data, self.out.add());
    }

    fn finish_if_done(&mut self) -> Result<(), Bad> {
        if !self.decoder.done() || self.whole {
            return Ok(());
        }
        let mut made = Vec::new();
        self.coder.finish(&mut made)?;
        self.give(&made);
        self.after = self.decoder.trailers();
        if !self.encoder.finish(&self.after, self.out.add()) {
            return Err(Bad::Length);
        }
        self.whole = true;
        Ok(())
    }

    /// Nothing more is there for now: what the coder holds back goes out.
    pub fn flush(&mut self) -> Result<(), Bad> {
        if self.whole || self.coder.is_plain() {
            return Ok(());
        }
        let mut made = Vec::new();
        self.coder.flush(&mut made)?;
        self.give(&made);
        Ok(())
    }

    /// The sender sends no more; whether the body is whole.
    pub fn ended(&mut self) -> Result<bool, Bad> {
        if self.decoder.ended() {
            self.finish_if_done()?;
        }
        Ok(self.whole)
    }

    /// A body without anything in it goes out whole at once.
    pub fn begin(&mut self) -> Result<(), Bad> {
        self.finish_if_done()
    }

    /// The rest of the body comes framed so, from another sender.
    pub fn goes_on(&mut self, from: Framing) {
        self.decoder = Decoder::new(from);
    }

    /// What waited is taken back, and the copy goes out anew behind this head.
    pub fn again(&mut self, head: &[u8], to: Framing) {
        self.out = Waiting::default();
        self.out.add().extend_from_slice(head);
        self.encoder = Encoder::new(to);
        let (spool, whole) = (self.spool.take(), std::mem::take(&mut self.whole));
        self.encoder.put(spool.as_deref().unwrap_or(&[]), self.out.add());
        self.spool = spool;
        if whole {
            self.whole = self.encoder.finish(&self.after, self.out.add());
        }
    }
}
