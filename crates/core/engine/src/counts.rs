//! Counts by which an operator can check that every request received gets exactly one final response.

/// Counts of received requests by how they ended. Each received request is counted in exactly one of `completed`,
/// `rejected`, `failed`, `caller_gone` and `in_flight`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All requests that a frontend submitted.
    pub received: u64,
    /// Requests that got a result.
    pub completed: u64,
    /// Requests that were rejected, so that they had no effect here. Includes requests that the engine does not accept
    /// because it has no scheduler yet or their name is in use.
    pub rejected: u64,
    /// Requests that got the response that they failed.
    pub failed: u64,
    /// Requests whose caller stopped waiting before the response.
    pub caller_gone: u64,
    /// Responses that could not be delivered. Each is also counted as completed, rejected or failed.
    pub undelivered: u64,
    /// Requests that have not got a response yet.
    pub in_flight: u64,
}

impl RequestCounts {
    /// Whether the counts add up: each received request got one response, is in flight, or its caller is gone.
    pub fn is_consistent(&self) -> bool {
        self.received == self.completed + self.rejected + self.failed + self.caller_gone + self.in_flight
    }
}
