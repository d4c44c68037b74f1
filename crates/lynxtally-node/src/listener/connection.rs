//! One client connection. Its bytes are read as they arrive, and one request is open at a time.

use super::table::{ConnectionState, MIN_TIME_IN_STATE};
use super::Listener;
use crate::http::{ClientMessage, Framed, MessageReader, ParseError, ReceivedRequest};
use crate::messages::{ConnectionCommand, ConnectionHandle, Message, RequestRead};
use crate::response::{self, ResponseContext};
use lynxtally_engine::FinalResponse;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{Connection, ReadProgress};
use lynxtally_net::coroutine::catch_panic;
use lynxtally_net::socket::PeerState;
use lynxtally_net::sync::lock;
use tracing::{debug, warn};

/// After this many consecutive messages, the connection pauses so that other connections are served.
const MAX_MESSAGES_IN_A_ROW: usize = 64;
/// How many bytes a lingering connection reads and discards at once.
const LINGER_CHUNK_BYTES: usize = 16 * 1024;

/// A request that waits for its response.
struct OpenRequest {
    id: String,
    /// Whether the client closes the connection after this exchange.
    closes_connection: bool,
}

/// The state of a client connection's coroutine.
pub(super) struct ClientConnection<'a> {
    listener: &'a Listener,
    handle: &'a ConnectionHandle,
    number: u64,
    open_request: Option<OpenRequest>,
    /// Whether any response was written on this connection.
    has_responded: bool,
    reader: MessageReader,
    /// Whether the client can still send, that is, has not closed its sending side.
    read_open: bool,
    /// The reason to close the connection after its responses are written.
    pending_close: Option<CloseReason>,
    /// The connection's state in the listener's table.
    recorded_state: ConnectionState,
}

/// The observations of one pass through the loop in [`ClientConnection::serve`].
struct Pass {
    /// Whether responses of earlier passes are not fully written. Nothing is read in this state, because the
    /// responses to a client that sends messages without reading responses would fill the memory.
    is_backlogged: bool,
    /// Whether a message was handled or a response written.
    made_progress: bool,
    /// The number of messages handled.
    messages: usize,
    read: ReadProgress,
    /// The reason of a [`ConnectionCommand::Close`], if one arrived.
    close_command: Option<CloseReason>,
}

impl<'a> ClientConnection<'a> {
    pub(super) fn new(listener: &'a Listener, handle: &'a ConnectionHandle, number: u64) -> Self {
        Self {
            listener,
            handle,
            number,
            open_request: None,
            has_responded: false,
            reader: MessageReader::default(),
            read_open: true,
            pending_close: None,
            recorded_state: ConnectionState::New,
        }
    }

    /// Serves the connection until it ends, then lingers if necessary and removes it from the table.
    pub(super) fn run(mut self, mut connection: Connection) {
        let reason = catch_panic(|| self.serve(&mut connection)).unwrap_or_else(|panic| {
            warn!(connection = self.number, %panic, "coroutine of a client connection panicked");
            CloseReason::InternalError
        });
        self.reader = MessageReader::default();
        self.abandon_open_request(&mut connection, reason);
        self.listener.parts.counters.connections_closed.increment(reason);
        debug!(connection = self.number, %reason, "a connection ends");
        self.linger_after(&mut connection, reason);
        lock(&self.listener.table).remove(self.number);
        for command in self.handle.close() {
            if matches!(command, ConnectionCommand::Respond(_)) {
                self.listener.parts.counters.responses_undelivered.increment();
            }
        }
    }

    /// Handles the end of the connection before the response to its open request.
    fn abandon_open_request(&mut self, connection: &mut Connection, reason: CloseReason) {
        let Some(OpenRequest { id, .. }) = self.open_request.take() else { return };
        if reason == CloseReason::InternalError {
            let context = ResponseContext { capacity: None, closes_connection: true };
            response::write(connection.output(), &FinalResponse::Failed, context);
            // A write error is ignored, as the connection ends in any case.
            let _ = connection.flush();
        }
        if reason.caller_gone() {
            let gone = Message::ClientDisconnected { id, connection: self.handle.clone(), reason };
            // Sending fails only after the event loop has ended, and then the program ends too.
            let _ = self.listener.parts.event_loop.send(gone);
        }
    }

    /// Lingers if closing the connection immediately could lose the last response.
    fn linger_after(&self, connection: &mut Connection, reason: CloseReason) {
        match reason {
            CloseReason::Completed
            | CloseReason::IdleTimeout
            | CloseReason::ClosedByPeer
            | CloseReason::Malformed
            | CloseReason::TimedOut => {
                self.record_state(ConnectionState::Lingering);
                self.linger(connection);
            }
            // The connection keeps its state in the table while it lingers. It then still counts as evicted, and no
            // other connection is evicted in its place.
            CloseReason::Evicted if self.has_responded => {
                let handle = self.handle.clone();
                self.listener.parts.timer.run_after(MIN_TIME_IN_STATE, move || {
                    handle.push(ConnectionCommand::Close(CloseReason::Evicted));
                });
                self.linger(connection);
            }
            _ => {}
        }
    }

