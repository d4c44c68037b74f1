//! TCP connections of clients: messages prefixed by their length (RFC 1035 section 4.2.2), several at once on one
//! connection, and responses in the order in which they are ready (RFC 7766).

use crate::executor::{OutgoingTransfer, Transport};
use lynxtally::RequestId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::connection_table::{ConnectionState, ConnectionTable, Inserted};
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::mailbox::Mailbox;
use lynxtally_net::memory_account::{Charge, ConnectionMemory, MemoryAccount, OutOfMemory};
use lynxtally_net::socket::PeerState;
use lynxtally_net::timer::Timer;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Stack of a connection's coroutine, sized for writing a transfer message. Only touched pages take memory.
const STACK_WORDS: usize = 0x4000;
/// The most requests of a connection without a response. While it is reached, nothing is read from the connection, nor
/// while responses wait to be written.
const MAX_PENDING_RESPONSES: usize = 64;
/// The same for a client that has closed its sending side. It may be gone, which only a written response can tell, so
/// each request begins after the response to the one before.
const MAX_PENDING_AFTER_END: usize = 1;
/// Messages of a transfer are added to the output until it has this many bytes.
const TRANSFER_OUTPUT_BYTES: usize = 16 * 1024;
/// The size of the input buffer, unless the current message is longer.
const INPUT_BYTES: usize = 4096;
/// How often another connection is evicted to read one message if there is no memory for it.
const MAX_EVICTIONS_PER_MESSAGE: usize = 4;
/// What an open connection costs: the touched pages of its stack, its entries in tables, and the allowance.
pub const CONNECTION_BYTES: usize = 20 * 1024;
/// What a connection may hold of messages and responses without a charge.
pub const ALLOWANCE_BYTES: usize = 8 * 1024;
/// The time for a message to be complete, and for the client to read its responses.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time after which an idle connection is closed (RFC 7766 section 6.2.3 leaves it to the server).
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A command of the server thread to a connection.
pub enum ConnectionCommand {
    /// Send a response, which is charged to the connection.
    Respond(Vec<u8>, Charge),
    /// Send the messages of a transfer.
    StartTransfer(Box<OutgoingTransfer>),
    /// Close at once, because a transfer can't be completed or the client sends no requests.
    Abort,
    /// Close, if no request is open. With the reason [`CloseReason::Evicted`] or [`CloseReason::TimedOut`] an incomplete
    /// message or an unread response does not prevent it.
    Close(CloseReason),
}

/// What a connection reports to the server thread.
pub enum ConnectionEvent {
    /// A message was received.
    MessageReceived(ReceivedMessage),
    /// The connection closed; the client of its open requests is gone.
    Closed(ConnectionHandle, CloseReason),
    /// A transfer ended: its request, its call, and whether it was sent completely.
    TransferEnded(RequestId, u64, bool),
}

/// A message that waits for the server thread.
pub struct ReceivedMessage {
    /// The message.
    pub octets: Vec<u8>,
    /// The client's address.
    pub from: SocketAddr,
    /// The connection that the response goes to.
    pub connection: ConnectionHandle,
    /// Charges the connection for the message while it waits.
    pub charge: Charge,
}

/// The server thread's handle on a connection.
#[derive(Clone)]
pub struct ConnectionHandle {
    commands: Arc<Mailbox<ConnectionCommand>>,
    memory: Arc<ConnectionMemory>,
}

impl ConnectionHandle {
    fn new(memory: Arc<ConnectionMemory>) -> Self {
        Self { commands: Arc::default(), memory }
    }

    /// Sends a command. Returns false if the connection is closed.
    pub fn push(&self, command: ConnectionCommand) -> bool {
        self.commands.push(command)
    }

    /// Sends a response. A connection that may hold no more is closed instead, because its client does not read.
    pub fn respond(&self, octets: Vec<u8>) -> bool {
        match self.memory.try_charge(octets.len()) {
            Ok(charge) => self.push(ConnectionCommand::Respond(octets, charge)),
            Err(OutOfMemory) => {
                self.push(ConnectionCommand::Abort);
                false
            }
        }
    }

    /// Whether the connection is closed, so that its client gets no response.
    pub fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Whether both are handles on the same connection.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.commands, &other.commands)
    }
}

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
            Self::Tcp(connection) => connection.push(ConnectionCommand::StartTransfer(transfer)),
            Self::Udp(_) => false,
        }
    }

    fn abort(&self) {
        if let Self::Tcp(connection) = self {
            connection.push(ConnectionCommand::Abort);
        }
    }
}

/// All open TCP connections and the listeners.
pub struct Connections {
    table: ConnectionTable<ConnectionHandle>,
    account: Arc<MemoryAccount>,
    listeners: ListenerSet,
    fair_yield: FairYield,
    on_event: Box<dyn Fn(ConnectionEvent) + Send + Sync>,
}

