//! TCP connections of clients: messages prefixed by their length (RFC 1035 section 4.2.2), several at once on one
//! connection, and responses in the order in which they are ready (RFC 7766).

use crate::executor::{OutgoingTransfer, Transport};
use lynxtally::RequestId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::connection_table::{ConnectionTable, Inserted};
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::mailbox::Mailbox;
use lynxtally_net::timer::Timer;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Stack of a connection's coroutine, sized for writing a transfer message. Only touched pages take memory.
const STACK_WORDS: usize = 0x4000;
/// Limits of one connection: requests without a response, and bytes not yet written. While a limit is reached, nothing is
/// read from the connection.
const MAX_PENDING_RESPONSES: usize = 64;
const MAX_OUTPUT_BYTES: usize = 128 * 1024;
/// The time after which an idle connection is closed (RFC 7766 section 6.2.3 leaves it to the server).
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A command of the server thread to a connection.
pub enum ConnectionCommand {
    /// Send a response.
    Respond(Vec<u8>),
    /// Send the messages of a transfer.
    StartTransfer(Box<OutgoingTransfer>),
    /// Close at once, because a transfer can't be completed or the client sends no requests.
    Abort,
    /// Close if the connection is idle.
    Close(CloseReason),
}

/// What a connection reports to the server thread.
pub enum ConnectionEvent {
    /// A message was received from this address.
    MessageReceived(Vec<u8>, SocketAddr, ConnectionHandle),
    /// The connection closed; the client of its open requests is gone.
    Closed(ConnectionHandle, CloseReason),
    /// A transfer ended: its request, its call, and whether it was sent completely.
    TransferEnded(RequestId, u64, bool),
}

/// The server thread's handle on a connection.
#[derive(Clone)]
pub struct ConnectionHandle(pub Arc<Mailbox<ConnectionCommand>>);

/// How a response reaches its client.
#[derive(Clone)]
pub enum ResponsePath {
    /// As a datagram, from the socket with this index.
    Udp(usize),
    /// On a TCP connection.
    Tcp(ConnectionHandle),
}

impl Transport for ResponsePath {
    fn start_transfer(&self, transfer: Box<OutgoingTransfer>) -> bool {
        match self {
            Self::Tcp(ConnectionHandle(commands)) => {
                commands.push(ConnectionCommand::StartTransfer(transfer))
            }
            Self::Udp(_) => false,
        }
    }

    fn abort(&self) {
        if let Self::Tcp(ConnectionHandle(commands)) = self {
            commands.push(ConnectionCommand::Abort);
        }
    }
}

/// All open TCP connections and the listeners.
pub struct Connections {
    table: ConnectionTable<ConnectionHandle>,
    listeners: ListenerSet,
    fair_yield: FairYield,
    on_event: Box<dyn Fn(ConnectionEvent) + Send + Sync>,
}

impl Connections {
    /// Creates a table of at most `max_connections` connections; `on_event` receives the events of all connections.
    pub fn new(
        max_connections: usize,
        timer: Timer,
        fair_yield: FairYield,
        on_event: impl Fn(ConnectionEvent) + Send + Sync + 'static,
    ) -> Self {
        Self {
            table: ConnectionTable::new(max_connections),
            listeners: ListenerSet::new(timer),
            fair_yield,
            on_event: Box::new(on_event),
        }
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Closes the connections that were idle for [`IDLE_TIMEOUT`], or with `all` every idle one.
    pub fn close_idle(&self, all: bool) {
        for handle in self.table.idle_for(if all { Duration::ZERO } else { IDLE_TIMEOUT }) {
            handle.0.push(ConnectionCommand::Close(CloseReason::IdleTimeout));
        }
    }

    /// Stops accepting, waits until the listeners are closed, and closes all idle connections.
    pub fn close(&self) {
        self.close_idle(true);
        self.listeners.close();
        self.close_idle(true);
    }

    /// Accepts connections until [`Self::close`].
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        self.listeners.accept(listener, |stream, from| self.open(stream, from));
    }

    /// Serves a new connection. If the table is full, the longest idle one is closed for it, or the new one if all are busy.
    fn open(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = net::Connection::new(stream) else { return };
        let handle = ConnectionHandle(Arc::default());
        let Ok(Inserted { number, evicted }) = self.table.insert(handle.clone()) else {
            return debug!(%from, "connection refused: the connection table is full and no connection is idle");
        };
        if let Some(evicted) = evicted {
            evicted.0.push(ConnectionCommand::Close(CloseReason::Evicted));
        }
        handle.0.attach(&socket);
        let (connections, own_handle) = (self.clone(), handle.clone());
        let serve_connection = move || {
            let mut connection = Connection {
                connections: &connections,
                number,
                from,
                handle: &own_handle,
                pending_responses: 0,
                transfers: Vec::new(),
            };
            let reason = connection.serve(socket);
            debug!(%from, end = %reason, "connection ended");
            connection.report_closed(reason);
        };
        let connections = self.clone();
        let on_panic = move |panic: Panic| {
            warn!(%from, %panic, "client connection closed: its coroutine panicked");
            connections.table.remove(number);
            (connections.on_event)(ConnectionEvent::Closed(handle.clone(), CloseReason::InternalError));
        };
        if spawn(STACK_WORDS, serve_connection, on_panic).is_err() {
            self.table.remove(number);
        }
    }
}

