//! The request direction of an exchange: from the client, or the upload archive, to the upstream.

use super::exchange::{Exchange, ExchangeState, Outcome};
use super::{Proxy, FRAMING_BYTES, MAX_PIPELINED_BYTES, SCRATCH_BYTES};
use crate::request_manager::{TransferAllowance, TransferReport};
use crate::upload_archive::PendingOperation;
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Reads the request from the client or the upload archive, and writes it to the upstream, as far as
    /// possible now. Returns the bytes read plus the buffered bytes written, as a measure of progress; 0 if
    /// nothing changed.
    pub(super) fn transfer_request(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        allowance: TransferAllowance,
        scratch: &mut [u8],
        report: &mut TransferReport,
    ) -> usize {
        let upstream = state.upstream.clone().filter(|_| !state.upstream_write_closed);
        let mut transferred = 0;
        if let Some(upstream) = &upstream {
            transferred += write_request_output(state, upstream, report);
        }
        // An upstream that takes no more and was sent some of the body gets no more of it: the rest is read
        // and discarded. An upstream that was sent nothing may be replaced by another one, which has to get
        // the whole body, so nothing is discarded.
        let takes_no_more =
            state.upstream_write_closed && (state.sent_bytes > 0 || state.proxied.has_response_begun());
        let drops_body = takes_no_more || state.proxied.is_body_refused() || state.proxied.is_compared();
        if drops_body {
            state.proxied.request_body.out.discard();
        }
        let room = request_room(state, allowance);
        if state.client_input_ended || exchange.handle.has_response() {
            return transferred;
        }
        if state.proxied.request_body.has_undecoded() {
            return transferred + self.decode_waiting_body(state, room);
        }
        if state.archived_body.is_some() {
            return transferred + self.read_archived_body(exchange, state, room);
        }
        if !state.proxied.wants_request_body() {
            watch_client(exchange, state, scratch);
            return transferred;
        }
        let max_bytes = room.min(scratch.len());
        let count = read_client(exchange, state, &mut scratch[..max_bytes]);
        report.received_from_client += count as u64;
        transferred += count;
        let mut passed = 0;
        if let Some(upstream) = upstream.filter(|_| !drops_body) {
            passed = self.pass_through(state, &upstream, &scratch[..count], report);
        }
        if passed < count {
            self.receive_body(state, &scratch[passed..count], room);
        }
        transferred
    }

    /// Decodes more of the received body, as far as there is room. Returns 1 if that changed the number of
    /// buffered bytes, and 0 if not.
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

    /// Writes bytes of the body that need no change directly to the upstream, and returns how many.
    fn pass_through(
        &self,
        state: &mut ExchangeState,
        upstream: &Socket,
        bytes: &[u8],
        report: &mut TransferReport,
    ) -> usize {
        let unchanged = state.proxied.request_body.passthrough_length(bytes.len());
        if unchanged == 0 {
            return 0;
        }
        let Ok(written) = upstream.write(&bytes[..unchanged]) else {
            state.upstream_write_closed = true;
            return 0;
        };
        state.record_sent(written);
        report.written_to_upstream += written as u64;
        if let Err(error) = state.proxied.record_request_passthrough(&bytes[..written]) {
            self.handle_error(state, error);
        }
        written
    }

    /// Receives bytes of the body. Those past its end belong to the next request, and are kept for it.
    fn receive_body(&self, state: &mut ExchangeState, bytes: &[u8], room: usize) {
        match state.proxied.receive_request_body(bytes, room) {
            Ok(used) if used < bytes.len() => {
                state.unused_input.splice(..0, bytes[used..].iter().copied());
                state.has_pipelined = true;
            }
            Ok(_) => {}
            Err(error) => self.handle_error(state, error),
        }
    }

    /// Passes bytes that were read from the upload archive to the proxied request, and returns how many. Starts
    /// the next read of the archive if none are waiting.
    pub(super) fn read_archived_body(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        room: usize,
    ) -> usize {
        if !state.is_detached && exchange.client.is_broken() {
            state.client_gone(&exchange.handle, CloseReason::Reset);
        }
        let Some(archived_body) =
            state.archived_body.as_mut().filter(|_| room > 0 && state.proxied.wants_request_body())
        else {
            return 0;
        };
        if let Some(result) = archived_body.pending_read.as_ref().and_then(PendingOperation::take) {
            archived_body.pending_read = None;
            match result {
                Ok(bytes) if !bytes.is_empty() => {
                    archived_body.offset += bytes.len() as u64;
                    archived_body.unused = bytes;
                }
                // The read failed, or the file is shorter than the upload: the body is incomplete and must
                // not look complete.
                _ => {
                    state.failure = Some(CloseReason::InternalError);
                    state.upstream_read_ended = true;
                    return 0;
                }
            }
        }
        if archived_body.unused.is_empty() {
            if archived_body.pending_read.is_none() && archived_body.offset < archived_body.length {
                let max_bytes = (archived_body.length - archived_body.offset).min(usize::MAX as u64) as usize;
                let handle = exchange.handle.clone();
                let read = archived_body.context.archive.read(
                    archived_body.context.id,
                    archived_body.offset,
                    max_bytes,
                    move || handle.wake_client(),
                );
                archived_body.pending_read = Some(read);
            }
            return 0;
        }
        let rest = archived_body.unused.split_off(room.min(archived_body.unused.len()));
        let bytes = std::mem::replace(&mut archived_body.unused, rest);
        match state.proxied.receive_request_body(&bytes, room) {
            Ok(_) => bytes.len(),
            Err(error) => {
                self.handle_error(state, error);
                0
            }
        }
    }
}

