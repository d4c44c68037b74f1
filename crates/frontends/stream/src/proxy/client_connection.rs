//! The client side: connections are accepted, the heads of requests read, and each request handed on.

use super::{caller, AfterRequest, ConnectionHandle, Proxy, STACK_WORDS};
use crate::http::{
    BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, ParsedHead, RequestHead, MAX_HEAD_BYTES,
};
use crate::proxied_request::ProxiedRequest;
use crate::request_manager::{Entering, Ticket};
use lynxtally_engine::Scheduler;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection_table::Inserted;
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Accepts a client's connection. Where the table is full, the connection that is idle for longest is closed; where
    /// none is idle, the new one.
    pub fn accept(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = Socket::new(stream) else { return };
        self.limit_buffers(&socket);
        let handle = Arc::new(ConnectionHandle { close: AtomicBool::new(false), waker: socket.waker() });
        let Ok(Inserted { number, evicted: goes }) = self.connections.insert(handle.clone()) else {
            return debug!(%from, "no room for a connection");
        };
        if let Some(goes) = goes {
            goes.close.store(true, Ordering::Relaxed);
            goes.waker.wakeup();
        }
        let proxy = self.clone();
        let work = move || {
            let end = proxy.serve_client(&Arc::new(socket), from.ip(), number, &handle);
            debug!(%from, %end, "connection ended");
            proxy.connections.remove(number);
        };
        let proxy = self.clone();
        let failed = move |panic: Panic| {
            warn!(%panic, "a connection's coroutine failed");
            proxy.connections.remove(number);
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.connections.remove(number);
        }
    }

    /// Serves the requests of a connection, one after the other, and returns why it ended.
    pub(super) fn serve_client(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        number: u64,
        handle: &ConnectionHandle,
    ) -> CloseReason {
        let mut came = Vec::new();
        loop {
            let asked = match self.read_head(socket, &mut came, number, handle) {
                Ok(asked) => asked,
                Err(Ok(end)) => return end,
                Err(Err(bad)) => {
                    lock(&self.owner).hall.counts.bad += 1;
                    return self.close_with(socket, &LocalResponse::from_error(bad));
                }
            };
            self.connections.set_idle(number, false);
            let next = match &self.archive {
                Some(archive) if self.is_upload(&asked) => {
                    self.upload(archive, socket, from, asked, &mut came)
                }
                _ => self.proxy_request(socket, from, asked, &mut came),
            };
            match next {
                AfterRequest::NextRequest => {}
                AfterRequest::Close(end) => return end,
            }
            self.connections.set_idle(number, true);
        }
    }

    /// Waits for the head of a request, and returns it, how the connection ended, or what is wrong with the head.
    pub(super) fn read_head(
        &self,
        socket: &Arc<Socket>,
        came: &mut Vec<u8>,
        number: u64,
        handle: &ConnectionHandle,
    ) -> Result<RequestHead, Result<CloseReason, MessageError>> {
        let mut begun = None;
        loop {
            // Empty lines before a message are allowed for (RFC 9112 section 2.2).
            let blank = came.iter().take_while(|octet| matches!(octet, b'\r' | b'\n')).count();
            came.drain(..blank);
            if let Some(ParsedHead { head: asked, length }) = RequestHead::parse(came).map_err(Err)? {
                came.drain(..length);
                return Ok(asked);
            }
            let mut scratch = lock(&self.scratch);
            let got = socket.read(&mut scratch[..MAX_HEAD_BYTES + 1]);
            if let Ok(ReadOutcome::Bytes(octets)) = got {
                came.extend_from_slice(&scratch[..octets]);
                continue;
            }
            drop(scratch);
            match got {
                Err(end) => return Err(Ok(end)),
                Ok(ReadOutcome::EndOfStream) => {
                    return Err(Ok(if came.is_empty() {
                        CloseReason::ClosedByPeer
                    } else {
                        CloseReason::Truncated
                    }))
                }
                Ok(_) if handle.close.load(Ordering::Relaxed) && came.is_empty() => {
                    return Err(Ok(CloseReason::IdleTimeout))
                }
                Ok(_) => {}
            }
            // One that sends its head by drips would hold a seat that others want.
            self.connections.set_idle(number, came.is_empty());
            if !came.is_empty() {
                let limit = Duration::from_millis(self.settings.limits.head_ms);
                let since = *begun.get_or_insert_with(|| {
                    let waker = socket.waker();
                    self.timer.run_after(limit, move || waker.wakeup());
                    Instant::now()
                });
                if since.elapsed() >= limit {
                    return Err(Ok(CloseReason::TimedOut));
                }
            }
            socket.wait();
        }
    }

    /// Ends a connection with a response of the proxy's own.
    pub(crate) fn close_with(&self, socket: &Arc<Socket>, response: &LocalResponse) -> CloseReason {
        let mut out = Vec::new();
        response.write(&mut out, ConnectionUse::Close, BodyUse::Included);
        self.send_last_response(socket, &out)
    }

    /// Writes the last response of a connection, and reads on for a while: if the connection were closed over unread input,
    /// the reset would make the client lose the response.
    pub(crate) fn send_last_response(&self, socket: &Arc<Socket>, out: &[u8]) -> CloseReason {
        let limits = &self.settings.limits;
        let until = Instant::now() + Duration::from_millis(limits.rest_ms);
        let waker = socket.waker();
        self.timer.run_after(Duration::from_millis(limits.rest_ms), move || waker.wakeup());
        let (mut written, mut rest, mut shut) = (0, limits.rest_kb << 10, false);
        loop {
            if written < out.len() {
                match socket.write(&out[written..]) {
                    Ok(octets) => written += octets,
                    Err(end) => return end,
                }
            }
            if written == out.len() && !std::mem::replace(&mut shut, true) && !socket.shutdown_write() {
                return CloseReason::Reset;
            }
            let mut scratch = lock(&self.scratch);
            let got = socket.read(&mut scratch);
            drop(scratch);
            match got {
                Ok(ReadOutcome::Bytes(octets)) if octets as u64 <= rest => rest -= octets as u64,
                Ok(ReadOutcome::WouldBlock) if Instant::now() < until => socket.wait(),
                Err(end) => return end,
                Ok(_) => return CloseReason::Completed,
            }
        }
    }

    /// Submits a request, and carries out its exchange.
    pub(super) fn proxy_request(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        asked: RequestHead,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let told = match asked.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let customer = self.settings.customer(&asked);
        let mark = asked.known.idempotency_key.clone();
        let made = self.settings.stage(&asked).and_then(|stage| {
            let stage_settings = &self.settings.stages[stage];
            if stage_settings.effect == lynxtally::Effect::Deduplicated && mark.is_none() {
                return Err(MessageError::InvalidField("Idempotency-Key"));
            }
            Ok((stage, ProxiedRequest::new(asked, stage_settings.plan.clone())?))
        });
        let (stage, proxied) = match made {
            Ok(made) => made,
            Err(bad) => {
                lock(&self.owner).hall.counts.bad += 1;
                return AfterRequest::Close(self.close_with(socket, &LocalResponse::from_error(bad)));
            }
        };
        let ticket = Arc::new(Ticket::new(stage, socket.waker()));
        let entering = Entering { customer, mark, told, caller: caller(from) };
        if !self.with(|owner, now| owner.enter(now, &ticket, entering)) {
            return AfterRequest::Close(self.close_with(socket, &LocalResponse::new(503, "not taken")));
        }
        self.run_exchange(socket, &ticket, proxied, None, told, came)
    }
}