    /// Closes the sending side of the connection, then reads and discards what the client still sends.
    ///
    /// Closing a socket with unread bytes resets the connection, and the client may lose the last response. This
    /// method limits the discarded bytes. [`Listener::close_expired`] limits the time; an evicted connection gets a
    /// second close command, which ends its lingering earlier.
    fn linger(&self, connection: &mut Connection) {
        if !connection.shutdown_write() {
            return;
        }
        let mut discarded = Vec::new();
        let mut bytes_left = self.listener.parts.resource_limits.linger_bytes;
        while bytes_left > 0 {
            while let Some(command) = self.handle.take() {
                if matches!(command, ConnectionCommand::Close(_)) {
                    return;
                }
            }
            discarded.clear();
            match connection.fill(&mut discarded, LINGER_CHUNK_BYTES) {
                Ok(ReadProgress::EndOfStream) | Err(_) => return,
                Ok(ReadProgress::Drained) if discarded.is_empty() => connection.wait(),
                Ok(_) => self.listener.yield_to_others(),
            }
            bytes_left = bytes_left.saturating_sub(discarded.len());
        }
    }

    /// Serves the connection until it must be closed, and returns the reason.
    ///
    /// Each pass takes the commands, reads the available bytes, handles the messages in them and only then applies a
    /// close command, so that a request that arrived before the close command is served.
    fn serve(&mut self, connection: &mut Connection) -> CloseReason {
        loop {
            let mut pass = self.take_commands(connection);
            // Responses are written before the next request is begun, and nothing is begun for a client that is gone,
            // although the requests that it sent are still readable.
            if let Err(reason) = connection.flush() {
                return reason;
            }
            if connection.peer_state() == PeerState::Gone {
                return CloseReason::Reset;
            }
            pass.is_backlogged = !connection.is_flushed();
            if self.read_open && self.pending_close.is_none() && !pass.is_backlogged {
                match connection.fill(&mut self.reader.buffer, MessageReader::CLIENT_BUFFER_BYTES) {
                    Ok(read) => pass.read = read,
                    Err(reason) => return reason,
                }
                self.read_open = pass.read != ReadProgress::EndOfStream;
            }
            self.handle_messages(connection, &mut pass);
            if let Err(reason) = connection.flush() {
                return reason;
            }
            self.close_at_end_of_stream(&pass);
            if self.apply_close_command(connection, &pass) == CloseTiming::Immediate {
                return CloseReason::Reset;
            }
            if let Some(reason) = self.pending_close {
                if connection.is_flushed() && self.open_request.is_none() {
                    return reason;
                }
            }
            self.update_state(connection, &pass);
            if self.reader.buffer.is_empty() {
                // Frees the buffer while the connection is idle.
                self.reader.buffer = Vec::new();
            }
            if pass.is_backlogged && connection.is_flushed() {
                continue;
            }
            self.wait(connection, &pass);
        }
    }

    fn take_commands(&mut self, connection: &mut Connection) -> Pass {
        let mut made_progress = false;
        let mut close_command = None;
        while let Some(command) = self.handle.take() {
            match command {
                ConnectionCommand::Respond(response) => {
                    let closes = self.respond(connection.output(), &response);
                    self.pending_close = self.pending_close.or(closes.then_some(CloseReason::Completed));
                    made_progress = true;
                }
                ConnectionCommand::Close(reason) => close_command = Some(reason),
            }
        }
        Pass { is_backlogged: false, made_progress, messages: 0, read: ReadProgress::Drained, close_command }
    }

    fn can_handle_message(&self, pass: &Pass) -> bool {
        self.open_request.is_none()
            && self.pending_close.is_none()
            && !pass.is_backlogged
            && pass.messages < MAX_MESSAGES_IN_A_ROW
    }

    /// Handles the messages in the buffer, up to and including the first request.
    fn handle_messages(&mut self, connection: &mut Connection, pass: &mut Pass) {
        while self.can_handle_message(pass) {
            let now_ms = self.listener.clock.micros() / 1000;
            match self.reader.next_client_message(&self.listener.parts.schema, now_ms) {
                Ok(Some(message)) => {
                    let closes = self.handle_message(message, connection.output());
                    self.pending_close = closes.then_some(CloseReason::Completed);
                    pass.made_progress = true;
                    pass.messages += 1;
                }
                Ok(None) => break,
                Err(error) => self.reject_message(error, connection.output()),
            }
        }
    }

