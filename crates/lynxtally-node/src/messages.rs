//! The messages between the parts of a node. All parts depend on this module, and it depends on none of them but for
//! the types that it carries.

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
    /// A request was read.
    Request(RequestRead),
    /// A request's connection ended in a way that says that its caller no longer waits.
    ClientDisconnected {
        /// The request's id.
        id: String,
        /// The connection; a request on another connection may have the same id.
        connection: ConnectionHandle,
        /// How the connection ended.
        reason: CloseReason,
    },
    /// The executor reported something.
    Executor(ExecutorEvent),
    /// There is no link to the executor any more.
    ExecutorLinkLost,
    /// A downstream call ended.
    CallEnded {
        /// The id of the request that it was made for.
        id: String,
        /// The call's number.
        number: u64,
        /// How it ended.
        end: CallEnd,
    },
    /// A message to a coordinator was answered, or surely will not be.
    CoordinatorResponse(CoordinatorResponse),
    /// A timer of the event loop may have expired.
    TimerFired,
    /// SIGTERM came: drain, and end.
    Shutdown,
    /// SIGHUP came, and this is the configuration as it was read anew.
    Reload(Box<Config>),
    /// The listener is closed; nobody connects any more.
    ListenerClosed,
}

/// What a client's connection is told.
#[derive(Clone, Debug)]
pub enum ConnectionCommand {
    /// Write the final response to its open request.
    Respond(FinalResponse),
    /// Close if no request is open and nothing came meanwhile, for this reason.
    Close(CloseReason),
}

/// A client's connection, as the other parts reach it.
pub type ConnectionHandle = Arc<Mailbox<ConnectionCommand>>;

/// What a coordinator replied to a message.
pub struct CoordinatorResponse {
    /// Which message.
    pub token: u64,
    /// The response, or none where surely none will come.
    pub response: Option<lynxtally_messages::NodeResponse>,
}

/// A request that was read, and where its response is awaited.
pub struct RequestRead {
    /// The request.
    pub request: ReceivedRequest,
    /// The connection.
    pub connection: ConnectionHandle,
}

/// How a run ended, as the executor reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// It succeeded, with a result.
    Succeeded,
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call because nobody waits any more.
    Stopped,
    /// Nothing was started.
    NotStarted,
}

/// What the executor reports.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorEvent {
    /// It is up.
    Started {
        /// Whether it had a cold start.
        cold_start: bool,
        /// How long ago it came up, in milliseconds.
        uptime_ms: f64,
    },
    /// A run ended.
    RunEnded {
        /// The request's id.
        id: String,
        /// How it ended.
        status: RunStatus,
        /// Its result.
        result: Vec<u8>,
    },
    /// A run waits for a downstream call.
    CallRequested {
        /// The request's id.
        id: String,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The gauges that were requested.
    Gauges {
        /// The number of the request for them.
        number: u64,
        /// Their values, in the order of the settings.
        values: Vec<f64>,
    },
    /// All events from before the link with this number was made have been reported.
    CaughtUp {
        /// The link's number.
        link: u64,
    },
    /// A command was not carried out.
    CommandRefused {
        /// Which command.
        command: CommandName,
        /// The request's id.
        id: String,
    },
    /// A line for the log.
    LogLine(String),
}

/// A command that the executor refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandName {
    /// To start a run.
    Start,
    /// To resume a stopped run.
    Resume,
    /// Any other, by its name in the protocol.
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
    /// With a response.
    Response(CallResponse),
    /// Without a complete response.
    NoResponse {
        /// How its connection ended.
        reason: CloseReason,
        /// Whether any byte of the call was written.
        written: bool,
    },
}

impl CallEnd {
    /// What is known of the call's execution.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            Self::Response(CallResponse { status: 200, .. }) => CallOutcome::Succeeded,
            Self::Response(CallResponse { not_executed: true, .. }) => CallOutcome::NotExecuted,
            Self::Response(_) => CallOutcome::MaybeExecuted,
            Self::NoResponse { reason, written } => reason.call_outcome(*written),
        }
    }
}
