//! One exchange: a request and its response. The coroutine of the client and that of the upstream share its
//! state, and either of them transfers bytes in both directions.

use super::{AfterRequest, Proxy};
use crate::http::{LocalResponse, MessageError};
use crate::proxied_request::{ProxiedRequest, ProxyError};
use crate::request_manager::{RequestHandle, TransferAllowance, TransferReport};
use crate::resumable_upload::ForwardContext;
use crate::upload_archive::PendingOperation;
use lynxtally_engine::{FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::lifecycle::ForwardEnd;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{PeerState, Socket};
use lynxtally_net::sync::lock;
use may::io::WaitIoWaker;
use std::sync::{Arc, Mutex};
use tracing::debug;

/// The bytes after which a coroutine yields to the others, so that one fast exchange does not delay them.
pub(crate) const BYTES_PER_TURN: usize = 1024 * 1024;

/// What a coroutine does next, after it has transferred what it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transfer {
    /// Nothing more can be transferred now: the coroutine waits for its socket.
    Blocked,
    /// There is more to transfer: the coroutine yields.
    Yield,
    /// The exchange is over: the coroutine ends.
    Over,
}

/// How an exchange ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The whole response was written.
    Completed,
    /// The response was cut off. The client's connection is reset, so that the client does not treat the
    /// response as complete.
    Cut,
    /// The client closed its connection, or the connection failed.
    ClientGone(CloseReason),
}

/// A request body that is read from the upload archive instead of the client.
pub(crate) struct ArchivedBody {
    /// The forward that sends the body.
    pub context: ForwardContext,
    /// Offset of the next byte to read.
    pub offset: u64,
    /// The length of the body in bytes.
    pub length: u64,
    /// Bytes that were read from the archive and not transferred yet.
    pub unused: Vec<u8>,
    /// The read of the archive that is in progress.
    pub pending_read: Option<PendingOperation>,
}

impl ArchivedBody {
    /// The body of a forward that has begun.
    pub(crate) fn new(length: u64, context: ForwardContext) -> Self {
        Self { context, offset: 0, length, unused: Vec::new(), pending_read: None }
    }
}

/// The state that both coroutines of an exchange share.
pub(super) struct ExchangeState {
    pub(super) proxied: ProxiedRequest,
    pub(super) archived_body: Option<ArchivedBody>,
    /// Bytes received from the client and not processed yet.
    pub(super) unused_input: Vec<u8>,
    pub(super) upstream: Option<Arc<Socket>>,
    /// Nothing more can be written to the upstream, though its response may still arrive.
    pub(super) upstream_write_closed: bool,
    /// The upstream sends nothing more.
    pub(super) upstream_read_ended: bool,
    /// Bytes written to the upstream on the current connection.
    pub(super) sent_bytes: u64,
    /// Whether any bytes were written to an upstream, on the current connection or an earlier one.
    pub(super) has_ever_sent: bool,
    /// Why the current connection to an upstream has failed.
    pub(super) failure: Option<CloseReason>,
    /// The client sends nothing more, or what it sends cannot be parsed.
    pub(super) client_input_ended: bool,
    /// The client sent another request before the response to this one was complete.
    pub(super) has_pipelined: bool,
    /// The bytes of the request body's copy that are reserved in the copy budget.
    pub(super) copied_bytes: u64,
    /// The client is gone, and the exchange goes on without it.
    pub(super) is_detached: bool,
    pub(super) outcome: Option<Outcome>,
}

/// A request and its response.
pub(super) struct Exchange {
    pub(super) state: Mutex<ExchangeState>,
    pub(super) client: Arc<Socket>,
    pub(super) handle: Arc<RequestHandle>,
    /// The length of the body that the request's head announces.
    announced_bytes: Option<u64>,
    pub(super) upstream_waker: Mutex<Option<WaitIoWaker>>,
}

impl ExchangeState {
    /// Counts bytes written to the upstream on the current connection.
    pub(super) fn record_sent(&mut self, bytes: usize) {
        self.sent_bytes += bytes as u64;
        self.has_ever_sent |= bytes > 0;
    }

    /// Whether the client may come back for the response: all bytes of the request are here, and a repeat of it gets the
    /// response.
    fn has_returning_client(&self) -> bool {
        let is_kept = self.proxied.request_body.is_complete() && self.proxied.keeps_response();
        self.archived_body.is_some() || is_kept
    }

    /// Handles the end of the client's connection. An execution for which the client may come back goes on once something
    /// was sent to an upstream.
    pub(super) fn client_gone(&mut self, handle: &RequestHandle, reason: CloseReason) {
        if self.has_returning_client() && self.has_ever_sent {
            self.is_detached = true;
            handle.detach();
        } else {
            self.outcome = Some(Outcome::ClientGone(reason));
        }
    }