/// Writes waiting output to the upstream, and returns how many bytes the upstream took.
fn write_request_output(state: &mut ExchangeState, upstream: &Socket, report: &mut TransferReport) -> usize {
    let Ok(written) = upstream.write(state.proxied.request_body.out.front()) else {
        // The response may still be readable.
        state.upstream_write_closed = true;
        return 0;
    };
    state.proxied.request_body.out.consume(written);
    state.record_sent(written);
    report.written_to_upstream += written as u64;
    written
}

/// How many more bytes of the body may be buffered.
fn request_room(state: &ExchangeState, allowance: TransferAllowance) -> usize {
    if state.proxied.is_body_refused() {
        return MAX_PIPELINED_BYTES;
    }
    if state.proxied.is_compared() {
        // Once there is a response, the comparison no longer matters.
        return if state.proxied.has_response_begun() { 0 } else { SCRATCH_BYTES };
    }
    let buffered = state.proxied.request_body.buffered_bytes();
    allowance.upstream_window.saturating_sub(buffered + FRAMING_BYTES) as usize
}

/// Fills the buffer with bytes from the client, first those that were received before, and returns how many.
fn read_client(exchange: &Exchange, state: &mut ExchangeState, buffer: &mut [u8]) -> usize {
    if buffer.is_empty() {
        // Without a read, only the kernel knows that the client is gone. What was received before may be the rest of the
        // body, so a body of which something was sent goes on first.
        let may_become_complete = state.has_ever_sent && !state.unused_input.is_empty();
        if !may_become_complete && exchange.client.is_broken() {
            state.outcome = Some(Outcome::ClientGone(CloseReason::Reset));
        }
        return 0;
    }
    if !state.unused_input.is_empty() {
        let count = state.unused_input.len().min(buffer.len());
        buffer[..count].copy_from_slice(&state.unused_input[..count]);
        state.unused_input.drain(..count);
        return count;
    }
    match exchange.client.read(buffer) {
        Ok(ReadOutcome::Bytes(count)) => return count,
        Ok(ReadOutcome::WouldBlock) => {}
        Ok(ReadOutcome::EndOfStream) => state.outcome = Some(Outcome::ClientGone(CloseReason::Truncated)),
        Err(reason) => state.outcome = Some(Outcome::ClientGone(reason)),
    }
    0
}

/// After the body, watches for the client's next request and for the end of its connection.
fn watch_client(exchange: &Exchange, state: &mut ExchangeState, scratch: &mut [u8]) {
    if state.is_detached {
        return;
    }
    if state.has_pipelined || !state.unused_input.is_empty() {
        state.has_pipelined = true;
        if exchange.client.is_broken() {
            state.client_gone(&exchange.handle, CloseReason::Reset);
        }
        return;
    }
    match exchange.client.read(&mut scratch[..MAX_PIPELINED_BYTES]) {
        Ok(ReadOutcome::Bytes(count)) => {
            state.unused_input.extend_from_slice(&scratch[..count]);
            state.has_pipelined = true;
        }
        Ok(ReadOutcome::WouldBlock) => {}
        Ok(ReadOutcome::EndOfStream) => state.client_input_ended = true,
        Err(reason) => state.client_gone(&exchange.handle, reason),
    }
}
