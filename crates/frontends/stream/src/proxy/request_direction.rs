//! The request's direction: from the client, or the upload archive, to the upstream.

use super::exchange::{Exchange, ExchangeState, Outcome};
use super::{Proxy, FRAMING_BYTES, MAX_PIPELINED_BYTES};
use crate::request_manager::{Moved, Rooms};
use crate::upload_archive::PendingOperation;
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Transfers from the client to the upstream, and returns how many bytes moved.
    pub(super) fn transfer_request(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        rooms: Rooms,
        scratch: &mut [u8],
        moved: &mut Moved,
    ) -> usize {
        let upstream = state.upstream.clone().filter(|_| !state.up_closed);
        let mut transferred = 0;
        if let Some(upstream) = &upstream {
            transferred += write_request_output(state, upstream, moved);
        }
        // An upstream that takes no more and was sent something gets no more of this body; the rest is read and dropped.
        // One that was sent nothing may be replaced by another, which is to get all of it: what waits is not dropped.
        let takes_no_more = state.up_closed && (state.sent_up > 0 || state.proxied.has_response_begun());
        let drops_body = takes_no_more || state.proxied.is_body_refused();
        if drops_body {
            state.proxied.request_body.out.discard();
        }
        let room = request_room(state, rooms);
        if state.client_ended || exchange.ticket.answered() {
            return transferred;
        }
        if state.proxied.request_body.has_undecoded() {
            return transferred + self.decode_waiting_body(state, room);
        }
        if state.source.is_some() {
            return transferred + self.read_archived_body(exchange, state, room);
        }
        if !state.proxied.wants_request_body() {
            watch_client(exchange, state, scratch);
            return transferred;
        }
        let max_bytes = room.min(scratch.len());
        let count = read_client(exchange, state, &mut scratch[..max_bytes]);
        moved.came += count as u64;
        transferred += count;
        let mut passed = 0;
        if let Some(upstream) = upstream.filter(|_| !drops_body) {
            passed = self.pass_through(state, &upstream, &scratch[..count], moved);
        }
        if passed < count {
            self.receive_body(state, &scratch[passed..count], room);
        }
        transferred
    }

    /// Decodes more of the body that waits for room, and returns whether anything moved, as a number of bytes.
    fn decode_waiting_body(&self, state: &mut ExchangeState, room: usize) -> usize {
        if room == 0 {
            return 0;
        }
        let buffered_before = state.proxied.request_body.buffered_bytes();
        if let Err(error) = state.proxied.decode_more_request_body(room) {
            self.handle_error(state, error);
            return 0;
        }
        usize::from(state.proxied.request_body.buffered_bytes() != buffered_before)
    }

    /// Writes bytes of the body that need no change straight to the upstream, and returns how many.
    fn pass_through(
        &self,
        state: &mut ExchangeState,
        upstream: &Socket,
        bytes: &[u8],
        moved: &mut Moved,
    ) -> usize {
        let unchanged = state.proxied.request_body.passthrough_length(bytes.len());
        if unchanged == 0 {
            return 0;
        }
        let Ok(written) = upstream.write(&bytes[..unchanged]) else {
            state.up_closed = true;
            return 0;
        };
        state.sent(written);
        moved.up_took += written as u64;
        if let Err(error) = state.proxied.record_request_passthrough(written) {
            self.handle_error(state, error);
        }
        written
    }

    /// Receives bytes of the body, and keeps those past its end: the next request came before the response.
    fn receive_body(&self, state: &mut ExchangeState, bytes: &[u8], room: usize) {
        match state.proxied.receive_request_body(bytes, room) {
            Ok(used) if used < bytes.len() => {
                state.left.splice(..0, bytes[used..].iter().copied());
                state.pipelined = true;
            }
            Ok(_) => {}
            Err(error) => self.handle_error(state, error),
        }
    }

    /// Transfers from the upload archive to the upstream, and returns how many bytes moved.
    pub(super) fn read_archived_body(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        room: usize,
    ) -> usize {
        if exchange.client.is_broken() {
            state.over = Some(Outcome::ClientGone(CloseReason::Reset));
        }
        let Some(source) = state.source.as_mut().filter(|_| room > 0 && state.proxied.wants_request_body())
        else {
            return 0;
        };
        if let Some(done) = source.awaited.as_ref().and_then(PendingOperation::take) {
            source.awaited = None;
            match done {
                Ok(octets) if !octets.is_empty() => {
                    source.at += octets.len() as u64;
                    source.ready = octets;
                }
                // The disk gives less than it was given: the body can't be whole, and must not look so.
                _ => {
                    state.failed = Some(CloseReason::InternalError);
                    state.up_ended = true;
                    return 0;
                }
            }
        }
        if source.ready.is_empty() {
            if source.awaited.is_none() && source.at < source.end {
                let most = (source.end - source.at).min(usize::MAX as u64) as usize;
                let ticket = exchange.ticket.clone();
                let read = source.archive.read(source.id, source.at, most, move || ticket.wake());
                source.awaited = Some(read);
            }
            return 0;
        }
        let rest = source.ready.split_off(room.min(source.ready.len()));
        let octets = std::mem::replace(&mut source.ready, rest);
        match state.proxied.receive_request_body(&octets, room) {
            Ok(_) => octets.len(),
            Err(fault) => {
                self.handle_error(state, fault);
                0
            }
        }
    }
}

