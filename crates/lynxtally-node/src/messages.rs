//! What the owner hears, and what the others are told: the messages between the parts of a node, on which all
//! of them stand and which stands on none.

use crate::config::Config;
use crate::http::{Reply, Sent};
use crate::response::Answer;
use lynxtally::CallOutcome;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::mailbox::Mailbox;
use std::sync::Arc;

/// What the owner hears.
pub enum Heard {
    /// Of a message to a keeper.
    Keeper(Said),
    /// A task was read.
    Taken(Taken),
    /// A task's connection ended so that nobody waits.
    CallerGone {
        /// The task's name.
        id: String,
        /// The connection; another's task may have the same name.
        from: Handle,
        /// How the connection ended.
        end: CloseReason,
    },
    /// The kernel said something.
    Kernel(Notice),
    /// There is no link to the kernel any more.
    LinkLost,
    /// A call ended.
    Called {
        /// The task's name.
        id: String,
        /// The call's number.
        number: u64,
        /// How it ended.
        ended: Ended,
    },
    /// Something may be due.
    Due,
    /// The notice to leave.
    Leave,
    /// What the program is told from now on.
    Configured(Box<Config>),
    /// The listener is closed.
    Closed,
}

/// What a connection is told.
#[derive(Clone, Debug)]
pub enum Order {
    /// The final answer to its task.
    Answer(Answer),
    /// Close if no task is open and nothing came meanwhile; the end says why.
    Close(CloseReason),
}

/// A connection, as the owner knows it.
pub type Handle = Arc<Mailbox<Order>>;

/// What a keeper said to a message, or that it surely says nothing.
pub struct Said {
    /// Which message.
    pub token: u64,
    /// The reply.
    pub reply: Option<lynxtally_messages::NodeResponse>,
}

/// A task as it goes to the owner, and where its answer is awaited.
pub struct Taken {
    /// The task.
    pub sent: Sent,
    /// The connection.
    pub from: Handle,
}

/// How a run ended, by the kernel's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaped {
    /// Well, with a result.
    Ok,
    /// With an error.
    Error,
    /// It was stopped, or ended at a call as nobody waits.
    Stopped,
    /// Nothing was started.
    Moot,
}

/// What the kernel tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// It came up some milliseconds ago.
    Booted {
        /// Whether it was cold then.
        cold: bool,
        /// How long ago.
        ms: f64,
    },
    /// A run is over.
    Ended {
        /// The task's name.
        id: String,
        /// How it ended.
        how: Reaped,
        /// Its result.
        result: Vec<u8>,
    },
    /// A run waits for a call with this body.
    AtCall {
        /// The task's name.
        id: String,
        /// What goes to the ledger.
        body: Vec<u8>,
    },
    /// The gauges, in the order of the settings.
    Gauges {
        /// Under which number they were asked for.
        number: u64,
        /// In the order of the settings.
        values: Vec<f64>,
    },
    /// All that happened before the link with this number was made has been told.
    Synced(u64),
    /// A command was not carried out.
    Refused {
        /// The command's word.
        command: String,
        /// The task's name.
        id: String,
    },
    /// A remark with no meaning.
    Remark(String),
}

/// How a call ended: with a reply, or with its connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The ledger replied.
    Replied(Reply),
    /// No whole reply came.
    Without {
        /// How the connection ended.
        end: CloseReason,
        /// Whether any byte of the call was written.
        written: bool,
    },
}

impl Ended {
    /// What the module is told.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            Self::Replied(Reply { status: 200, .. }) => CallOutcome::Succeeded,
            Self::Replied(Reply { untouched: true, .. }) => CallOutcome::NotExecuted,
            Self::Replied(_) => CallOutcome::MaybeExecuted,
            Self::Without { end, written } => end.call_outcome(*written),
        }
    }
}