impl Connections {
    /// Creates a table of at most `max_connections` connections, which share the memory of `account`; `on_event` receives
    /// the events of all connections.
    pub fn new(
        max_connections: usize,
        account: Arc<MemoryAccount>,
        timer: Timer,
        fair_yield: FairYield,
        on_event: impl Fn(ConnectionEvent) + Send + Sync + 'static,
    ) -> Self {
        Self {
            table: ConnectionTable::new(max_connections),
            account,
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

    /// Closes the connections that were idle for [`IDLE_TIMEOUT`], or with `all` every idle one, and those that need
    /// longer than [`MESSAGE_TIMEOUT`] for a message.
    pub fn close_idle(&self, all: bool) {
        for handle in self.table.idle_for(if all { Duration::ZERO } else { IDLE_TIMEOUT }) {
            handle.push(ConnectionCommand::Close(CloseReason::IdleTimeout));
        }
        for handle in self.table.in_state_for(ConnectionState::Receiving, MESSAGE_TIMEOUT) {
            handle.push(ConnectionCommand::Close(CloseReason::TimedOut));
        }
    }

    /// Evicts a connection, so that its memory becomes free. Returns false if there is none in a state up to `last`.
    fn evict(&self, last: ConnectionState) -> bool {
        let evicted = self.table.evict(last);
        if let Some(evicted) = &evicted {
            evicted.push(ConnectionCommand::Close(CloseReason::Evicted));
        }
        evicted.is_some()
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

    /// Serves a new connection. If the table is full, another one is closed for it, or the new one if all others are busy.
    /// If the connections hold too much memory, the new one is closed, and another one to make room for the next.
    fn open(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = net::Connection::new(stream) else { return };
        let Ok(memory) = self.account.open_connection() else {
            self.evict(ConnectionState::Idle);
            return debug!(%from, "connection refused: the connections hold as much memory as they may");
        };
        let handle = ConnectionHandle::new(memory);
        let Ok(Inserted { number, evicted }) = self.table.insert(handle.clone()) else {
            return debug!(%from, "connection refused: the connection table is full and no connection may be evicted");
        };
        if let Some(evicted) = evicted {
            evicted.push(ConnectionCommand::Close(CloseReason::Evicted));
        }
        handle.commands.attach(&socket);
        let (connections, own_handle) = (self.clone(), handle.clone());
        let serve_connection = move || {
            let mut connection = Connection {
                connections: &connections,
                number,
                from,
                handle: &own_handle,
                pending_responses: 0,
                transfers: Vec::new(),
                input: Vec::new(),
                input_charge: own_handle.memory.charge(),
                output_charge: own_handle.memory.charge(),
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
    /// Bytes that were read and belong to no complete message yet.
    input: Vec<u8>,
    input_charge: Charge,
    output_charge: Charge,
}

/// How an attempt to read more went.
struct InputProgress {
    /// Whether there may be unread bytes that no further event announces.
    has_more: bool,
    /// The number of messages that were passed on.
    messages: usize,
}

impl Connection<'_> {
    fn report_closed(&mut self, reason: CloseReason) {
        for command in self.handle.commands.close() {
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
        loop {
            match self.serve_turn(&mut socket) {
                Ok(true) => {
                    // A plain yield would run this coroutine next again, and keep the others waiting.
                    socket.yield_to_others(&self.connections.fair_yield);
                }
                Ok(false) => socket.wait(),
                Err(reason) => return reason,
            }
        }
    }

    /// Takes commands, writes, and reads as much as one turn allows. Returns whether there is more to do at once.
    fn serve_turn(&mut self, socket: &mut net::Connection) -> Result<bool, CloseReason> {
        let close_command = self.take_commands(socket)?;
        self.write_transfers(socket)?;
        socket.flush()?;
        self.charge_output(socket)?;
        let peer = socket.peer_state();
        if peer == PeerState::Gone {
            // Nothing that the client sent before is begun now.
            return Err(CloseReason::Reset);
        }
        let mut progress = InputProgress { has_more: false, messages: 0 };
        if socket.is_flushed() {
            progress = self.read_messages(socket, peer)?;
        }
        self.record_state(socket);
        if let Some(reason) = close_command.filter(|reason| self.may_close(*reason, socket)) {
            return Err(reason);
        }
        Ok(progress.has_more || progress.messages > 0 || (!self.transfers.is_empty() && socket.is_flushed()))
    }

    fn take_commands(&mut self, socket: &mut net::Connection) -> Result<Option<CloseReason>, CloseReason> {
        let mut close_command = None;
        while let Some(command) = self.handle.commands.take() {
            match command {
                ConnectionCommand::Respond(octets, charge) => {
                    push_framed(socket.output(), &octets);
                    drop(charge);
                    self.pending_responses = self.pending_responses.saturating_sub(1);
                }
                ConnectionCommand::StartTransfer(transfer) => self.transfers.push(*transfer),
                ConnectionCommand::Abort => return Err(CloseReason::Cancelled),
                ConnectionCommand::Close(reason) => close_command = Some(reason),
            }
        }
        Ok(close_command)
    }

    /// Charges the output that the client has not read yet. Closes the connection if it may hold no more.
    fn charge_output(&mut self, socket: &mut net::Connection) -> Result<(), CloseReason> {
        self.output_charge.resize(socket.output().len()).map_err(|OutOfMemory| CloseReason::Evicted)
    }

    fn has_open_requests(&self) -> bool {
        self.pending_responses > 0 || !self.transfers.is_empty()
    }

    /// Whether a command to close the connection for this reason takes effect now.
    fn may_close(&self, reason: CloseReason, socket: &net::Connection) -> bool {
        let is_forced = matches!(reason, CloseReason::Evicted | CloseReason::TimedOut);
        !self.has_open_requests() && (is_forced || (socket.is_flushed() && self.input.is_empty()))
    }

    fn record_state(&self, socket: &net::Connection) {
        let state = if self.has_open_requests() {
            ConnectionState::Busy
        } else if !socket.is_flushed() || !self.input.is_empty() {
            ConnectionState::Receiving
        } else {
            ConnectionState::Idle
        };
        self.connections.table.set_state(self.number, state);
    }

    /// Adds messages of the current transfers to the output.
    fn write_transfers(&mut self, socket: &mut net::Connection) -> Result<(), CloseReason> {
        while socket.output().len() < TRANSFER_OUTPUT_BYTES {
            let Some(transfer) = self.transfers.first_mut() else { break };
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
        self.charge_output(socket)
    }

    /// Reads once, and passes the complete messages on to the server thread.
    fn read_messages(
        &mut self,
        socket: &mut net::Connection,
        peer: PeerState,
    ) -> Result<InputProgress, CloseReason> {
        let max_pending = match peer {
            PeerState::Open => MAX_PENDING_RESPONSES,
            _ => MAX_PENDING_AFTER_END,
        };
        if self.pending_responses >= max_pending {
            return Ok(InputProgress { has_more: false, messages: 0 });
        }
        let buffered_before = self.input.len();
        let messages_before = self.pass_on_messages(max_pending)?;
        let mut filled = ReadProgress::BufferFull;
        if self.pending_responses < max_pending {
            let capacity = self.input_capacity();
            self.reserve_input(socket, capacity)?;
            filled = socket.fill(&mut self.input, capacity)?;
        }
        let messages = messages_before + self.pass_on_messages(max_pending)?;
        self.free_input()?;
        if filled == ReadProgress::EndOfStream && messages == 0 && !self.has_open_requests() {
            let reason =
                if self.input.is_empty() { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
            return Err(reason);
        }
        let has_more = filled == ReadProgress::BufferFull
            && self.pending_responses < max_pending
            && self.input.len() != buffered_before;
        Ok(InputProgress { has_more, messages })
    }

    /// The number of bytes that the input buffer has to hold for the current message.
    fn input_capacity(&self) -> usize {
        let length =
            self.input.first_chunk::<2>().map_or(0, |length| usize::from(u16::from_be_bytes(*length)));
        INPUT_BYTES.max(2 + length)
    }

    /// Reserves memory for the input buffer. If there is none, other connections are evicted.
    fn reserve_input(&mut self, socket: &net::Connection, capacity: usize) -> Result<(), CloseReason> {
        let mut evictions = 0;
        while self.input_charge.resize(capacity.max(self.input.capacity())).is_err() {
            evictions += 1;
            if evictions > MAX_EVICTIONS_PER_MESSAGE || !self.connections.evict(ConnectionState::Receiving) {
                return Err(CloseReason::Evicted);
            }
            socket.yield_to_others(&self.connections.fair_yield);
        }
        self.input.reserve_exact(capacity.saturating_sub(self.input.len()));
        Ok(())
    }

    /// Frees the input buffer if it is empty, and the room of a long message that was passed on.
    fn free_input(&mut self) -> Result<(), CloseReason> {
        if self.input.is_empty() {
            self.input = Vec::new();
        } else {
            self.input.shrink_to(self.input_capacity());
        }
        let capacity = self.input.capacity();
        self.input_charge.resize(capacity).map_err(|OutOfMemory| CloseReason::Evicted)
    }

    /// Passes the complete messages in the buffer on, until `max_pending` requests are open. Returns how many.
    fn pass_on_messages(&mut self, max_pending: usize) -> Result<usize, CloseReason> {
        let (mut at, mut messages) = (0, 0);
        while let Some(head) = self.input.get(at..at + 2).filter(|_| self.pending_responses < max_pending) {
            let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
            if length < crate::codec::HEADER_BYTES {
                return Err(CloseReason::Malformed);
            }
            let Some(octets) = self.input.get(at + 2..at + 2 + length) else { break };
            let charge = self.handle.memory.try_charge(length).map_err(|OutOfMemory| CloseReason::Evicted)?;
            self.pending_responses += 1;
            (self.connections.on_event)(ConnectionEvent::MessageReceived(ReceivedMessage {
                octets: octets.to_vec(),
                from: self.from,
                connection: self.handle.clone(),
                charge,
            }));
            at += 2 + length;
            messages += 1;
        }
        self.input.drain(..at);
        Ok(messages)
    }
}

fn push_framed(out: &mut Vec<u8>, octets: &[u8]) {
    out.extend((octets.len() as u16).to_be_bytes());
    out.extend_from_slice(octets);
}
