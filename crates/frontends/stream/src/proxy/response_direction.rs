//! The response's direction: from the upstream to the client.

use super::exchange::{Exchange, ExchangeState, Outcome};
use super::{Proxy, FRAMING_BYTES};
use crate::owner::{Moved, Rooms};
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::ReadOutcome;

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
        let mut step = 0;
        let credit = |moved: &Moved| match rooms.credit {
            Some(credit) => credit.saturating_sub(moved.down_took) as usize,
            None => usize::MAX,
        };
        let waiting = state.proxied.client_output();
        let length = waiting.len().min(credit(moved));
        if length > 0 {
            match exchange.client.write(&waiting[..length]) {
                Ok(octets) => {
                    state.proxied.consume_client_output(octets);
                    moved.down_took += octets as u64;
                    step += octets;
                }
                Err(end) => {
                    state.over = Some(Outcome::ClientGone(end));
                    return step;
                }
            }
        }
        let Some(upstream) =
            state.upstream.clone().filter(|_| !state.up_ended && !state.proxied.is_response_complete())
        else {
            return step;
        };
        let room =
            rooms.down.saturating_sub(state.proxied.buffered_response_bytes() + FRAMING_BYTES) as usize;
        if room == 0 {
            return step;
        }
        let most = room.min(scratch.len());
        let done = match upstream.read(&mut scratch[..most]) {
            Ok(ReadOutcome::Bytes(octets)) => {
                step += octets;
                let mut at = 0;
                let straight = state.proxied.response_passthrough_length(octets).min(credit(moved));
                if straight > 0 {
                    match exchange.client.write(&scratch[..straight]) {
                        Ok(written) => {
                            at = written;
                            moved.down_took += written as u64;
                            if let Err(fault) = state.proxied.record_response_passthrough(written) {
                                self.handle_error(state, fault);
                            }
                        }
                        Err(end) => {
                            state.over = Some(Outcome::ClientGone(end));
                            return step;
                        }
                    }
                }
                if at < octets {
                    state.proxied.receive_response(&scratch[at..octets], room)
                } else {
                    Ok(())
                }
            }
            Ok(ReadOutcome::WouldBlock) => state.proxied.flush_response(),
            Ok(ReadOutcome::EndOfStream) => {
                state.up_ended = true;
                state.proxied.end_of_response().map(|whole| {
                    state.failed = (!whole).then_some(CloseReason::Truncated);
                })
            }
            Err(end) => {
                state.up_ended = true;
                state.failed = Some(end);
                Ok(())
            }
        };
        if let Err(fault) = done {
            self.handle_error(state, fault);
        }
        step
    }
}
