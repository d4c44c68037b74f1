//! Each way in which a connection can end, and the one place that says what the module is told of it.

use lynxtally::CallOutcome;
use std::fmt;
use std::io::{self, ErrorKind};

/// How a connection to anyone ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The other side closed it between two messages.
    Closed,
    /// The other side closed it within a message.
    Truncated,
    /// It broke off.
    Reset,
    /// Nobody listened where it should have led.
    Refused,
    /// It was not made, for another reason than a refusal.
    Unmade,
    /// The time given to it ran out.
    Expired,
    /// What it was for is over.
    GivenUp,
    /// What came can't be read.
    Garbled,
    /// We closed it as it carried nothing.
    Idle,
    /// We closed it after the last answer on it.
    Finished,
    /// We closed it to make room for others.
    Crowded,
    /// We left it for another address.
    Moved,
    /// Our own code failed on it.
    Failed,
}

impl End {
    /// All ends, in the order of their numbers.
    pub const ALL: [Self; 13] = [
        Self::Closed,
        Self::Truncated,
        Self::Reset,
        Self::Refused,
        Self::Unmade,
        Self::Expired,
        Self::GivenUp,
        Self::Garbled,
        Self::Idle,
        Self::Finished,
        Self::Crowded,
        Self::Moved,
        Self::Failed,
    ];

    /// What an error of an open connection means.
    pub fn of(fault: &io::Error) -> Self {
        match fault.kind() {
            ErrorKind::TimedOut => Self::Expired,
            ErrorKind::UnexpectedEof => Self::Truncated,
            _ => Self::Reset,
        }
    }

    /// What an error of a connection that is being made means.
    pub fn unmade(fault: &io::Error) -> Self {
        match fault.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unmade,
        }
    }

    /// Whether a caller whose connection ended so waits no more. One that only stopped sending still reads.
    pub fn caller_gone(self) -> bool {
        !matches!(self, Self::Closed | Self::Finished | Self::Idle)
    }

    /// What is known of a call whose connection ended so. Before its first byte was written it never ran.
    pub fn call_outcome(self, written: bool) -> CallOutcome {
        if written && !matches!(self, Self::Refused | Self::Unmade) {
            CallOutcome::MaybeExecuted
        } else {
            CallOutcome::NotExecuted
        }
    }

    /// Its name in the counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Truncated => "truncated",
            Self::Reset => "reset",
            Self::Refused => "refused",
            Self::Unmade => "unmade",
            Self::Expired => "expired",
            Self::GivenUp => "given_up",
            Self::Garbled => "garbled",
            Self::Idle => "idle",
            Self::Finished => "finished",
            Self::Crowded => "crowded",
            Self::Moved => "moved",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}