    /// How the forward of an upload ended, with this outcome for its client.
    pub(super) fn forward_end(&self, outcome: Outcome) -> ForwardEnd {
        match self.proxied.response() {
            Some(response) if self.proxied.is_response_complete() => ForwardEnd::Answered {
                is_server_error: response.status >= 500,
                is_delivered: outcome == Outcome::Completed && !self.is_detached,
            },
            _ if self.has_ever_sent => ForwardEnd::Lost,
            _ => ForwardEnd::NotReached,
        }
    }

    /// Resets the state of the upstream connection. This must be done before the output for the next
    /// connection is prepared: the client's coroutine runs in the meantime, and discards output while the
    /// state says that the upstream takes no more.
    pub(super) fn renew_connection(&mut self) {
        self.upstream_write_closed = false;
        self.upstream_read_ended = false;
        self.sent_bytes = 0;
    }
}

impl Exchange {
    /// Why the client of a request that is not admitted yet is gone; `None` if it may be waiting. Nothing of the request's
    /// body has been read, so the client's departure is visible to the kernel only.
    fn departure_while_queued(&self, state: &ExchangeState) -> Option<CloseReason> {
        match self.client.peer_state() {
            PeerState::Open => None,
            PeerState::Gone => Some(CloseReason::Reset),
            // The request can't become complete if the client will send nothing more and the body is too short.
            PeerState::SendingClosed if state.archived_body.is_none() => {
                let arrived = state.unused_input.len() as u64 + self.client.unread_bytes();
                let missing = self.announced_bytes.is_some_and(|announced| announced > arrived);
                missing.then_some(CloseReason::Truncated)
            }
            PeerState::SendingClosed => None,
        }
    }

    pub(super) fn wake_upstream(&self) {
        if let Some(waker) = &*lock(&self.upstream_waker) {
            waker.wakeup();
        }
    }
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Runs an exchange from the submission of its request to its end.
    pub(crate) fn run_exchange(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        handle: &Arc<RequestHandle>,
        proxied: ProxiedRequest,
        archived_body: Option<ArchivedBody>,
        announced_bytes: Option<u64>,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let exchange = Arc::new(Exchange {
            state: Mutex::new(ExchangeState {
                proxied,
                archived_body,
                unused_input: std::mem::take(received),
                upstream: None,
                upstream_write_closed: false,
                upstream_read_ended: false,
                sent_bytes: 0,
                has_ever_sent: false,
                failure: None,
                client_input_ended: false,
                has_pipelined: false,
                copied_bytes: 0,
                is_detached: false,
                outcome: None,
            }),
            client: socket.clone(),
            handle: handle.clone(),
            announced_bytes,
            upstream_waker: Mutex::default(),
        });
        let mut has_started = false;
        let outcome = loop {
            if handle.is_admitted() && !has_started {
                if let Some(reason) = exchange.departure_while_queued(&lock(&exchange.state)) {
                    break Outcome::ClientGone(reason);
                }
                has_started = true;
                lock(&exchange.state).proxied.on_admitted();
                self.spawn_upstream_side(&exchange, announced_bytes);
            }
            if handle.is_compared() {
                lock(&exchange.state).proxied.receive_for_comparison();
            }
            self.take_final_response(&exchange);
            match self.transfer(&exchange) {
                Transfer::Over => {
                    if let Some(outcome) = lock(&exchange.state).outcome {
                        break outcome;
                    }
                }
                Transfer::Yield => self.fair_yield.yield_on(socket),
                Transfer::Blocked => socket.wait(),
            }
        };
        self.end_exchange(&exchange, outcome, received)
    }

