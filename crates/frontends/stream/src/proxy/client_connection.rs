//! The client side of the proxy: accepts connections, reads the heads of requests, and starts the exchange of
//! each request.

use super::{caller_number, AfterRequest, ConnectionHandle, Proxy, STACK_WORDS};
use crate::http::{
    BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, ParsedHead, RequestHead, MAX_HEAD_BYTES,
};
use crate::idempotency::request_identity;
use crate::proxied_request::ProxiedRequest;
use crate::request_manager::{RequestHandle, RequestInfo};
use lynxtally_engine::{ContentFingerprint, Scheduler};
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
    /// Accepts a client's connection. If the connection table is full, the connection that has been idle for
    /// longest is closed; if none is idle, the new one is closed.
    pub fn accept(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = Socket::new(stream) else { return };
        self.limit_buffers(&socket);
        let handle = Arc::new(ConnectionHandle { close: AtomicBool::new(false), waker: socket.waker() });
        let Ok(Inserted { number, evicted }) = self.connections.insert(handle.clone()) else {
            return debug!(%from, "connection refused: the connection table is full and no connection is idle");
        };
        if let Some(evicted) = evicted {
            evicted.close.store(true, Ordering::Relaxed);
            evicted.waker.wakeup();
        }
        let proxy = self.clone();
        let work = move || {
            let reason = proxy.serve_client(&Arc::new(socket), from.ip(), number, &handle);
            debug!(%from, %reason, "client connection ended");
            proxy.connections.remove(number);
        };
        let proxy = self.clone();
        let failed = move |panic: Panic| {
            warn!(%from, %panic, "client connection closed: its coroutine panicked");
            proxy.connections.remove(number);
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.connections.remove(number);
        }
    }

    /// Serves the requests of a connection one after the other, and returns why the connection ended.
    pub(super) fn serve_client(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        number: u64,
        handle: &ConnectionHandle,
    ) -> CloseReason {
        let mut received = Vec::new();
        loop {
            let request = match self.read_head(socket, &mut received, number, handle) {
                Ok(request) => request,
                Err(Ok(reason)) => return reason,
                Err(Err(error)) => {
                    lock(&self.manager).resources.counts.invalid_messages += 1;
                    return self.close_with(socket, &LocalResponse::from_error(error));
                }
            };
            self.connections.set_idle(number, false);
            let next = match &self.archive {
                Some(archive) if self.is_upload_request(&request) => {
                    self.serve_upload_request(archive, socket, from, request, &mut received)
                }
                _ => self.proxy_request(socket, from, request, &mut received),
            };
            match next {
                AfterRequest::NextRequest => {}
                AfterRequest::Close(reason) => return reason,
            }
            self.connections.set_idle(number, true);
        }
    }

    /// Waits for the head of a request.
    ///
    /// # Errors
    /// `Err(Ok(_))` with the reason if the connection ended, and `Err(Err(_))` if the head is not valid.
    pub(super) fn read_head(
        &self,
        socket: &Arc<Socket>,
        received: &mut Vec<u8>,
        number: u64,
        handle: &ConnectionHandle,
    ) -> Result<RequestHead, Result<CloseReason, MessageError>> {
        let mut head_start = None;
        loop {
            // Empty lines before a request are allowed (RFC 9112 section 2.2).
            let blank_bytes = received.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            received.drain(..blank_bytes);
            if let Some(ParsedHead { head: request, length }) = RequestHead::parse(received).map_err(Err)? {
                received.drain(..length);
                return Ok(request);
            }
            let read = self.scratch.with(|scratch| {
                let read = socket.read(&mut scratch[..MAX_HEAD_BYTES + 1]);
                if let Ok(ReadOutcome::Bytes(bytes)) = read {
                    received.extend_from_slice(&scratch[..bytes]);
                }
                read
            });
            match read {
                Ok(ReadOutcome::Bytes(_)) => continue,
                Err(reason) => return Err(Ok(reason)),
                Ok(ReadOutcome::EndOfStream) => {
                    return Err(Ok(if received.is_empty() {
                        CloseReason::ClosedByPeer
                    } else {
                        CloseReason::Truncated
                    }))
                }
                Ok(_) if handle.close.load(Ordering::Relaxed) && received.is_empty() => {
                    return Err(Ok(CloseReason::IdleTimeout))
                }
                Ok(_) => {}
            }
            // A connection that sends its head slowly counts as busy, so it is not evicted as idle. The time
            // limit for heads keeps it from occupying its place in the table for long.
            self.connections.set_idle(number, received.is_empty());
            if !received.is_empty() {
                let limit = Duration::from_millis(self.settings.limits.head_ms);
                let since = *head_start.get_or_insert_with(|| {
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

    /// Writes the last response of a connection, then reads and discards input until the client closes its
    /// side or a limit is reached. Closing a socket with unread input resets the connection, and the client
    /// would lose the response.
    pub(crate) fn send_last_response(&self, socket: &Arc<Socket>, out: &[u8]) -> CloseReason {
        let limits = &self.settings.limits;
        let deadline = Instant::now() + Duration::from_millis(limits.rest_ms);
        let waker = socket.waker();
        self.timer.run_after(Duration::from_millis(limits.rest_ms), move || waker.wakeup());
        let (mut written, mut unread_limit, mut is_write_shut) = (0, limits.rest_kb << 10, false);
        loop {
            if written < out.len() {
                match socket.write(&out[written..]) {
                    Ok(bytes) => written += bytes,
                    Err(reason) => return reason,
                }
            }
            if written == out.len()
                && !std::mem::replace(&mut is_write_shut, true)
                && !socket.shutdown_write()
            {
                return CloseReason::Reset;
            }
            match self.scratch.with(|scratch| socket.read(scratch)) {
                Ok(ReadOutcome::Bytes(bytes)) if bytes as u64 <= unread_limit => unread_limit -= bytes as u64,
                Ok(ReadOutcome::WouldBlock) if Instant::now() < deadline => socket.wait(),
                Err(reason) => return reason,
                Ok(_) => return CloseReason::Completed,
            }
        }
    }

    /// Submits a request to the scheduler, and runs its exchange.
    pub(super) fn proxy_request(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        request: RequestHead,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let announced_bytes = match request.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let tenant = self.settings.tenant(&request);
        let accepted = self.settings.class(&request).and_then(|class| {
            let class_settings = &self.settings.classes[class];
            let identity = request_identity(&self.settings, class, &request, ContentFingerprint::Pending);
            if class_settings.effect == lynxtally::Effect::Deduplicated && identity.is_none() {
                return Err(MessageError::InvalidField("Idempotency-Key"));
            }
            Ok((class, identity, ProxiedRequest::new(request, class_settings.forwarding.clone())?))
        });
        let (class, identity, proxied) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                lock(&self.manager).resources.counts.invalid_messages += 1;
                return AfterRequest::Close(self.close_with(socket, &LocalResponse::from_error(error)));
            }
        };
        let handle = Arc::new(RequestHandle::new(class, socket.waker()));
        let info = RequestInfo { tenant, identity, announced_bytes, caller: caller_number(from) };
        if !self.with_manager(|manager, now| manager.submit(now, &handle, info)) {
            return AfterRequest::Close(self.close_with(socket, &LocalResponse::new(503, "not taken")));
        }
        self.run_exchange(socket, &handle, proxied, None, announced_bytes, received)
    }
}
