//! One connection of the pool, which makes its calls one after another.

use super::{Call, CallCommand, CallHandle, DownstreamClient, IdleConnection};
use crate::http::{self, MessageReader};
use crate::messages::{CallEnd, Message};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{Connection, ReadProgress};
use lynxtally_net::sync::lock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tracing::debug;

/// The state of a pooled connection's coroutine.
pub(super) struct CallConnection<'a> {
    client: &'a DownstreamClient,
    handle: &'a CallHandle,
    /// The address of the dependency when this connection was created.
    address: Option<SocketAddr>,
}

/// The end of a call.
struct FinishedCall {
    end: CallEnd,
    /// The connection, if it can carry another call.
    reusable: Option<Connection>,
}

/// How the wait for the next call ended.
enum IdleEnd {
    /// A call arrived.
    NextCall,
    /// The connection was closed.
    Closed,
}

impl<'a> CallConnection<'a> {
    pub(super) fn new(client: &'a DownstreamClient, handle: &'a CallHandle) -> Self {
        Self { client, handle, address: *lock(&client.address) }
    }

    /// Makes calls as they arrive, until the connection is closed.
    pub(super) fn serve(&self) {
        let mut connection = None;
        while let Some(command) = self.handle.take() {
            let CallCommand::Make(call) = command else { continue };
            let FinishedCall { end, reusable } = self.make_call(&call, connection.take());
            connection = reusable;
            if self.report_end(call, end).is_err() {
                break;
            }
            let Some(idle) = &mut connection else { break };
            self.handle.attach(idle);
            if !self.return_to_pool() {
                break;
            }
            if let IdleEnd::Closed = self.wait_for_call(idle) {
                // A call may have arrived while the connection closed; the next iteration makes it on a new connection.
                connection = None;
                self.handle.detach();
                self.remove_from_pool();
            }
        }
        self.handle.detach();
        // Calls that arrived after the last check of the mailbox are reported as not executed.
        for command in self.handle.close() {
            if let CallCommand::Make(call) = command {
                let end = CallEnd::NoResponse { reason: CloseReason::ClosedByPeer, written: false };
                // Reporting fails only after the event loop has ended, and then the program ends too.
                let _ = self.report_end(call, end);
            }
        }
    }

    fn report_end(&self, call: Call, end: CallEnd) -> Result<(), EventLoopStopped> {
        let message = Message::CallEnded { id: call.id, number: call.number, end };
        self.client.event_loop.send(message).map_err(|_| EventLoopStopped)
    }

    /// Returns this connection to the pool. Returns false if the address of the dependency has changed, because the
    /// connection must then be closed.
    fn return_to_pool(&self) -> bool {
        let mut idle = lock(&self.client.idle);
        if *lock(&self.client.address) != self.address {
            self.count_close(CloseReason::AddressChanged);
            return false;
        }
        idle.push(IdleConnection { since: Instant::now(), handle: self.handle.clone() });
        true
    }

    fn remove_from_pool(&self) {
        lock(&self.client.idle).retain(|idle| !Arc::ptr_eq(&idle.handle, self.handle));
    }

    /// Waits for the next call.
    fn wait_for_call(&self, connection: &mut Connection) -> IdleEnd {
        let closed = |reason| {
            self.count_close(reason);
            IdleEnd::Closed
        };
        // The dependency must not send anything on an idle connection, so a buffer of one byte detects a violation.
        let mut unexpected = Vec::new();
        loop {
            match connection.fill(&mut unexpected, 1) {
                Ok(ReadProgress::Drained) => {}
                Ok(ReadProgress::BufferFull) => return closed(CloseReason::Malformed),
                Ok(ReadProgress::EndOfStream) => return closed(CloseReason::ClosedByPeer),
                Err(reason) => return closed(reason),
            }
            match self.handle.peek(|command| matches!(command, CallCommand::Make(_))) {
                Some(true) => return IdleEnd::NextCall,
                Some(false) => {
                    if let Some(CallCommand::Close) = self.handle.take() {
                        return closed(CloseReason::IdleTimeout);
                    }
                }
                None => connection.wait(),
            }
        }
    }

