//! How requests of a class are forwarded, and why a request cannot continue.

use crate::http::MessageError;
use lynxtally_flow::coding::{Coding, GrowthLimit};
use lynxtally_flow::resume::ResumeMismatch;

/// How the requests of a class are forwarded.
#[derive(Clone, Debug)]
pub struct ForwardingSettings {
    /// The largest body of a request in bytes, both as received and as decoded.
    pub max_body_bytes: u64,
    /// The content codings of request bodies that upstreams accept. Bodies in other codings are decoded.
    pub upstream_codings: Vec<Coding>,
    /// The least length in bytes from which responses are encoded for clients that accept it. `None` turns
    /// encoding off.
    pub min_encoded_bytes: Option<u64>,
    /// How far a body may grow when it is decoded.
    pub growth_limit: GrowthLimit,
    /// Whether a copy of the request's body is kept for a retry, as long as the copy budget has room.
    pub keeps_body_copy: bool,
    /// Whether a fingerprint of the request's content is calculated, by which it is compared with its duplicates.
    pub fingerprints_content: bool,
    /// The longest response, in bytes, of which a copy is kept to answer duplicates of the request; 0 keeps
    /// none.
    pub max_response_copy_bytes: usize,
}

/// Why a request cannot continue, by the side that caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyError {
    /// The client sent a message that is not valid.
    Client(MessageError),
    /// The upstream sent a message that is not valid.
    Upstream(MessageError),
    /// A download cannot be resumed, because the upstream has another object or sent another part of it.
    ObjectChanged(ResumeMismatch),
}
