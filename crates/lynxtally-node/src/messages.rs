//! The messages between the components of a node. All components depend on this module. The module itself depends on
//! the components only for the types that the messages carry.

use crate::config::Config;
use crate::http::{CallResponse, ReceivedRequest};
use lynxtally::CallOutcome;
use lynxtally_engine::FinalResponse;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::mailbox::Mailbox;
use std::fmt;
use std::sync::Arc;

/// A message to the event loop.
pub enum Message {
    /// The listener read a request.
    Request(RequestRead),
    /// The connection of an open request ended so that the client no longer waits for the response.
    ClientDisconnected {
        /// The request's id.
        id: String,
        /// The connection. It identifies the request, as a request on another connection may have the same id.
        connection: ConnectionHandle,
        /// Why the connection ended.
        reason: CloseReason,
    },
    /// The executor reported an event.
    Executor(ExecutorEvent),
    /// The link to the executor was lost.
    ExecutorLinkLost,
    /// A downstream call ended.
    CallEnded {
        /// The id of the request that the call was made for.
        id: String,
        /// The call's number.
        number: u64,
        /// How the call ended.
        end: CallEnd,
    },
    /// A request to a coordinator got its response, or can no longer get one.
    CoordinatorResponse(CoordinatorResponse),
    /// The wakeup for the next timer fired; the event loop checks which timers have expired.
    TimerFired,
    /// SIGTERM arrived: drain the node, then end the program.
    Shutdown,
    /// SIGHUP arrived; this is the reloaded configuration.
    Reload(Box<Config>),
    /// The listening socket is closed, so no client can connect any more.
    ListenerClosed,
}

/// A command to a client connection.
#[derive(Clone, Debug)]
pub enum ConnectionCommand {
    /// Write the final response to the open request.
    Respond(FinalResponse),
    /// Close the connection for this reason, unless a request is open or new bytes have arrived.
    Close(CloseReason),
}

/// The mailbox through which other components send commands to a client connection.
pub type ConnectionHandle = Arc<Mailbox<ConnectionCommand>>;

/// The outcome of a request to a coordinator.
pub struct CoordinatorResponse {
    /// The token that the lease client gave the request.
    pub token: u64,
    /// The response, or `None` if the request failed and no response can follow.
    pub response: Option<lynxtally_messages::NodeResponse>,
}

/// A request that the listener read.
pub struct RequestRead {
    /// The request.
    pub request: ReceivedRequest,
    /// The connection that waits for the response.
    pub connection: ConnectionHandle,
}

/// The status that the executor reports at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// The run succeeded and has a result.
    Succeeded,
    /// The run failed.
    Failed,
    /// The run was stopped, or ended at a call because no client waits for its result any more.
    Stopped,
    /// The run was never started.
    NotStarted,
}

/// An event that the executor reports.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorEvent {
    /// The executor is up.
    Started {
        /// Whether the executor had a cold start.
        cold_start: bool,
        /// How long the executor has been up, in milliseconds.
        uptime_ms: f64,
    },
    /// A run ended.
    RunEnded {
        /// The request's id.
        id: String,
        /// How the run ended.
        status: RunStatus,
        /// The result of a run that succeeded.
        result: Vec<u8>,
    },
    /// A run waits for a downstream call.
    CallRequested {
        /// The request's id.
        id: String,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The executor reported its gauges, as the node had asked.
    Gauges {
        /// The number of the `ReportGauges` command that asked for these values.
        number: u64,
        /// The values, in the order of the settings.
        values: Vec<f64>,
    },
    /// The executor has reported all events that precede the link with this number.
    CaughtUp {
        /// The link's number.
        link: u64,
    },
    /// The executor refused a command.
    CommandRefused {
        /// The refused command.
        command: CommandName,
        /// The request's id.
        id: String,
    },
    /// A line of the executor's own log.
    LogLine(String),
}

/// The kind of a command that the executor refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandName {
    /// Start a run.
    Start,
    /// Resume a stopped run.
    Resume,
    /// Any other command, by its name in the executor's protocol.
    Other(String),
}

impl fmt::Display for CommandName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Start => f.write_str("start"),
            Self::Resume => f.write_str("resume"),
            Self::Other(name) => f.write_str(name),
        }
    }
}

/// How a downstream call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The dependency sent a complete response.
    Response(CallResponse),
    /// No complete response arrived.
    NoResponse {
        /// Why the connection of the call ended.
        reason: CloseReason,
        /// Whether any byte of the call was written to the connection.
        written: bool,
    },
}

impl CallEnd {
    /// Whether the dependency executed the call, as far as the node can know. Status 200 means success. A response
    /// with the header for "not executed" excludes execution; any other response leaves it open.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            Self::Response(CallResponse { status: 200, .. }) => CallOutcome::Succeeded,
            Self::Response(CallResponse { not_executed: true, .. }) => CallOutcome::NotExecuted,
            Self::Response(_) => CallOutcome::MaybeExecuted,
            Self::NoResponse { reason, written } => reason.call_outcome(*written),
        }
    }
}
