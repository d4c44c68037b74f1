//! The request's direction: from the client, or the upload archive, to the upstream.

use super::exchange::{Exchange, ExchangeState, Outcome};
use super::{Proxy, FRAMING_BYTES, MAX_PIPELINED_BYTES};
use crate::owner::{Moved, Rooms};
use crate::upload_archive::PendingOperation;
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::ReadOutcome;

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
        let mut step = 0;
        let upstream = state.upstream.clone().filter(|_| !state.up_closed);
        if let Some(upstream) = &upstream {
            match upstream.write(state.proxied.request_body.out.front()) {
                Ok(octets) => {
                    state.proxied.request_body.out.consume(octets);
                    state.sent(octets);
                    moved.up_took += octets as u64;
                    step += octets;
                }
                // Its answer may still be there to be read.
                Err(_) => state.up_closed = true,
            }
        }
        // An upstream that takes no more and was sent something gets no more of this body; the rest is read and dropped.
        // One that was sent nothing may be replaced by another, which is to get all of it: what waits is not dropped.
        let takes_no_more = state.up_closed && (state.sent_up > 0 || state.proxied.has_response_begun());
        let drops_body = takes_no_more || state.proxied.is_body_refused();
        if drops_body && !state.proxied.request_body.out.is_empty() {
            state.proxied.request_body.out.discard();
        }
        let held = state.proxied.request_body.buffered_bytes();
        let room = if state.proxied.is_body_refused() {
            MAX_PIPELINED_BYTES as u64
        } else {
            rooms.up.saturating_sub(held + FRAMING_BYTES)
        } as usize;
        if state.client_ended || exchange.ticket.answered() {
            return step;
        }
        if state.proxied.request_body.has_undecoded() {
            if room > 0 {
                let before = state.proxied.request_body.buffered_bytes();
                match state.proxied.decode_more_request_body(room) {
                    Ok(()) => step += usize::from(state.proxied.request_body.buffered_bytes() != before),
                    Err(fault) => self.handle_error(state, fault),
                }
            }
            return step;
        }
        if state.source.is_some() {
            return step + self.read_archived_body(exchange, state, room);
        }
        if state.proxied.wants_request_body() {
            if room == 0 {
                return step;
            }
            let most = room.min(scratch.len());
            let octets = if state.left.is_empty() {
                match exchange.client.read(&mut scratch[..most]) {
                    Ok(ReadOutcome::Bytes(octets)) => octets,
                    Ok(ReadOutcome::WouldBlock) => return step,
                    Ok(ReadOutcome::EndOfStream) => {
                        state.over = Some(Outcome::ClientGone(CloseReason::Truncated));
                        return step;
                    }
                    Err(end) => {
                        state.over = Some(Outcome::ClientGone(end));
                        return step;
                    }
                }
            } else {
                let octets = state.left.len().min(most);
                scratch[..octets].copy_from_slice(&state.left[..octets]);
                state.left.drain(..octets);
                octets
            };
            moved.came += octets as u64;
            step += octets;
            let mut at = 0;
            let straight = state.proxied.request_body.passthrough_length(octets);
            if let Some(upstream) = upstream.filter(|_| straight > 0 && !drops_body) {
                match upstream.write(&scratch[..straight]) {
                    Ok(written) => {
                        at = written;
                        state.sent(written);
                        moved.up_took += written as u64;
                        if let Err(fault) = state.proxied.record_request_passthrough(written) {
                            self.handle_error(state, fault);
                        }
                    }
                    Err(_) => state.up_closed = true,
                }
            }
            if at < octets {
                match state.proxied.receive_request_body(&scratch[at..octets], room) {
                    Ok(used) if at + used < octets => {
                        // Past the body's end: the next message came before this one was answered.
                        let rest = scratch[at + used..octets].to_vec();
                        state.left.splice(..0, rest);
                        state.pipelined = true;
                    }
                    Ok(_) => {}
                    Err(fault) => self.handle_error(state, fault),
                }
            }
            return step;
        }
        if !state.pipelined && state.left.is_empty() {
            match exchange.client.read(&mut scratch[..MAX_PIPELINED_BYTES]) {
                Ok(ReadOutcome::Bytes(octets)) => {
                    state.left.extend_from_slice(&scratch[..octets]);
                    state.pipelined = true;
                }
                Ok(ReadOutcome::WouldBlock) => {}
                Ok(ReadOutcome::EndOfStream) => state.client_ended = true,
                Err(end) => state.over = Some(Outcome::ClientGone(end)),
            }
        } else {
            state.pipelined = true;
            if exchange.client.is_broken() {
                state.over = Some(Outcome::ClientGone(CloseReason::Reset));
            }
        }
        step
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