    /// Ends an exchange whose outcome for the client is known: reports it to the manager, and releases the
    /// upstream.
    pub(super) fn end_exchange(
        &self,
        exchange: &Arc<Exchange>,
        outcome: Outcome,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let mut state = lock(&exchange.state);
        let closes = state.proxied.closes_connection();
        let is_body_complete = state.proxied.request_body.is_complete();
        let handle = &exchange.handle;
        if let Some(upstream) =
            state.upstream.take().filter(|_| !is_body_complete || !state.proxied.is_response_complete())
        {
            // A reset, unlike a normal close, keeps the upstream from treating a truncated request as a complete
            // one.
            upstream.reset_on_close();
        }
        let succeeded = state.proxied.response().map(|response| response.status < 500);
        // The copy is whole only if all of the response was written or discarded.
        let copy = state.proxied.take_response_copy().filter(|_| outcome == Outcome::Completed);
        *received = std::mem::take(&mut state.unused_input);
        let next = match outcome {
            Outcome::Completed if closes || state.has_pipelined || state.client_input_ended => None,
            Outcome::Completed => Some(AfterRequest::NextRequest),
            Outcome::Cut => {
                lock(&self.manager).resources.counts.cut_responses += 1;
                exchange.client.reset_on_close();
                Some(AfterRequest::Close(CloseReason::Cancelled))
            }
            Outcome::ClientGone(reason) => Some(AfterRequest::Close(reason)),
        };
        let next = if state.is_detached { Some(AfterRequest::Close(CloseReason::Reset)) } else { next };
        drop(state);
        exchange.wake_upstream();
        let mut state = lock(&exchange.state);
        let archived_body = state.archived_body.take();
        let forward_end = state.forward_end(outcome);
        let has_ever_sent = state.has_ever_sent;
        drop(state);
        if archived_body.is_some() && matches!(outcome, Outcome::ClientGone(_)) {
            self.with_manager(|manager, now| manager.caller_gone(now, handle));
        }
        let has_ended = archived_body
            .is_some_and(|body| self.end_forward(handle, &body.context, forward_end, copy.clone()));
        if !has_ended {
            // Nothing was executed if nothing was sent: the client may repeat the request under the same identity.
            let cancelled = if has_ever_sent { RunEnd::Stopped } else { RunEnd::NotStarted };
            self.end_proxied(exchange, outcome, succeeded, copy, cancelled);
        }
        next.unwrap_or_else(|| AfterRequest::Close(self.send_last_response(&exchange.client, &[])))
    }

    /// Reports the end of an exchange whose body came from the client. `cancelled` is how the run has ended if the client is
    /// gone.
    fn end_proxied(
        &self,
        exchange: &Exchange,
        outcome: Outcome,
        succeeded: Option<bool>,
        copy: Option<Vec<u8>>,
        cancelled: RunEnd,
    ) {
        let handle = &exchange.handle;
        self.with_manager(|manager, now| match outcome {
            // The request never ran. If its response was the proxy's own, the scheduler still waits for it.
            _ if !handle.is_admitted() => manager.client_gone(now, handle, cancelled),
            Outcome::Completed => {
                manager.release_upstream(now, handle, succeeded);
                manager.end_request(now, handle, RunEnd::Completed(copy.unwrap_or_default()));
            }
            Outcome::Cut => {
                manager.release_upstream(now, handle, None);
                manager.end_request(now, handle, RunEnd::Failed);
            }
            Outcome::ClientGone(_) => {
                manager.release_upstream(now, handle, None);
                manager.client_gone(now, handle, cancelled);
            }
        });
    }

    /// Takes the final response that the manager has for an exchange, if there is one.
    pub(super) fn take_final_response(&self, exchange: &Exchange) {
        let Some(response) = exchange.handle.take_response() else { return };
        let mut state = lock(&exchange.state);
        if state.outcome.is_some() {
            return;
        }
        let local = match response {
            FinalResponse::Completed(bytes) if !bytes.is_empty() => {
                lock(&self.manager).resources.counts.replayed += 1;
                state.proxied.replay_response(&bytes);
                return;
            }
            FinalResponse::KeyConflict => {
                lock(&self.manager).resources.counts.key_conflicts += 1;
                LocalResponse::from_error(MessageError::KeyConflict)
            }
            FinalResponse::Rejected { retry_after, .. } => {
                let seconds = (retry_after.secs().ceil() as u64).max(1);
                LocalResponse {
                    retry_after_secs: Some(seconds),
                    ..LocalResponse::new(503, "not taken; nothing of it was done")
                }
            }
            FinalResponse::Completed(_) => {
                LocalResponse::new(502, "the request was executed before, but its response is not kept")
            }
            FinalResponse::WithoutResult => LocalResponse::new(
                502,
                "an earlier request with this key was or may have been executed, and there is no response to give",
            ),
            FinalResponse::Failed => match state.failure {
                Some(reason) => LocalResponse::new(502, format!("the upstream failed: {reason}")),
                None => LocalResponse::new(504, "not done in time"),
            },
        };
        if !state.proxied.respond_locally(&local) {
            state.outcome = Some(Outcome::Cut);
        }
    }