    fn count_close(&self, reason: CloseReason) {
        self.client.counters.downstream_closed.increment(reason);
    }

    fn without_response(&self, reason: CloseReason, written: bool) -> FinishedCall {
        self.count_close(reason);
        FinishedCall { end: CallEnd::NoResponse { reason, written }, reusable: None }
    }

    /// Makes one call on the given connection, or on a new one if there is none.
    fn make_call(&self, call: &Call, pooled: Option<Connection>) -> FinishedCall {
        let connection = match pooled {
            Some(connection) => Ok(connection),
            None => self.connect(call),
        };
        match connection {
            Ok(connection) => self.exchange(call, connection),
            Err(reason) => self.without_response(reason, false),
        }
    }

    fn connect(&self, call: &Call) -> Result<Connection, CloseReason> {
        let address = self.address.ok_or(CloseReason::ConnectFailed)?;
        Connection::connect(address, call.deadline.saturating_duration_since(Instant::now()))
    }

    /// Writes the call and reads its response.
    fn exchange(&self, call: &Call, mut connection: Connection) -> FinishedCall {
        self.handle.attach(&connection);
        let mut reader = MessageReader::default();
        let mut written = false;
        loop {
            if let Some(reason) = self.cancellation(call) {
                return self.without_response(reason, written);
            }
            if connection.is_flushed() && !written {
                // The deadline is checked immediately before the write. If the process was stopped after the call was
                // started, the call may have timed out, and its budget may be leased to another node by now. This
                // check uses the monotonic clock, which stops while the machine is suspended. Leases are checked
                // earlier with a clock that continues (see `coordination`); a suspension between the two checks is
                // covered by the lease's pause margin, if it is no longer than that margin.
                let left = call.deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return self.without_response(CloseReason::TimedOut, false);
                }
                let timeout_ms = (left.as_millis() as u64).max(1);
                http::write_call(connection.output(), &call.id, timeout_ms, &call.body);
            }
            let flushed = connection.flush();
            written |= connection.is_flushed() || connection.written() > 0;
            if let Err(reason) = flushed {
                return self.without_response(reason, written);
            }
            let progress =
                match connection.fill(&mut reader.buffer, MessageReader::CALL_RESPONSE_BUFFER_BYTES) {
                    Ok(progress) => progress,
                    Err(reason) => return self.without_response(reason, written),
                };
            match reader.next_call_response() {
                Ok(Some(response)) => {
                    // Bytes that follow the response would be read as the response to the next call.
                    let is_reusable = !response.closes_connection
                        && progress == ReadProgress::Drained
                        && reader.buffer.is_empty();
                    if !is_reusable {
                        self.count_close(CloseReason::Completed);
                    }
                    let end = CallEnd::Response(response.content);
                    return FinishedCall { end, reusable: is_reusable.then_some(connection) };
                }
                Ok(None) if progress == ReadProgress::EndOfStream => {
                    let is_empty = reader.buffer.is_empty();
                    let reason = if is_empty { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
                    return self.without_response(reason, written);
                }
                Ok(None) => connection.wait(),
                Err(error) => {
                    debug!(id = call.id, %error, "downstream call failed: its response can't be parsed");
                    return self.without_response(CloseReason::Malformed, written);
                }
            }
        }
    }

    /// Returns the close reason if the call was cancelled. The connection must then be closed, so that a late
    /// response to the cancelled call is not read as the response to another call.
    fn cancellation(&self, call: &Call) -> Option<CloseReason> {
        while let Some(command) = self.handle.take() {
            if matches!(command, CallCommand::Cancel(number) if number == call.number) {
                let is_over = Instant::now() >= call.deadline;
                return Some(if is_over { CloseReason::TimedOut } else { CloseReason::Cancelled });
            }
        }
        None
    }
}

/// The error of a send to the event loop after it has ended. The program ends too.
struct EventLoopStopped;
