//! The state of a process's session with the coordinators.

/// The state of a session: `Joining`, `Active`, `Leaving`, then `Ended`. If the coordinators no longer know the incarnation,
/// the session returns to `Joining`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// The process requests an incarnation. The random nonce distinguishes its request from those
    /// of other processes.
    Joining { nonce: u64 },
    /// The process is a member and may be granted leases and reservations.
    Active { incarnation: u64 },
    /// The request that ends the session was built; its response is outstanding.
    Leaving { incarnation: u64 },
    /// The session is over; the process sends no further requests.
    Ended,
}
