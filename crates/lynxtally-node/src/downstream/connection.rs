//! One connection of the pool: its calls, one after another.

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

/// One connection of the pool while it is served.
pub(super) struct CallConnection<'a> {
    client: &'a DownstreamClient,
    handle: &'a CallHandle,
    /// Where the dependency was when this connection was made.
    address: Option<SocketAddr>,
}

/// How a call ended, and its connection where that may carry another one.
struct FinishedCall {
    end: CallEnd,
    reusable: Option<Connection>,
}

/// What ended the wait for the next call.
enum IdleEnd {
    /// A call is to be made.
    NextCall,
    /// The connection is closed.
    Closed,
}

impl<'a> CallConnection<'a> {
    pub(super) fn new(client: &'a DownstreamClient, handle: &'a CallHandle) -> Self {
        Self { client, handle, address: *lock(&client.address) }
    }

    /// Makes calls as they come, until the connection is closed.
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
                // A call that came meanwhile gets a connection of its own.
                connection = None;
                self.handle.detach();
                self.remove_from_pool();
            }
        }
        self.handle.detach();
        // A call that came between the last look at the mailbox and now is reported as not executed, not lost.
        for command in self.handle.close() {
            if let CallCommand::Make(call) = command {
                let end = CallEnd::NoResponse { reason: CloseReason::ClosedByPeer, written: false };
                // The event loop is gone only where the program ends.
                let _ = self.report_end(call, end);
            }
        }
    }

    fn report_end(&self, call: Call, end: CallEnd) -> Result<(), EventLoopStopped> {
        let message = Message::CallEnded { id: call.id, number: call.number, end };
        self.client.event_loop.send(message).map_err(|_| EventLoopStopped)
    }

    /// Offers this connection for the next call; false where the dependency has moved meanwhile.
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
        // Nothing may come on an idle connection, so a single byte is enough to see that something did.
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

    /// Makes one call, on the pooled connection where there is one.
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
                // The clock is read here and not sooner: a process that was stopped on the way to here wakes with a
                // call whose time may be over, and whose share of the dependency another node may have by now. This is
                // the monotonic clock, which stands still while the machine is suspended; the lease's own clock does
                // not (`coordination`), and a suspension between that check and this one is covered up to its pause margin.
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
                    // What follows the response already would be taken for the next call's.
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
                    debug!(id = call.id, %error, "a response to a call can't be parsed");
                    return self.without_response(CloseReason::Malformed, written);
                }
            }
        }
    }

    /// Why the call is to be cancelled, if it is. Its connection is closed with it: a response that still comes is nobody's.
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

/// The event loop is gone: the program ends.
struct EventLoopStopped;
