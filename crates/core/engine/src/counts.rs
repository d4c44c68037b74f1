//! The count by which an operator sees that every request received gets exactly one final response.

/// Requests received, and how they ended. Each request received is in exactly one of `completed`, `rejected`, `failed`,
/// `caller_gone` and `in_flight`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests received.
    pub received: u64,
    /// Responded to with a result.
    pub completed: u64,
    /// Responded to that they had no effect here, and those not accepted before the scheduler or under a name in use.
    pub rejected: u64,
    /// Responded to that they failed.
    pub failed: u64,
    /// Their callers were gone before the response.
    pub caller_gone: u64,
    /// Responses that nobody took any more; each is counted under how it ended as well.
    pub undelivered: u64,
    /// Still owed a response.
    pub in_flight: u64,
}

impl RequestCounts {
    /// Whether each request received got one response, is still in flight, or its caller is gone.
    pub fn is_consistent(&self) -> bool {
        self.received == self.completed + self.rejected + self.failed + self.caller_gone + self.in_flight
    }
}
