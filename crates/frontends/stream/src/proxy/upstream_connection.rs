//! The upstream side of the proxy: chooses an upstream and connects to it, and tries another one if that
//! fails and a retry is allowed.

use super::exchange::{Exchange, Transfer};
use super::{Proxy, STACK_WORDS};
use lynxtally::Span;
use lynxtally_engine::{RunEnd, Scheduler};
use lynxtally_flow::uploads::lifecycle::ForwardEnd;
use lynxtally_flow::AttemptState;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::lock;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Starts the coroutine of an exchange's upstream side.
    pub(super) fn spawn_upstream_side(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
        announced_bytes: Option<u64>,
    ) {
        let (proxy, own_exchange) = (self.clone(), exchange.clone());
        let work = move || proxy.try_upstreams(&own_exchange, announced_bytes);
        let (proxy, own_exchange) = (self.clone(), exchange.clone());
        let failed = move |panic: Panic| {
            warn!(%panic, "the coroutine of an upstream connection panicked; the request fails");
            proxy.with_manager(|manager, now| manager.end_request(now, &own_exchange.handle, RunEnd::Failed));
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.with_manager(|manager, now| {
                manager.end_request(now, &exchange.handle, RunEnd::Unavailable(Span::from_secs(1.0)))
            });
        }
    }

    /// Tries one upstream after the other, until the exchange is over or no further attempt is allowed.
    pub(super) fn try_upstreams(self: &Arc<Self>, exchange: &Arc<Exchange>, announced_bytes: Option<u64>) {
        let handle = &exchange.handle;
        let connect_timeout = Duration::from_millis(self.settings.limits.connect_ms);
        let mut excluded = Vec::new();
        loop {
            let chosen = self.with_manager(|manager, now| {
                manager.choose_upstream(now, handle, &excluded, announced_bytes)
            });
            let Some(upstream) = chosen else {
                return self.end_without_upstream(exchange);
            };
            let reason = match Socket::connect(self.settings.upstreams[upstream], connect_timeout) {
                Ok(socket) => {
                    self.limit_buffers(&socket);
                    let socket = Arc::new(socket);
                    *lock(&exchange.upstream_waker) = Some(socket.waker());
                    let mut state = lock(&exchange.state);
                    if state.outcome.is_some() {
                        return;
                    }
                    state.upstream = Some(socket.clone());
                    state.failure = None;
                    state.renew_connection();
                    drop(state);
                    match self.serve_upstream(exchange, &socket) {
                        Some(reason) => reason,
                        None => return,
                    }
                }
                Err(reason) => reason,
            };
            self.with_manager(|manager, now| manager.release_upstream(now, handle, Some(false)));
            excluded.push(upstream);
            let mut state = lock(&exchange.state);
            if state.outcome.is_some() {
                return;
            }
            state.upstream = None;
            state.failure = Some(reason);
            if state.proxied.has_response_begun() {
                let download = state
                    .proxied
                    .resumable_download()
                    .filter(|_| reason != CloseReason::AddressChanged && reason != CloseReason::Malformed);
                let allowed =
                    download.filter(|_| lock(&self.manager).try_resume(self.clock.now(), &excluded));
                let Some(download) = allowed else {
                    drop(state);
                    return self.end_without_upstream(exchange);
                };
                state.renew_connection();
                state.proxied.request_rest(download);
            } else {
                let attempt = AttemptState {
                    sent_bytes: state.sent_bytes,
                    is_head_sent: state.sent_bytes > 0,
                    has_copy: state.proxied.can_resend_body(),
                    has_response_begun: false,
                };
                if !lock(&self.manager).try_retry(self.clock.now(), handle, &excluded, attempt) {
                    drop(state);
                    return self.end_without_upstream(exchange);
                }
                state.renew_connection();
                // If nothing was sent, the waiting output is still the whole request.
                if attempt.sent_bytes > 0 {
                    state.proxied.resend();
                }
            }
        }
    }

    /// Ends an exchange that has no upstream left to try. It counts as not executed if nothing was sent to
    /// any upstream.
    pub(super) fn end_without_upstream(&self, exchange: &Exchange) {
        let state = lock(&exchange.state);
        let is_untouched = !state.has_ever_sent && !state.proxied.has_response_begun();
        let forward = state.archived_body.as_ref().map(|body| body.context.clone());
        drop(state);
        let forward_end = if is_untouched { ForwardEnd::NotReached } else { ForwardEnd::Lost };
        if forward.is_some_and(|forward| self.end_forward(&exchange.handle, &forward, forward_end, None)) {
            return;
        }
        let end = if is_untouched { RunEnd::Unavailable(Span::from_secs(1.0)) } else { RunEnd::Failed };
        self.with_manager(|manager, now| manager.end_request(now, &exchange.handle, end));
    }

    /// Transfers until the upstream fails, and returns why. Returns `None` once the exchange is over.
    pub(super) fn serve_upstream(&self, exchange: &Exchange, socket: &Arc<Socket>) -> Option<CloseReason> {
        loop {
            let transfer = self.transfer(exchange);
            let state = lock(&exchange.state);
            if state.outcome.is_some() || state.upstream.is_none() {
                return None;
            }
            if let Some(reason) = state.failure {
                return Some(reason);
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
