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
use lynxtally_net::connection_table::{ConnectionState, Inserted};
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::memory_account::{Charge, ConnectionMemory, OutOfMemory};
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// The most bytes of a head that are read at once. A longer head is read in several steps, so that the buffer of a short
/// one is small.
const HEAD_READ_BYTES: usize = 4096;

/// How often another connection is evicted to read one head if there is no memory for it.
const MAX_EVICTIONS_PER_HEAD: usize = 4;

/// A client's connection.
struct Client {
    socket: Arc<Socket>,
    from: IpAddr,
    /// The number of the connection in the table.
    number: u64,
    handle: Arc<ConnectionHandle>,
    memory: Arc<ConnectionMemory>,
}

/// Why no head of a request was read.
enum HeadError {
    /// The connection ended, or is to be closed without a response.
    Closed(CloseReason),
    /// The head is not valid.
    Invalid(MessageError),
    /// The connections hold as much memory as they may.
    OutOfMemory,
}

/// Drops the empty lines before a request, which are allowed (RFC 9112 section 2.2). Returns how many bytes that were.
fn drop_blank_lines(received: &mut Vec<u8>) -> usize {
    let blank_bytes = received.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    received.drain(..blank_bytes);
    blank_bytes
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Accepts a client's connection. If the connection table is full, another connection is closed that has no request
    /// open; if all have one, the new connection is closed. If the connections hold as much memory as they may, the new
    /// one is closed, and another one to make room for the next.
    pub fn accept(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = Socket::new(stream) else { return };
        self.limit_buffers(&socket);
        let Ok(memory) = self.account.open_connection() else {
            self.evict(ConnectionState::Idle);
            return debug!(%from, "connection refused: the connections hold as much memory as they may");
        };
        let handle = Arc::new(ConnectionHandle {
            close: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            waker: socket.waker(),
        });
        let Ok(Inserted { number, evicted }) = self.connections.insert(handle.clone()) else {
            return debug!(%from, "connection refused: the connection table is full and no connection may be evicted");
        };
        if let Some(evicted) = evicted {
            evicted.evict();
        }
        let proxy = self.clone();
        let work = move || {
            let client = Client { socket: Arc::new(socket), from: from.ip(), number, handle, memory };
            let reason = proxy.serve_client(&client);
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

    /// Evicts a connection, so that its memory becomes free. Returns false if there is none in a state up to `last`.
    fn evict(&self, last: ConnectionState) -> bool {
        let evicted = self.connections.evict(last);
        if let Some(evicted) = &evicted {
            evicted.evict();
        }
        evicted.is_some()
    }

    /// Serves the requests of a connection one after the other, and returns why the connection ended.
    fn serve_client(self: &Arc<Self>, client: &Client) -> CloseReason {
        let socket = &client.socket;
        let mut received = Vec::new();
        let mut charge = client.memory.charge();
        loop {
            let request = match self.read_head(client, &mut received, &mut charge) {
                Ok(request) => request,
                Err(HeadError::Closed(reason)) => return reason,
                Err(HeadError::OutOfMemory) => {
                    return self.close_with(socket, &LocalResponse::new(503, "too many large requests"));
                }
                Err(HeadError::Invalid(error)) => {
                    lock(&self.manager).resources.counts.invalid_messages += 1;
                    return self.close_with(socket, &LocalResponse::from_error(error));
                }
            };
            // Nothing is begun for a client that is gone, although its requests are still readable.
            if socket.is_broken() {
                return CloseReason::Reset;
            }
            self.connections.set_state(client.number, ConnectionState::Busy);
            let next = match &self.archive {
                Some(archive) if self.is_upload_request(&request) => {
                    self.serve_upload_request(archive, socket, client.from, &request, &mut received)
                }
                _ => self.proxy_request(socket, client.from, request, &mut received),
            };
            match next {
                AfterRequest::NextRequest => {}
                AfterRequest::Close(reason) => return reason,
            }
            self.connections.set_state(client.number, ConnectionState::Idle);
        }
    }

    /// Waits for the head of a request, and charges the connection for it.
    fn read_head(
        &self,
        client: &Client,
        received: &mut Vec<u8>,
        charge: &mut Charge,
    ) -> Result<RequestHead, HeadError> {
        let Client { socket, number, handle, .. } = client;
        let (mut head_start, mut blank_bytes, mut bytes_in_turn) = (None, 0, 0);
        loop {
            blank_bytes += drop_blank_lines(received);
            if blank_bytes > MAX_HEAD_BYTES {
                return Err(HeadError::Invalid(MessageError::InvalidHead));
            }
            if let Some(ParsedHead { head: request, length }) =
                RequestHead::parse(received).map_err(HeadError::Invalid)?
            {
                received.drain(..length);
                let held = received.capacity() + length + request.memory_bytes();
                self.reserve(socket, charge, held)?;
                return Ok(request);
            }
            if received.is_empty() {
                self.connections.set_state(*number, ConnectionState::Idle);
            } else {
                self.connections.set_state(*number, ConnectionState::Receiving);
                self.check_head_time(socket, &mut head_start)?;
            }
            match self.read_head_bytes(socket, received, charge)? {
                ReadOutcome::Bytes(bytes) if bytes_in_turn + bytes <= MAX_HEAD_BYTES => {
                    bytes_in_turn += bytes
                }
                ReadOutcome::Bytes(_) => {
                    bytes_in_turn = 0;
                    self.fair_yield.yield_on(socket);
                }
                ReadOutcome::EndOfStream if received.is_empty() => {
                    return Err(HeadError::Closed(CloseReason::ClosedByPeer));
                }
                ReadOutcome::EndOfStream => return Err(HeadError::Closed(CloseReason::Truncated)),
                ReadOutcome::WouldBlock if handle.is_evicted.load(Ordering::Relaxed) => {
                    return Err(HeadError::Closed(CloseReason::Evicted));
                }
                ReadOutcome::WouldBlock if handle.close.load(Ordering::Relaxed) && received.is_empty() => {
                    return Err(HeadError::Closed(CloseReason::IdleTimeout));
                }
                ReadOutcome::WouldBlock => socket.wait(),
            }
        }
    }

    /// Reads once, and charges the connection for the buffer.
    fn read_head_bytes(
        &self,
        socket: &Arc<Socket>,
        received: &mut Vec<u8>,
        charge: &mut Charge,
    ) -> Result<ReadOutcome, HeadError> {
        let outcome = self.scratch.with(|scratch| {
            let outcome = socket.read(&mut scratch[..HEAD_READ_BYTES])?;
            if let ReadOutcome::Bytes(bytes) = outcome {
                received.reserve_exact(bytes);
                received.extend_from_slice(&scratch[..bytes]);
            }
            Ok(outcome)
        });
        if received.is_empty() {
            *received = Vec::new();
        }
        self.reserve(socket, charge, received.capacity())?;
        outcome.map_err(HeadError::Closed)
    }

    /// Changes what a connection is charged. If there is no room, other connections are evicted.
    fn reserve(&self, socket: &Arc<Socket>, charge: &mut Charge, bytes: usize) -> Result<(), HeadError> {
        let mut evictions = 0;
        while let Err(OutOfMemory) = charge.resize(bytes) {
            evictions += 1;
            if evictions > MAX_EVICTIONS_PER_HEAD || !self.evict(ConnectionState::Receiving) {
                return Err(HeadError::OutOfMemory);
            }
            self.fair_yield.yield_on(socket);
        }
        Ok(())
    }

    /// Checks the time limit of a head, and sets a timer for it when the head begins.
    fn check_head_time(
        &self,
        socket: &Arc<Socket>,
        head_start: &mut Option<Instant>,
    ) -> Result<(), HeadError> {
        let limit = Duration::from_millis(self.settings.limits.head_ms);
        let since = *head_start.get_or_insert_with(|| {
            let waker = socket.waker();
            self.timer.run_after(limit, move || waker.wakeup());
            Instant::now()
        });
        if since.elapsed() >= limit {
            return Err(HeadError::Closed(CloseReason::TimedOut));
        }
        Ok(())
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
    pub(crate) fn proxy_request(
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
