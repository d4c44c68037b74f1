//! What requests report of their transfers, and what they may transfer.

/// What a request has transferred since its last report, and what it holds, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferReport {
    /// Held for the upstream.
    pub held_for_upstream: u64,
    /// Written to the upstream since the last report.
    pub written_to_upstream: u64,
    /// Held for the client.
    pub held_for_client: u64,
    /// Written to the client since the last report.
    pub written_to_client: u64,
    /// Received from the client since the last report.
    pub received_from_client: u64,
    /// Whether the client has to send more of the body and there is room for it.
    pub awaits_client_body: bool,
    /// Whether bytes for the client wait for a turn on the scarce link.
    pub needs_link_turn: bool,
}

/// What a request may hold and send now, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferAllowance {
    /// The most that may be held for the upstream.
    pub upstream_window: u64,
    /// The most that may be held for the client.
    pub client_window: u64,
    /// The most that may be sent to the client; `None` if the link is not scarce.
    pub link_credit: Option<u64>,
}
