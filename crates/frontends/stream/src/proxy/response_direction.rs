//! The response direction of an exchange: from the upstream to the client.

use super::exchange::{Exchange, ExchangeState};
use super::{Proxy, FRAMING_BYTES};
use crate::proxied_request::ProxyError;
use crate::request_manager::{TransferAllowance, TransferReport};
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};
use std::sync::Arc;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Writes buffered output to the client, and reads the response from the upstream, as far as possible now.
    /// Returns the bytes read plus the buffered bytes written, as a measure of progress.
    pub(super) fn transfer_response(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        allowance: TransferAllowance,
        scratch: &mut [u8],
        report: &mut TransferReport,
    ) -> usize {
        let Ok(written) = write_client_output(exchange, state, allowance, report) else { return 0 };
        let Some(upstream) = response_source(state) else { return written };
        let buffered = state.proxied.buffered_response_bytes();
        let room = allowance.client_window.saturating_sub(buffered + FRAMING_BYTES) as usize;
        if room == 0 {
            return written;
        }
        let max_bytes = room.min(scratch.len());
        let mut received = 0;
        let result = match upstream.read(&mut scratch[..max_bytes]) {
            Ok(ReadOutcome::Bytes(count)) => {
                received = count;
                self.receive(exchange, state, allowance, &scratch[..count], room, report)
            }
            Ok(ReadOutcome::WouldBlock) => state.proxied.flush_response(),
            Ok(ReadOutcome::EndOfStream) => end_of_response(state),
            Err(reason) => {
                state.upstream_read_ended = true;
                state.failure = Some(reason);
                Ok(())
            }
        };
        if let Err(error) = result {
            self.handle_error(state, error);
        }
        written + received
    }

    /// Passes on received bytes of the response: directly to the client as far as they need no change, the
    /// rest through the proxied request.
    fn receive(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        allowance: TransferAllowance,
        bytes: &[u8],
        room: usize,
        report: &mut TransferReport,
    ) -> Result<(), ProxyError> {
        let passed = match self.pass_response_through(exchange, state, allowance, bytes, report) {
            Ok(passed) => passed,
            Err(reason) => {
                state.client_gone(&exchange.handle, reason);
                0
            }
        };
        if state.outcome.is_some() {
            return Ok(());
        }
        if passed == bytes.len() {
            return Ok(());
        }
        state.proxied.receive_response(&bytes[passed..], room)
    }

    /// Writes bytes of the response that need no change directly to the client, and returns how many.
    fn pass_response_through(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        allowance: TransferAllowance,
        bytes: &[u8],
        report: &mut TransferReport,
    ) -> Result<usize, CloseReason> {
        if state.is_detached {
            return Ok(0);
        }
        let unchanged = state.proxied.response_passthrough_length(bytes.len());
        let allowed = unchanged.min(client_credit(allowance, report));
        if allowed == 0 {
            return Ok(0);
        }
        let written = exchange.client.write(&bytes[..allowed])?;
        report.written_to_client += written as u64;
        if let Err(error) = state.proxied.record_response_passthrough(&bytes[..written]) {
            self.handle_error(state, error);
        }
        Ok(written)
    }
}

/// How many more bytes may be written to the client now; unlimited if the link is not scarce.
fn client_credit(allowance: TransferAllowance, report: &TransferReport) -> usize {
    match allowance.link_credit {
        Some(credit) => credit.saturating_sub(report.written_to_client) as usize,
        None => usize::MAX,
    }
}

/// Writes waiting output to the client, and returns how many bytes the client took. An error also becomes the
/// outcome of the exchange.
fn write_client_output(
    exchange: &Exchange,
    state: &mut ExchangeState,
    allowance: TransferAllowance,
    report: &mut TransferReport,
) -> Result<usize, CloseReason> {
    let output = state.proxied.client_output();
    if state.is_detached {
        let discarded = output.len();
        state.proxied.consume_client_output(discarded);
        return Ok(discarded);
    }
    let length = output.len().min(client_credit(allowance, report));
    if length == 0 {
        return Ok(0);
    }
    match exchange.client.write(&output[..length]) {
        Ok(written) => {
            state.proxied.consume_client_output(written);
            report.written_to_client += written as u64;
            Ok(written)
        }
        Err(reason) => {
            state.client_gone(&exchange.handle, reason);
            if state.is_detached {
                return Ok(0);
            }
            Err(reason)
        }
    }
}

/// The upstream's socket, as long as more of the response is expected.
fn response_source(state: &ExchangeState) -> Option<Arc<Socket>> {
    if state.upstream_read_ended || state.proxied.is_response_complete() {
        return None;
    }
    state.upstream.clone()
}

/// The upstream closed its connection: it has failed unless the response is complete.
fn end_of_response(state: &mut ExchangeState) -> Result<(), ProxyError> {
    state.upstream_read_ended = true;
    let is_complete = state.proxied.end_of_response()?;
    state.failure = if is_complete { None } else { Some(CloseReason::Truncated) };
    Ok(())
}
