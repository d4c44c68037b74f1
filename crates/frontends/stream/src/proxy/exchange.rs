//! One request and its response, shared by the coroutines of the client and of the upstream.

use super::{AfterRequest, Proxy};
use crate::http::LocalResponse;
use crate::proxied_request::{ProxiedRequest, ProxyError};
use crate::request_manager::{Moved, Ticket};
use crate::upload_archive::{PendingOperation, UploadArchive};
use lynxtally_engine::{FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::UploadId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::lock;
use may::io::WaitIoWaker;
use std::sync::{Arc, Mutex};
use tracing::debug;

/// After transferring so many bytes, a coroutine yields to the others.
pub(super) const BYTES_PER_TURN: usize = 1024 * 1024;

/// What the coroutine does after transferring what it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transfer {
    /// It waits for its socket: nothing more can be transferred now.
    Blocked,
    /// It yields: there is more to be transferred.
    Yield,
    /// It ends: so has the exchange.
    Over,
}

/// How an exchange ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The whole response was written.
    Completed,
    /// The response was cut off, and must not look complete.
    Cut,
    /// The client closed its connection, or it failed.
    ClientGone(CloseReason),
}

/// A body that is read from the upload archive, not from the client.
pub(crate) struct ArchivedBody {
    pub archive: Arc<UploadArchive>,
    pub id: UploadId,
    /// The offset up to which it was read, in bytes.
    pub at: u64,
    /// Its length.
    pub end: u64,
    /// Bytes that were read and are not used yet.
    pub ready: Vec<u8>,
    /// The read under way.
    pub awaited: Option<PendingOperation>,
}

/// What both coroutines of an exchange work on.
pub(super) struct ExchangeState {
    pub(super) proxied: ProxiedRequest,
    pub(super) source: Option<ArchivedBody>,
    /// Bytes received from the client that are not used yet.
    pub(super) left: Vec<u8>,
    pub(super) upstream: Option<Arc<Socket>>,
    /// Nothing can be written to the upstream any more, though its response may still arrive.
    pub(super) up_closed: bool,
    /// The upstream sends no more.
    pub(super) up_ended: bool,
    /// Bytes written to the upstream on this connection.
    pub(super) sent_up: u64,
    /// Whether any were written, on this connection or an earlier one.
    pub(super) ever_sent: bool,
    /// Why this connection to an upstream has failed.
    pub(super) failed: Option<CloseReason>,
    pub(super) client_ended: bool,
    /// The client sent more before the response.
    pub(super) pipelined: bool,
    pub(super) kept: u64,
    pub(super) over: Option<Outcome>,
}

/// One request and its response.
pub(super) struct Exchange {
    pub(super) state: Mutex<ExchangeState>,
    pub(super) client: Arc<Socket>,
    pub(super) ticket: Arc<Ticket>,
    pub(super) upstream: Mutex<Option<WaitIoWaker>>,
}

impl ExchangeState {
    /// Counts bytes written to the upstream on this connection.
    pub(super) fn sent(&mut self, octets: usize) {
        self.sent_up += octets as u64;
        self.ever_sent |= octets > 0;
    }

    /// Forgets what is known of the connection to an upstream. This must come before the output for the next connection is
    /// prepared: the client's coroutine runs meanwhile, and drops output for a connection that takes no more.
    pub(super) fn renew_connection(&mut self) {
        self.up_closed = false;
        self.up_ended = false;
        self.sent_up = 0;
    }
}