    /// Handles an error. An error that the client caused gets a response, or cuts off the response that has
    /// already begun. An error that the upstream caused ends the upstream's connection, and the upstream's
    /// coroutine decides whether to retry.
    pub(super) fn handle_error(&self, state: &mut ExchangeState, error: ProxyError) {
        match error {
            ProxyError::Client(error) => {
                if !state.proxied.respond_locally(&LocalResponse::from_error(error)) {
                    state.outcome = Some(Outcome::Cut);
                }
                // After an error in the client's framing, further input cannot be parsed.
                state.client_input_ended = true;
            }
            ProxyError::Upstream(error) => {
                debug!(%error, "the upstream sent an invalid response");
                state.failure = Some(CloseReason::Malformed);
                state.upstream_read_ended = true;
            }
            ProxyError::ObjectChanged(changed) => {
                debug!(?changed, "the upstream's response does not continue the interrupted download");
                state.failure = Some(CloseReason::AddressChanged);
                state.upstream_read_ended = true;
            }
        }
    }

    /// Transfers bytes in both directions until nothing more can be transferred, the request is done, or the bytes of
    /// one turn are used up. Returns whether the last step made progress.
    fn transfer_until_blocked(
        &self,
        exchange: &Exchange,
        state: &mut ExchangeState,
        allowance: TransferAllowance,
        report: &mut TransferReport,
    ) -> bool {
        let mut budget = BYTES_PER_TURN;
        let mut progressed = true;
        while progressed && state.outcome.is_none() && budget > 0 {
            let output_before = state.proxied.client_output().len();
            let step = self.scratch.with(|scratch| {
                self.transfer_request(exchange, state, allowance, scratch, report)
                    + self.transfer_response(exchange, state, allowance, scratch, report)
            });
            // Output that was added without any transfer, such as a response of the proxy's own, still has to
            // be written.
            progressed = step > 0 || state.proxied.client_output().len() > output_before;
            if state.proxied.is_done() {
                // What the client sends from now on belongs to its next request.
                break;
            }
            budget = budget.saturating_sub(step);
        }
        progressed
    }

    /// Transfers bytes in both directions as far as possible now.
    pub(super) fn transfer(&self, exchange: &Exchange) -> Transfer {
        let mut state = lock(&exchange.state);
        let state = &mut *state;
        if state.outcome.is_some() {
            return Transfer::Over;
        }
        let may_transfer = exchange.handle.is_admitted() || state.proxied.is_compared();
        if !may_transfer && !state.proxied.has_response_begun() {
            state.outcome = exchange.departure_while_queued(state).map(Outcome::ClientGone);
            return if state.outcome.is_some() { Transfer::Over } else { Transfer::Blocked };
        }
        let allowance = lock(&self.manager).allowance(&exchange.handle);
        let mut report = TransferReport::default();
        let progressed = self.transfer_until_blocked(exchange, state, allowance, &mut report);
        if state.outcome.is_none() && state.proxied.is_done() {
            state.outcome = Some(Outcome::Completed);
        }
        report.held_for_upstream =
            state.proxied.request_body.buffered_bytes() + state.unused_input.len() as u64;
        report.held_for_client = state.proxied.buffered_response_bytes();
        report.awaits_client_body = state.proxied.wants_request_body()
            && report.held_for_upstream < allowance.upstream_window
            && !state.client_input_ended;
        let has_credit = allowance.link_credit.is_none_or(|credit| credit > report.written_to_client);
        report.needs_link_turn = !has_credit && !state.proxied.client_output().is_empty();
        let mut manager = lock(&self.manager);
        let now = self.clock.now();
        manager.record_transfer(now, &exchange.handle, report);
        if state.proxied.request_body.kept_copy().is_some_and(|copy| copy.len() as u64 > state.copied_bytes) {
            let copied_bytes = state.proxied.request_body.kept_copy().map_or(0, <[u8]>::len) as u64;
            if manager.reserve_copy(&exchange.handle, copied_bytes - state.copied_bytes) {
                state.copied_bytes = copied_bytes;
            } else {
                state.proxied.request_body.drop_copy();
            }
        }
        let fingerprint = state.proxied.take_fingerprint();
        if let Some(fingerprint) = fingerprint {
            manager.content_received(&exchange.handle, fingerprint);
        }
        drop(manager);
        if report.needs_link_turn || fingerprint.is_some() {
            // Lets the manager grant the request its turn on the link, or respond to duplicates.
            self.run_manager();
        }
        if state.outcome.is_some() {
            exchange.handle.wake_client();
            exchange.wake_upstream();
            return Transfer::Over;
        }
        if state.failure.is_some() {
            exchange.wake_upstream();
        }
        if progressed {
            Transfer::Yield
        } else {
            Transfer::Blocked
        }
    }
}
