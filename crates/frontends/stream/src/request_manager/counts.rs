//! Counters of a stream server.

/// Counters of a stream server, beside those of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Requests sent again to another upstream.
    pub retried: u64,
    /// Downloads resumed from another upstream.
    pub resumed: u64,
    /// Ejections of upstreams.
    pub ejected_upstreams: u64,
    /// Requests ended because they made too little progress while memory was scarce.
    pub late: u64,
    /// Bytes written to upstreams.
    pub bytes_to_upstreams: u64,
    /// Bytes written to clients.
    pub bytes_to_clients: u64,
    /// Responses cut off after they had begun.
    pub cut_responses: u64,
    /// Messages from clients that were refused as invalid.
    pub invalid_messages: u64,
    /// Duplicates that got the response to an earlier request.
    pub replayed: u64,
    /// Requests that were refused because their idempotency key belongs to another request.
    pub key_conflicts: u64,
    /// Repeats of an upload's last request that waited for, or got, the response to an earlier one.
    pub uploads_joined: u64,
    /// Repeats of an upload's last request that got no response of an upstream, as it is not known or not kept.
    pub uploads_refused: u64,
    /// The most bytes that all streams have held at one time.
    pub max_held_bytes: u64,
}
