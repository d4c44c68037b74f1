//! The reasons why a connection ended. Their effect on a caller (the sender of a request) and on a downstream call is
//! defined only here.

use lynxtally::CallOutcome;
use std::fmt;
use std::io::{self, ErrorKind};

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection between two messages.
    ClosedByPeer,
    /// The peer closed the connection in the middle of a message.
    Truncated,
    /// The connection was reset.
    Reset,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The connection could not be established, for another reason than a refusal.
    ConnectFailed,
    /// A timeout or deadline passed.
    TimedOut,
    /// The request or call on the connection was cancelled.
    Cancelled,
    /// The received bytes can't be parsed.
    Malformed,
    /// This program closed the connection because it was idle.
    IdleTimeout,
    /// This program closed the connection after the last response on it.
    Completed,
    /// This program closed the connection to make room for others.
    Evicted,
    /// This program closed the connection because the address of the peer, or the object that it serves, changed.
    AddressChanged,
    /// An internal error of this program ended the connection.
    InternalError,
}

impl CloseReason {
    /// All reasons, in the order of the variants' numbers, which index the counters.
    pub const ALL: [Self; 13] = [
        Self::ClosedByPeer,
        Self::Truncated,
        Self::Reset,
        Self::Refused,
        Self::ConnectFailed,
        Self::TimedOut,
        Self::Cancelled,
        Self::Malformed,
        Self::IdleTimeout,
        Self::Completed,
        Self::Evicted,
        Self::AddressChanged,
        Self::InternalError,
    ];

    /// The reason for an I/O error on an established connection.
    pub fn from_io_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TimedOut,
            ErrorKind::UnexpectedEof => Self::Truncated,
            _ => Self::Reset,
        }
    }

    /// The reason for an I/O error while connecting.
    pub fn from_connect_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::ConnectFailed,
        }
    }

    /// Whether a caller whose connection ended for this reason has stopped waiting for its response. A caller that only
    /// closed its sending side ([`Self::ClosedByPeer`]) still reads the response.
    pub fn caller_gone(self) -> bool {
        !matches!(self, Self::ClosedByPeer | Self::Completed | Self::IdleTimeout)
    }

    /// The outcome of a call whose connection ended for this reason. `written` tells whether any byte of the call was
    /// written; a call of which nothing was written was not executed.
    pub fn call_outcome(self, written: bool) -> CallOutcome {
        if written && !matches!(self, Self::Refused | Self::ConnectFailed) {
            CallOutcome::MaybeExecuted
        } else {
            CallOutcome::NotExecuted
        }
    }

    /// The key of this reason in the printed counters, which scripts parse.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClosedByPeer => "closed",
            Self::Truncated => "truncated",
            Self::Reset => "reset",
            Self::Refused => "refused",
            Self::ConnectFailed => "unmade",
            Self::TimedOut => "expired",
            Self::Cancelled => "given_up",
            Self::Malformed => "garbled",
            Self::IdleTimeout => "idle",
            Self::Completed => "finished",
            Self::Evicted => "crowded",
            Self::AddressChanged => "moved",
            Self::InternalError => "failed",
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}
