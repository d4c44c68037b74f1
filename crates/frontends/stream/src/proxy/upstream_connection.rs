//! The upstream side: an upstream is chosen and connected to, and another one where that fails and a retry is allowed.

use super::exchange::{Exchange, Transfer};
use super::{Proxy, STACK_WORDS};
use lynxtally::Span;
use lynxtally_engine::{RunEnd, Scheduler};
use lynxtally_flow::Sent;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::lock;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Starts the coroutine of the upstream side.
    pub(super) fn spawn_upstream_side(self: &Arc<Self>, exchange: &Arc<Exchange>, told: Option<u64>) {
        let (proxy, own) = (self.clone(), exchange.clone());
        let work = move || proxy.try_upstreams(&own, told);
        let (proxy, own) = (self.clone(), exchange.clone());
        let failed = move |panic: Panic| {
            warn!(%panic, "a coroutine to an upstream failed");
            proxy.with(|owner, now| owner.ended(now, &own.ticket, RunEnd::Failed));
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.with(|owner, now| {
                owner.ended(now, &exchange.ticket, RunEnd::Unavailable(Span::from_secs(1.0)))
            });
        }
    }

    /// Tries one upstream after the other, until one has responded or none may be tried any more.
    pub(super) fn try_upstreams(self: &Arc<Self>, exchange: &Arc<Exchange>, told: Option<u64>) {
        let ticket = &exchange.ticket;
        let within = Duration::from_millis(self.settings.limits.connect_ms);
        let mut not = Vec::new();
        loop {
            let chosen = self.with(|owner, now| owner.choose(now, ticket, &not, told));
            let Some(upstream) = chosen else {
                return self.end_without_upstream(exchange);
            };
            let end = match Socket::connect(self.settings.upstreams[upstream], within) {
                Ok(socket) => {
                    self.limit_buffers(&socket);
                    let socket = Arc::new(socket);
                    *lock(&exchange.upstream) = Some(socket.waker());
                    let mut state = lock(&exchange.state);
                    if state.over.is_some() {
                        return;
                    }
                    state.upstream = Some(socket.clone());
                    state.failed = None;
                    state.renew_connection();
                    drop(state);
                    match self.serve_upstream(exchange, &socket) {
                        Some(end) => end,
                        None => return,
                    }
                }
                Err(end) => end,
            };
            self.with(|owner, now| owner.let_go(now, ticket, Some(false)));
            not.push(upstream);
            let mut state = lock(&exchange.state);
            if state.over.is_some() {
                return;
            }
            state.upstream = None;
            state.failed = Some(end);
            if state.proxied.has_response_begun() {
                let piece = state
                    .proxied
                    .resumable_download()
                    .filter(|_| end != CloseReason::AddressChanged && end != CloseReason::Malformed);
                let may = piece.filter(|_| lock(&self.owner).may_go_on(self.clock.now(), &not));
                let Some(piece) = may else {
                    drop(state);
                    return self.end_without_upstream(exchange);
                };
                state.renew_connection();
                state.proxied.request_rest(piece);
            } else {
                let sent = Sent {
                    octets: state.sent_up,
                    head: state.sent_up > 0,
                    held: state.proxied.can_resend_body(),
                    answered: false,
                };
                if !lock(&self.owner).may_repeat(self.clock.now(), ticket, &not, sent) {
                    drop(state);
                    return self.end_without_upstream(exchange);
                }
                state.renew_connection();
                if sent.octets > 0 {
                    state.proxied.resend();
                }
            }
        }
    }

    /// Ends an exchange for which no upstream is left: as not executed where nothing was sent to one.
    pub(super) fn end_without_upstream(&self, exchange: &Exchange) {
        let state = lock(&exchange.state);
        let untouched = !state.ever_sent && !state.proxied.has_response_begun();
        drop(state);
        let end = if untouched { RunEnd::Unavailable(Span::from_secs(1.0)) } else { RunEnd::Failed };
        self.with(|owner, now| owner.ended(now, &exchange.ticket, end));
    }

    /// Transfers until the upstream fails, and returns why; or nothing once the exchange is over.
    pub(super) fn serve_upstream(&self, exchange: &Exchange, socket: &Arc<Socket>) -> Option<CloseReason> {
        loop {
            let transfer = self.transfer(exchange);
            let state = lock(&exchange.state);
            if state.over.is_some() || state.upstream.is_none() {
                return None;
            }
            if let Some(end) = state.failed {
                return Some(end);
            }
            drop(state);
            match transfer {
                Transfer::Over => return None,
                Transfer::Yield => self.fair_yield.yield_on(socket),
                Transfer::Blocked => socket.wait(),
            }
        }
    }
}
