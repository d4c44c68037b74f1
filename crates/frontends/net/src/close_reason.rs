//! Why a connection ended, and the one place that says what follows from that for a caller and for a call.

use lynxtally::CallOutcome;
use std::fmt;
use std::io::{self, ErrorKind};

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it between two messages.
    ClosedByPeer,
    /// The peer closed it in the middle of a message.
    Truncated,
    /// It was reset.
    Reset,
    /// Nobody listens at the address.
    Refused,
    /// It was not made, for another reason than a refusal.
    ConnectFailed,
    /// Its time ran out.
    TimedOut,
    /// What it was for was cancelled.
    Cancelled,
    /// What came on it can't be parsed.
    Malformed,
    /// We closed it because it was idle.
    IdleTimeout,
    /// We closed it after the last response on it.
    Completed,
    /// We closed it to make room for others.
    Evicted,
    /// We left it for another address.
    AddressChanged,
    /// Our own code failed on it.
    InternalError,
}

impl CloseReason {
    /// All reasons, in the order of their numbers, which index the counters.
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

    /// The reason behind an error of an open connection.
    pub fn from_io_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TimedOut,
            ErrorKind::UnexpectedEof => Self::Truncated,
            _ => Self::Reset,
        }
    }

    /// The reason behind an error while connecting.
    pub fn from_connect_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::ConnectFailed,
        }
    }

    /// Whether a caller whose connection ended so no longer waits for its response. One that only stopped sending, the
    /// half-close of [`Self::ClosedByPeer`], still reads it.
    pub fn caller_gone(self) -> bool {
        !matches!(self, Self::ClosedByPeer | Self::Completed | Self::IdleTimeout)
    }

    /// What is known of a call whose connection ended so; `written` says whether any byte of the call was written.
    /// Before its first byte was written it was not executed.
    pub fn call_outcome(self, written: bool) -> CallOutcome {
        if written && !matches!(self, Self::Refused | Self::ConnectFailed) {
            CallOutcome::MaybeExecuted
        } else {
            CallOutcome::NotExecuted
        }
    }

    /// Its key in the printed counters, which scripts read.
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
