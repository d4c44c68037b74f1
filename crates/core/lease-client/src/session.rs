//! How a process stands with the coordinators.

/// The state of a session. It goes from joining to ended; an incarnation that the coordinators do not know any more
/// leads back to joining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// It asks for an incarnation, with a random number that makes the question its own.
    Joining { nonce: u64 },
    /// It is a member.
    Active { incarnation: u64 },
    /// It has said that it ends, and waits for the response.
    Leaving { incarnation: u64 },
    /// It has no part in anything any more.
    Ended,
}