impl Exchange {
    pub(super) fn wake_upstream(&self) {
        if let Some(waker) = &*lock(&self.upstream) {
            waker.wakeup();
        }
    }
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Carries out one exchange, from its submission to its end.
    pub(crate) fn run_exchange(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        proxied: ProxiedRequest,
        source: Option<ArchivedBody>,
        told: Option<u64>,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let exchange = Arc::new(Exchange {
            state: Mutex::new(ExchangeState {
                proxied,
                source,
                left: std::mem::take(came),
                upstream: None,
                up_closed: false,
                up_ended: false,
                sent_up: 0,
                ever_sent: false,
                failed: None,
                client_ended: false,
                pipelined: false,
                kept: 0,
                over: None,
            }),
            client: socket.clone(),
            ticket: ticket.clone(),
            upstream: Mutex::default(),
        });
        let mut begun = false;
        let over = loop {
            if ticket.running() && !std::mem::replace(&mut begun, true) {
                lock(&exchange.state).proxied.on_admitted();
                self.spawn_upstream_side(&exchange, told);
            }
            self.take_final_response(&exchange);
            match self.transfer(&exchange) {
                Transfer::Over => {
                    if let Some(over) = lock(&exchange.state).over {
                        break over;
                    }
                }
                Transfer::Yield => self.fair_yield.yield_on(socket),
                Transfer::Blocked => socket.wait(),
            }
        };
        self.end_exchange(&exchange, over, came)
    }

    /// Ends an exchange that is over for its client: reports it to the owner, and releases the upstream.
    pub(super) fn end_exchange(
        &self,
        exchange: &Arc<Exchange>,
        over: Outcome,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let mut state = lock(&exchange.state);
        let last = state.proxied.closes_connection();
        let whole = state.proxied.request_body.is_complete();
        let ticket = &exchange.ticket;
        if let Some(upstream) =
            state.upstream.take().filter(|_| !whole || !state.proxied.is_response_complete())
        {
            // A request that is cut off must not look complete.
            upstream.reset_on_close();
        }
        let well = state.proxied.response().map(|reply| reply.status < 500);
        let answered = well.is_some() && state.proxied.is_response_complete();
        let effect = lock(&self.owner).effect(ticket);
        let copy = state.proxied.take_response_copy();
        *came = std::mem::take(&mut state.left);
        let next = match over {
            Outcome::Completed if last || state.pipelined || state.client_ended => None,
            Outcome::Completed => Some(AfterRequest::NextRequest),
            Outcome::Cut => {
                exchange.client.reset_on_close();
                Some(AfterRequest::Close(CloseReason::Cancelled))
            }
            Outcome::ClientGone(end) => Some(AfterRequest::Close(end)),
        };
        drop(state);
        exchange.wake_upstream();
        let mut state = lock(&exchange.state);
        if let Some(source) = state.source.take() {
            // Where some was sent upstream without a response, an upload is kept only if it may be sent again.
            let again = effect == lynxtally::Effect::Idempotent || state.sent_up == 0;
            if !again || (answered && well == Some(true)) {
                source.archive.remove(source.id);
            }
        }
        drop(state);
        self.with(|owner, now| match over {
            Outcome::Completed if ticket.running() => {
                owner.let_go(now, ticket, well);
                owner.ended(now, ticket, RunEnd::Completed(copy.unwrap_or_default()));
            }
            Outcome::Completed => {}
            Outcome::Cut => {
                owner.hall.counts.cut += 1;
                owner.let_go(now, ticket, None);
                owner.ended(now, ticket, RunEnd::Failed);
            }
            Outcome::ClientGone(_) => {
                owner.let_go(now, ticket, None);
                owner.gone(now, ticket);
            }
        });
        next.unwrap_or_else(|| AfterRequest::Close(self.send_last_response(&exchange.client, &[])))
    }

    /// Takes the final response that the owner has for an exchange.
    pub(super) fn take_final_response(&self, exchange: &Exchange) {
        let Some(answer) = exchange.ticket.answer() else { return };
        let mut state = lock(&exchange.state);
        if state.over.is_some() {
            return;
        }
        let own = match answer {
            FinalResponse::Completed(octets) if !octets.is_empty() => {
                state.proxied.replay_response(&octets);
                return;
            }
            FinalResponse::Rejected { retry_after: hold_off, .. } => {
                let seconds = (hold_off.secs().ceil() as u64).max(1);
                LocalResponse {
                    retry_after_secs: Some(seconds),
                    ..LocalResponse::new(503, "not taken; nothing of it was done")
                }
            }
            FinalResponse::Completed(_) => LocalResponse::new(502, "done before, but its answer is not kept"),
            FinalResponse::Failed => match state.failed {
                Some(end) => LocalResponse::new(502, format!("the upstream failed: {end}")),
                None => LocalResponse::new(504, "not done in time"),
            },
        };
        if !state.proxied.respond_locally(&own) {
            state.over = Some(Outcome::Cut);
        }
    }