struct Connection<'a> {
    connections: &'a Arc<Connections>,
    number: u64,
    from: SocketAddr,
    handle: &'a ConnectionHandle,
    /// Requests that have no response yet.
    pending_responses: usize,
    transfers: Vec<OutgoingTransfer>,
}

impl Connection<'_> {
    fn report_closed(&mut self, reason: CloseReason) {
        for command in self.handle.0.close() {
            if let ConnectionCommand::StartTransfer(transfer) = command {
                self.transfers.push(*transfer);
            }
        }
        for transfer in self.transfers.drain(..) {
            (self.connections.on_event)(ConnectionEvent::TransferEnded(
                transfer.request_id,
                transfer.call_number,
                false,
            ));
        }
        self.connections.table.remove(self.number);
        (self.connections.on_event)(ConnectionEvent::Closed(self.handle.clone(), reason));
    }

    fn serve(&mut self, mut socket: net::Connection) -> CloseReason {
        let (mut buffer, mut peer_sends) = (Vec::new(), true);
        loop {
            let mut close = None;
            while let Some(command) = self.handle.0.take() {
                match command {
                    ConnectionCommand::Respond(octets) => {
                        push_framed(socket.output(), &octets);
                        self.pending_responses = self.pending_responses.saturating_sub(1);
                    }
                    ConnectionCommand::StartTransfer(transfer) => self.transfers.push(*transfer),
                    ConnectionCommand::Abort => return CloseReason::Cancelled,
                    ConnectionCommand::Close(reason) => close = Some(reason),
                }
            }
            self.write_transfers(&mut socket);
            if let Err(reason) = socket.flush() {
                return reason;
            }
            let mut filled = ReadProgress::BufferFull;
            if peer_sends
                && self.pending_responses < MAX_PENDING_RESPONSES
                && socket.output().len() < MAX_OUTPUT_BYTES
            {
                filled = match socket.fill(&mut buffer, 2 + crate::codec::MAX_MESSAGE_BYTES) {
                    Ok(filled) => filled,
                    Err(reason) => return reason,
                };
                peer_sends = filled != ReadProgress::EndOfStream;
            }
            let received = match self.read_messages(&mut buffer) {
                Ok(received) => received,
                Err(reason) => return reason,
            };
            let idle = self.pending_responses == 0 && self.transfers.is_empty() && socket.is_flushed();
            if !peer_sends && idle {
                return if buffer.is_empty() { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
            }
            if let Some(reason) = close.filter(|_| idle && buffer.is_empty()) {
                return reason;
            }
            self.connections.table.set_idle(self.number, idle && buffer.is_empty());
            // If a full buffer or a limit left data unread, the socket reports no further event for that data.
            let room =
                self.pending_responses < MAX_PENDING_RESPONSES && socket.output().len() < MAX_OUTPUT_BYTES;
            let more = received
                || (peer_sends
                    && room
                    && filled == ReadProgress::BufferFull
                    && buffer.len() < 2 + crate::codec::MAX_MESSAGE_BYTES);
            if more || (!self.transfers.is_empty() && socket.is_flushed()) {
                // A plain yield would run this coroutine next again, and keep the others waiting for a whole transfer.
                socket.yield_to_others(&self.connections.fair_yield);
            } else {
                socket.wait();
            }
        }
    }

    /// Adds messages of the current transfers to the output, until it is half full.
    fn write_transfers(&mut self, socket: &mut net::Connection) {
        while socket.output().len() < MAX_OUTPUT_BYTES / 2 {
            let Some(transfer) = self.transfers.first_mut() else { return };
            match transfer.writer.next_message() {
                Some(octets) => push_framed(socket.output(), &octets),
                None => {
                    let transfer = self.transfers.remove(0);
                    // The transfer's messages were the response.
                    self.pending_responses = self.pending_responses.saturating_sub(1);
                    (self.connections.on_event)(ConnectionEvent::TransferEnded(
                        transfer.request_id,
                        transfer.call_number,
                        true,
                    ));
                }
            }
        }
    }

    /// Reports the complete messages in the buffer. Returns true if there was at least one.
    fn read_messages(&mut self, buffer: &mut Vec<u8>) -> Result<bool, CloseReason> {
        let mut at = 0;
        while let Some(head) =
            buffer.get(at..at + 2).filter(|_| self.pending_responses < MAX_PENDING_RESPONSES)
        {
            let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
            if length < crate::codec::HEADER_BYTES {
                return Err(CloseReason::Malformed);
            }
            let Some(octets) = buffer.get(at + 2..at + 2 + length) else { break };
            self.pending_responses += 1;
            (self.connections.on_event)(ConnectionEvent::MessageReceived(
                octets.to_vec(),
                self.from,
                self.handle.clone(),
            ));
            at += 2 + length;
        }
        buffer.drain(..at);
        if buffer.is_empty() {
            // An idle connection keeps no buffer.
            *buffer = Vec::new();
        }
        Ok(at > 0)
    }
}

fn push_framed(out: &mut Vec<u8>, octets: &[u8]) {
    out.extend((octets.len() as u16).to_be_bytes());
    out.extend_from_slice(octets);
}