    fn reject_message(&mut self, error: ParseError, out: &mut Vec<u8>) {
        debug!(connection = self.number, %error, "client message not accepted; closing the connection");
        self.listener.count_parse_error(error);
        response::write_parse_error(out, error.status(), self.listener.response_context(true));
        self.pending_close = Some(CloseReason::Malformed);
    }

    fn close_at_end_of_stream(&mut self, pass: &Pass) {
        if self.can_handle_message(pass) && !self.read_open {
            let is_between_messages = self.reader.buffer.is_empty();
            self.pending_close =
                Some(if is_between_messages { CloseReason::ClosedByPeer } else { CloseReason::Truncated });
        }
    }

    /// Applies a close command, unless a request is open or this pass handled a message or wrote a response.
    fn apply_close_command(&mut self, connection: &Connection, pass: &Pass) -> CloseTiming {
        let Some(reason) = pass.close_command else { return CloseTiming::Deferred };
        if self.open_request.is_some() || pass.made_progress {
            return CloseTiming::Deferred;
        }
        // If the client has not read its last response, an eviction or a timeout discards the response. The close
        // before the end of the program (`Completed`) lets the client finish reading.
        if !connection.is_flushed() && reason != CloseReason::Completed {
            return CloseTiming::Immediate;
        }
        let is_mid_message = !self.reader.buffer.is_empty();
        if self.pending_close.is_none() && !(reason == CloseReason::IdleTimeout && is_mid_message) {
            self.pending_close = Some(reason);
        }
        CloseTiming::Deferred
    }

    fn update_state(&mut self, connection: &Connection, pass: &Pass) {
        let state = match self.recorded_state {
            _ if self.open_request.is_some() => ConnectionState::Serving,
            // A new connection stays `New` until its first message is complete, so that single bytes don't restart
            // its timeout.
            ConnectionState::New if !pass.made_progress => ConnectionState::New,
            _ if !connection.is_flushed() || !self.reader.buffer.is_empty() => ConnectionState::Partial,
            _ => ConnectionState::Idle,
        };
        if pass.made_progress || state != self.recorded_state {
            self.recorded_state = state;
            self.record_state(state);
        }
    }

    fn record_state(&self, state: ConnectionState) {
        lock(&self.listener.table).set_state(self.number, state);
    }

    /// Waits for the next event, or yields to other connections if more work is available immediately. Bytes that did
    /// not fit into the full buffer are read in the next pass or, while a request is open, after its response.
    fn wait(&self, connection: &Connection, pass: &Pass) {
        let has_room = self.reader.buffer.len() < MessageReader::CLIENT_BUFFER_BYTES;
        let has_more_messages = pass.messages == MAX_MESSAGES_IN_A_ROW;
        let has_more_bytes = pass.read == ReadProgress::BufferFull && has_room;
        if has_more_messages || has_more_bytes {
            self.listener.yield_to_others();
        } else {
            connection.wait();
        }
    }

    /// Handles one message. Returns true if the connection must be closed after it.
    fn handle_message(&mut self, message: Framed<ClientMessage>, out: &mut Vec<u8>) -> bool {
        match message.content {
            ClientMessage::HealthCheck => {
                let advertised = &self.listener.parts.advertised;
                self.listener.parts.counters.health_checks.increment();
                let closes = message.closes_connection || advertised.is_draining();
                self.has_responded = true;
                let context = self.listener.response_context(closes);
                response::write_health(out, advertised.is_healthy(), context);
                closes
            }
            ClientMessage::Request(request) => self.forward_request(*request, message.closes_connection, out),
        }
    }

    /// Sends a request to the event loop. Returns true if the connection must be closed, because the event loop has
    /// ended and the request was answered with a failure.
    fn forward_request(
        &mut self,
        request: ReceivedRequest,
        closes_connection: bool,
        out: &mut Vec<u8>,
    ) -> bool {
        debug!(id = request.id, connection = self.number, "request received");
        self.open_request = Some(OpenRequest { id: request.id.clone(), closes_connection });
        let read = RequestRead { request, connection: self.handle.clone() };
        if self.listener.parts.event_loop.send(Message::Request(read)).is_err() {
            return self.respond(out, &FinalResponse::Failed);
        }
        false
    }

    /// Writes the final response to the open request. Returns true if the connection must be closed after it.
    fn respond(&mut self, out: &mut Vec<u8>, response: &FinalResponse) -> bool {
        let Some(OpenRequest { id, closes_connection }) = self.open_request.take() else { return false };
        debug!(id, status = response::status(response), "response written");
        let closes = closes_connection || self.listener.parts.advertised.is_draining();
        response::write(out, response, self.listener.response_context(closes));
        self.has_responded = true;
        closes
    }
}

/// When a connection that got a close command is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseTiming {
    /// Now, even though the client has not read its last response.
    Immediate,
    /// Once all responses are written. If the command is ignored, the connection stays open.
    Deferred,
}
