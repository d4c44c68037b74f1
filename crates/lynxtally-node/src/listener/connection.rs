//! One connection from a client: read eagerly, one request at a time.

use super::table::{ConnectionState, MIN_TIME_IN_STATE};
use super::Listener;
use crate::http::{ClientMessage, Framed, MessageReader, ParseError, ReceivedRequest};
use crate::messages::{ConnectionCommand, ConnectionHandle, Message, RequestRead};
use crate::response::{self, ResponseContext};
use lynxtally_engine::FinalResponse;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{Connection, ReadProgress};
use lynxtally_net::coroutine::catch_panic;
use lynxtally_net::sync::lock;
use tracing::{debug, warn};

/// So many messages are handled in one go; then the other connections run.
const MAX_MESSAGES_IN_A_ROW: usize = 64;
/// How much is read at once of what nobody will look at, in bytes.
const LINGER_CHUNK_BYTES: usize = 16 * 1024;

/// A request whose response is awaited.
struct OpenRequest {
    id: String,
    /// Whether the client closes the connection after this exchange.
    closes_connection: bool,
}

/// One connection while it is served.
pub(super) struct ClientConnection<'a> {
    listener: &'a Listener,
    handle: &'a ConnectionHandle,
    number: u64,
    open_request: Option<OpenRequest>,
    /// Whether any response was written on it.
    has_responded: bool,
    reader: MessageReader,
    /// Whether the client may still send.
    read_open: bool,
    /// Why it is to be closed, once its responses are written.
    pending_close: Option<CloseReason>,
    /// Its state in the listener's table.
    recorded_state: ConnectionState,
}

/// What one pass of [`ClientConnection::serve`] found.
struct Pass {
    /// Whether responses of earlier passes are still not taken. Such a client is not read: one that only asks and never
    /// reads would fill the memory.
    is_backlogged: bool,
    /// Whether a message was handled or a response written.
    made_progress: bool,
    messages: usize,
    read: ReadProgress,
    /// The reason for which it was told to close, if it was.
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

    /// Carries the connection from its first byte to its last.
    pub(super) fn run(mut self, mut connection: Connection) {
        let reason = catch_panic(|| self.serve(&mut connection)).unwrap_or_else(|panic| {
            warn!(%panic, "a connection's coroutine failed");
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

    /// The connection ended before the response to its open request.
    fn abandon_open_request(&mut self, connection: &mut Connection, reason: CloseReason) {
        let Some(OpenRequest { id, .. }) = self.open_request.take() else { return };
        if reason == CloseReason::InternalError {
            let context = ResponseContext { capacity: None, closes_connection: true };
            response::write(connection.output(), &FinalResponse::Failed, context);
            // If it can't be written, the connection ends without it.
            let _ = connection.flush();
        }
        if reason.caller_gone() {
            let gone = Message::ClientDisconnected { id, connection: self.handle.clone(), reason };
            // The event loop is gone only where the program ends.
            let _ = self.listener.parts.event_loop.send(gone);
        }
    }

    /// Reads on after the last response where that could be lost otherwise.
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
            // It keeps its state in the table, so that no other is evicted in its place meanwhile.
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

    /// Closes the writing side and reads on.
    ///
    /// The failure this guards against: a socket closed with unread bytes resets the connection, and the client may lose
    /// the last response. Lingering is bounded in bytes here; in time by [`Listener::close_expired`], or, where others
    /// need the room, by the command to close that an evicted connection gets.
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

    /// Serves the connection until it is to be closed, and returns the reason.
    ///
    /// Each pass takes the commands, then reads what is there, then handles it, and only then considers a command to
    /// close: a request that came before the close is served.
    fn serve(&mut self, connection: &mut Connection) -> CloseReason {
        loop {
            let mut pass = self.take_commands(connection);
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
            // A client that sends no more and reads no more either is gone.
            if !self.read_open && connection.is_broken() {
                return CloseReason::Reset;
            }
            if let Some(reason) = self.pending_close {
                if connection.is_flushed() && self.open_request.is_none() {
                    return reason;
                }
            }
            self.update_state(connection, &pass);
            if self.reader.buffer.is_empty() {
                // An idle connection needs no buffer.
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
        Pass {
            is_backlogged: !connection.is_flushed(),
            made_progress,
            messages: 0,
            read: ReadProgress::Drained,
            close_command,
        }
    }

    fn can_handle_message(&self, pass: &Pass) -> bool {
        self.open_request.is_none()
            && self.pending_close.is_none()
            && !pass.is_backlogged
            && pass.messages < MAX_MESSAGES_IN_A_ROW
    }

    /// Handles the messages that were read, up to the first request.
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
        debug!(%error, "a message can't be accepted");
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

    /// Follows a command to close, but only where nothing is under way, once all that came is read.
    fn apply_close_command(&mut self, connection: &Connection, pass: &Pass) -> CloseTiming {
        let Some(reason) = pass.close_command else { return CloseTiming::Deferred };
        if self.open_request.is_some() || pass.made_progress {
            return CloseTiming::Deferred;
        }
        // A client that does not take its response in time loses it. Before the program ends it may still take it.
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
            // Bytes that complete no message yet give it no further time.
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

    /// Waits for the next event, or lets the others run where more could be done at once. What the buffer had no room
    /// for is read now, or, while a request is open, after its response.
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

    /// Handles one message; true where the connection is to be closed after it.
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

    /// Hands a request to the event loop; true where that is gone and the connection is to be closed.
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

    /// Writes the final response to the open request; true where the connection is to be closed after it.
    fn respond(&mut self, out: &mut Vec<u8>, response: &FinalResponse) -> bool {
        let Some(OpenRequest { id, closes_connection }) = self.open_request.take() else { return false };
        debug!(id, status = response::status(response), "response written");
        let closes = closes_connection || self.listener.parts.advertised.is_draining();
        response::write(out, response, self.listener.response_context(closes));
        self.has_responded = true;
        closes
    }
}

/// Whether a connection that was told to close is closed at once, over a response that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseTiming {
    Immediate,
    Deferred,
}