    /// Handles an error: one of the client is answered, or cuts the response off; for one of the upstream the upstream's
    /// coroutine decides whether to retry.
    pub(super) fn handle_error(&self, state: &mut ExchangeState, fault: ProxyError) {
        match fault {
            ProxyError::Client(bad) => {
                if !state.proxied.respond_locally(&LocalResponse::from_error(bad)) {
                    state.over = Some(Outcome::Cut);
                }
                // The client's framing is lost: nothing after this can be understood.
                state.client_ended = true;
            }
            ProxyError::Upstream(bad) => {
                debug!(%bad, "an upstream's answer can't be read");
                state.failed = Some(CloseReason::Malformed);
                state.up_ended = true;
            }
            ProxyError::ObjectChanged(changed) => {
                debug!(?changed, "the rest of a download is of another object");
                state.failed = Some(CloseReason::AddressChanged);
                state.up_ended = true;
            }
        }
    }

    /// Transfers bytes both ways, as far as is possible now.
    pub(super) fn transfer(&self, exchange: &Exchange) -> Transfer {
        let mut state = lock(&exchange.state);
        let state = &mut *state;
        if state.over.is_some() {
            return Transfer::Over;
        }
        if !exchange.ticket.running() && !state.proxied.has_response_begun() {
            if exchange.client.is_broken() {
                state.over = Some(Outcome::ClientGone(CloseReason::Reset));
                return Transfer::Over;
            }
            return Transfer::Blocked;
        }
        let rooms = lock(&self.owner).rooms(&exchange.ticket);
        let mut moved = Moved::default();
        let mut budget = BYTES_PER_TURN;
        let mut scratch = lock(&self.scratch);
        let mut again = true;
        while again && state.over.is_none() && budget > 0 {
            let before = state.proxied.client_output().len();
            let mut step = self.transfer_request(exchange, state, rooms, &mut scratch, &mut moved);
            step += self.transfer_response(exchange, state, rooms, &mut scratch, &mut moved);
            // What was added without anything having moved has to be offered to the client still.
            again = step > 0 || state.proxied.client_output().len() > before;
            if state.proxied.is_done() {
                // What the client sends from now on is its next message.
                break;
            }
            budget = budget.saturating_sub(step);
        }
        drop(scratch);
        if state.over.is_none() && state.proxied.is_done() {
            state.over = Some(Outcome::Completed);
        }
        moved.up_held = state.proxied.request_body.buffered_bytes() + state.left.len() as u64;
        moved.down_held = state.proxied.buffered_response_bytes();
        moved.waits_client =
            state.proxied.wants_request_body() && moved.up_held < rooms.up && !state.client_ended;
        let credit = rooms.credit.is_none_or(|credit| credit > moved.down_took);
        moved.more = !credit && !state.proxied.client_output().is_empty();
        let mut owner = lock(&self.owner);
        let now = self.clock.now();
        owner.moved(now, &exchange.ticket, moved);
        if state.proxied.request_body.kept_copy().is_some_and(|kept| kept.len() as u64 > state.kept) {
            let kept = state.proxied.request_body.kept_copy().map_or(0, <[u8]>::len) as u64;
            if owner.keep(&exchange.ticket, kept - state.kept) {
                state.kept = kept;
            } else {
                state.proxied.request_body.drop_copy();
            }
        }
        drop(owner);
        if moved.more {
            // Its turn on the link has to be asked for.
            self.turn();
        }
        if state.over.is_some() {
            exchange.ticket.wake();
            exchange.wake_upstream();
            return Transfer::Over;
        }
        if state.failed.is_some() {
            exchange.wake_upstream();
        }
        if again {
            Transfer::Yield
        } else {
            Transfer::Blocked
        }
    }
}
