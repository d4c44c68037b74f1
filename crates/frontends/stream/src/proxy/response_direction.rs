//! The response's direction: from the upstream to the client.

use super::exchange::{Exchange, ExchangeState, Outcome};
use super::{Proxy, FRAMING_BYTES};
use crate::proxied_request::ProxyError;
use crate::request_manager::{Moved, Rooms};
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};
use std::sync::Arc;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Transfers from the upstream to the client, and returns how many bytes moved.
    pub(super) fn transfer_response(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        rooms: Rooms,
        scratch: &mut [u8],
        moved: &mut Moved,
    ) -> usize {
        let Ok(written) = write_client_output(exchange, state, rooms, moved) else { return 0 };
        let Some(upstream) = response_source(state) else { return written };
        let buffered = state.proxied.buffered_response_bytes();
        let room = rooms.down.saturating_sub(buffered + FRAMING_BYTES) as usize;
        if room == 0 {
            return written;
        }
        let max_bytes = room.min(scratch.len());
        let mut received = 0;
        let result = match upstream.read(&mut scratch[..max_bytes]) {
            Ok(ReadOutcome::Bytes(count)) => {
                received = count;
                self.receive(exchange, state, rooms, &scratch[..count], room, moved)
            }
            Ok(ReadOutcome::WouldBlock) => state.proxied.flush_response(),
            Ok(ReadOutcome::EndOfStream) => end_of_response(state),
            Err(reason) => {
                state.up_ended = true;
                state.failed = Some(reason);
                Ok(())
            }
        };
        if let Err(error) = result {
            self.handle_error(state, error);
        }
        written + received
    }

    /// Hands on bytes of the response: straight to the client as far as they need no change, else to the exchange.
    fn receive(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        rooms: Rooms,
        bytes: &[u8],
        room: usize,
        moved: &mut Moved,
    ) -> Result<(), ProxyError> {
        let passed = match self.pass_response_through(exchange, state, rooms, bytes, moved) {
            Ok(passed) => passed,
            Err(reason) => {
                state.over = Some(Outcome::ClientGone(reason));
                return Ok(());
            }
        };
        if passed == bytes.len() {
            return Ok(());
        }
        state.proxied.receive_response(&bytes[passed..], room)
    }

    /// Writes bytes of the response that need no change straight to the client, and returns how many.
    fn pass_response_through(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        rooms: Rooms,
        bytes: &[u8],
        moved: &mut Moved,
    ) -> Result<usize, CloseReason> {
        let unchanged = state.proxied.response_passthrough_length(bytes.len());
        let allowed = unchanged.min(client_credit(rooms, moved));
        if allowed == 0 {
            return Ok(0);
        }
        let written = exchange.client.write(&bytes[..allowed])?;
        moved.down_took += written as u64;
        if let Err(error) = state.proxied.record_response_passthrough(written) {
            self.handle_error(state, error);
        }
        Ok(written)
    }
}

/// How many more bytes may be written to the client now; without bound where the link is not scarce.
fn client_credit(rooms: Rooms, moved: &Moved) -> usize {
    match rooms.credit {
        Some(credit) => credit.saturating_sub(moved.down_took) as usize,
        None => usize::MAX,
    }
}

/// Writes what waits for the client, and returns how many bytes it took. An error is noted as the outcome.
fn write_client_output(
    exchange: &Exchange,
    state: &mut ExchangeState,
    rooms: Rooms,
    moved: &mut Moved,
) -> Result<usize, CloseReason> {
    let output = state.proxied.client_output();
    let length = output.len().min(client_credit(rooms, moved));
    if length == 0 {
        return Ok(0);
    }
    match exchange.client.write(&output[..length]) {
        Ok(written) => {
            state.proxied.consume_client_output(written);
            moved.down_took += written as u64;
            Ok(written)
        }
        Err(reason) => {
            state.over = Some(Outcome::ClientGone(reason));
            Err(reason)
        }
    }
}

/// The upstream, while more of its response is to come.
fn response_source(state: &ExchangeState) -> Option<Arc<Socket>> {
    if state.up_ended || state.proxied.is_response_complete() {
        return None;
    }
    state.upstream.clone()
}

/// The upstream sends no more: it has failed unless the response is complete.
fn end_of_response(state: &mut ExchangeState) -> Result<(), ProxyError> {
    state.up_ended = true;
    let is_complete = state.proxied.end_of_response()?;
    state.failed = if is_complete { None } else { Some(CloseReason::Truncated) };
    Ok(())
}