/// Writes what waits for the upstream, and returns how many bytes it took.
fn write_request_output(state: &mut ExchangeState, upstream: &Socket, moved: &mut Moved) -> usize {
    let Ok(written) = upstream.write(state.proxied.request_body.out.front()) else {
        // The response may still be there to be read.
        state.up_closed = true;
        return 0;
    };
    state.proxied.request_body.out.consume(written);
    state.sent(written);
    moved.up_took += written as u64;
    written
}

/// How many more bytes of the body may be held.
fn request_room(state: &ExchangeState, rooms: Rooms) -> usize {
    if state.proxied.is_body_refused() {
        return MAX_PIPELINED_BYTES;
    }
    let buffered = state.proxied.request_body.buffered_bytes();
    rooms.up.saturating_sub(buffered + FRAMING_BYTES) as usize
}

/// Fills the buffer with bytes of the client, those received before first, and returns how many.
fn read_client(exchange: &Exchange, state: &mut ExchangeState, buffer: &mut [u8]) -> usize {
    if buffer.is_empty() {
        return 0;
    }
    if !state.left.is_empty() {
        let count = state.left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&state.left[..count]);
        state.left.drain(..count);
        return count;
    }
    match exchange.client.read(buffer) {
        Ok(ReadOutcome::Bytes(count)) => return count,
        Ok(ReadOutcome::WouldBlock) => {}
        Ok(ReadOutcome::EndOfStream) => state.over = Some(Outcome::ClientGone(CloseReason::Truncated)),
        Err(reason) => state.over = Some(Outcome::ClientGone(reason)),
    }
    0
}

/// After the body, notices what the client sends next, or that it is gone.
fn watch_client(exchange: &Exchange, state: &mut ExchangeState, scratch: &mut [u8]) {
    if state.pipelined || !state.left.is_empty() {
        state.pipelined = true;
        if exchange.client.is_broken() {
            state.over = Some(Outcome::ClientGone(CloseReason::Reset));
        }
        return;
    }
    match exchange.client.read(&mut scratch[..MAX_PIPELINED_BYTES]) {
        Ok(ReadOutcome::Bytes(count)) => {
            state.left.extend_from_slice(&scratch[..count]);
            state.pipelined = true;
        }
        Ok(ReadOutcome::WouldBlock) => {}
        Ok(ReadOutcome::EndOfStream) => state.client_ended = true,
        Err(reason) => state.over = Some(Outcome::ClientGone(reason)),
    }
}
