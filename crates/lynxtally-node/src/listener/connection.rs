//! One connection from a sidecar: read eagerly, one task at a time.

use super::{Entrance, Handle, Order, Stand, Taken, SETTLE};
use crate::http::{Asked, Message, Reader};
use crate::messages::Heard;
use crate::response::{self as answer, Answer};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::coroutine;
use lynxtally_net::sync as wire;

use std::time::Instant;
use tracing::{debug, warn};

/// So many messages are taken in one go; then the others get their turn.
const AT_ONCE: usize = 64;
/// What is read at once of what nobody will look at.
const LINGER_CHUNK: usize = 16 * 1024;

/// One connection while it is served.
pub(super) struct Connection<'a> {
    pub entrance: &'a Entrance,
    pub handle: &'a Handle,
    pub number: u64,
    /// The task whose answer is awaited, and whether the sidecar wants no further one here.
    pub task: Option<(String, bool)>,
    /// Whether anything was answered on it.
    pub answered: bool,
}

impl Connection<'_> {
    /// Carries the connection from its first byte to its last.
    pub fn carry(mut self, mut line: net::Connection) {
        let end = coroutine::catch_panic(|| self.serve(&mut line)).unwrap_or_else(|panic| {
            warn!(%panic, "a connection's coroutine failed");
            CloseReason::InternalError
        });
        if let Some((id, _)) = self.task.take() {
            if end == CloseReason::InternalError {
                answer::write(line.output(), &Answer::Abandoned, None, true);
                // If it does not go, the connection ends without it.
                let _ = line.flush();
            }
            if end.caller_gone() {
                let from = self.handle.clone();
                // The owner is gone only with the program.
                let _ = self.entrance.owner.send(Heard::CallerGone { id, from, end });
            }
        }
        self.entrance.counters.connection_ends.add(end);
        debug!(connection = self.number, %end, "a connection ends");
        match end {
            CloseReason::Completed
            | CloseReason::IdleTimeout
            | CloseReason::ClosedByPeer
            | CloseReason::Malformed
            | CloseReason::TimedOut => {
                self.stand(Stand::Leaving);
                self.linger(&mut line);
            }
            // It stays among those that were told to go, so nobody is told in its place meanwhile.
            CloseReason::Evicted if self.answered => {
                let handle = self.handle.clone();
                self.entrance.alarm.run_after(SETTLE, move || {
                    handle.push(Order::Close(CloseReason::Evicted));
                });
                self.linger(&mut line);
            }
            _ => {}
        }
        wire::lock(&self.entrance.open).remove(&self.number);
        for order in self.handle.close() {
            if matches!(order, Order::Answer(_)) {
                self.entrance.counters.answers_lost.add();
            }
        }
    }

    /// Ends the writing side and reads on: a socket closed with unread bytes would reset the connection and
    /// lose the last answer. Bounded in bytes here, and in time by the sweep, or where others need the room by the
    /// moment that first bytes are given.
    fn linger(&self, line: &mut net::Connection) {
        if !line.shutdown_write() {
            return;
        }
        let (mut scratch, mut left) = (Vec::new(), self.entrance.bounds.linger_bytes);
        while left > 0 {
            while let Some(order) = self.handle.take() {
                if matches!(order, Order::Close(_)) {
                    return;
                }
            }
            scratch.clear();
            match line.fill(&mut scratch, LINGER_CHUNK) {
                Ok(ReadProgress::EndOfStream) | Err(_) => return,
                Ok(ReadProgress::Drained) if scratch.is_empty() => line.wait(),
                Ok(_) => self.entrance.leave_turn(),
            }
            left = left.saturating_sub(scratch.len());
        }
    }

    /// Notes how the connection stands from now on.
    fn stand(&self, stand: Stand) {
        if let Some(seat) = wire::lock(&self.entrance.open).get_mut(&self.number) {
            (seat.stand, seat.since, seat.told) = (stand, Instant::now(), false);
        }
    }

    fn serve(&mut self, line: &mut net::Connection) -> CloseReason {
        let mut reader = Reader::default();
        let (mut last, mut sends, mut stood) = (None, true, Stand::New);
        loop {
            let (mut filled, mut close, mut asked) = (ReadProgress::Drained, None, 0);
            let mut moved = false;
            while let Some(order) = self.handle.take() {
                match order {
                    Order::Answer(answer) => {
                        let ends = self.answer(line.output(), &answer);
                        last = last.or(ends.then_some(CloseReason::Completed));
                        moved = true;
                    }
                    Order::Close(end) => close = Some(end),
                }
            }
            // Nobody is read whose answers are not taken: else a client that only asks fills the memory.
            let behind = !line.is_flushed();
            if sends && last.is_none() && !behind {
                match line.fill(&mut reader.buffer, Reader::ROOM) {
                    Ok(found) => filled = found,
                    Err(end) => return end,
                }
                sends = filled != ReadProgress::EndOfStream;
            }
            while self.task.is_none() && last.is_none() && !behind && asked < AT_ONCE {
                match reader.next_asked(&self.entrance.names, self.entrance.clock.micros() / 1000) {
                    Ok(Some(message)) => {
                        last = self.asked(message, line.output()).then_some(CloseReason::Completed);
                        (moved, asked) = (true, asked + 1);
                    }
                    Ok(None) => break,
                    Err(bad) => {
                        debug!(%bad, "a message can't be taken");
                        self.entrance.count_bad(bad);
                        let free = self.entrance.standing.free();
                        answer::write(line.output(), &Answer::Unfit(bad.status()), free, true);
                        last = Some(CloseReason::Malformed);
                    }
                }
            }
            if let Err(end) = line.flush() {
                return end;
            }
            if self.task.is_none() && !sends && last.is_none() && !behind && asked < AT_ONCE {
                last = Some(if reader.buffer.is_empty() {
                    CloseReason::ClosedByPeer
                } else {
                    CloseReason::Truncated
                });
            }
            // Told to close, it does so only where nothing is under way, once all that came is read.
            if let Some(end) = close.filter(|_| self.task.is_none() && !moved) {
                // Who does not take its answer in time loses it; who only is to be gone soon may still take it.
                if !line.is_flushed() && end != CloseReason::Completed {
                    return CloseReason::Reset;
                }
                if last.is_none() && (end != CloseReason::IdleTimeout || reader.buffer.is_empty()) {
                    last = Some(end);
                }
            }
            // A sidecar that sends no more and reads no more either is gone.
            if !sends && line.is_broken() {
                return CloseReason::Reset;
            }
            match last {
                Some(end) if line.is_flushed() && self.task.is_none() => return end,
                _ => {}
            }
            let stand = match stood {
                _ if self.task.is_some() => Stand::Busy,
                // Bytes that make no message yet give it no further time.
                Stand::New if !moved => Stand::New,
                _ if !line.is_flushed() || !reader.buffer.is_empty() => Stand::Halfway,
                _ => Stand::Resting,
            };
            if moved || stand != stood {
                stood = stand;
                self.stand(stand);
            }
            if reader.buffer.is_empty() {
                // What rests needs no buffer.
                reader.buffer = Vec::new();
            }
            if behind && line.is_flushed() {
                continue;
            }
            // What there was no room for is read now, or, while a task is open, after its answer.
            if asked == AT_ONCE || filled == ReadProgress::BufferFull && reader.buffer.len() < Reader::ROOM {
                self.entrance.leave_turn();
            } else {
                line.wait();
            }
        }
    }

    /// Takes one message; tells whether the connection ends with it.
    fn asked(&mut self, message: Message<Asked>, out: &mut Vec<u8>) -> bool {
        let standing = &self.entrance.standing;
        match message.what {
            Asked::Health => {
                self.entrance.counters.health_checks.add();
                let last = message.last || standing.leaving();
                self.answered = true;
                answer::write_health(out, standing.healthy(), standing.free(), last);
                last
            }
            Asked::Task(sent) => {
                debug!(id = sent.id, connection = self.number, "asked");
                self.task = Some((sent.id.clone(), message.last));
                let taken = Taken { sent: *sent, from: self.handle.clone() };
                if self.entrance.owner.send(Heard::Taken(taken)).is_err() {
                    return self.answer(out, &Answer::Abandoned);
                }
                false
            }
        }
    }

    /// Writes the final answer; tells whether the connection ends with it.
    fn answer(&mut self, out: &mut Vec<u8>, answer: &Answer) -> bool {
        let Some((id, last)) = self.task.take() else { return false };
        debug!(id, status = answer.status(), "answered");
        let standing = &self.entrance.standing;
        let last = last || standing.leaving();
        answer::write(out, answer, standing.free(), last);
        self.answered = true;
        last
    }
}
