//! What a request class allows its requests, and why one cannot go on.

use crate::http::MessageError;
use lynxtally_flow::coding::{Coding, Growth};
use lynxtally_flow::resume::Changed;

/// How the requests of a class are forwarded.
#[derive(Clone, Debug)]
pub struct ForwardingSettings {
    /// The largest body of a request, as received and as decoded.
    pub max_body_bytes: u64,
    /// The content codings of request bodies that upstreams take; others are decoded.
    pub upstream_codings: Vec<Coding>,
    /// Responses of at least this length are encoded for clients that accept it; none are where it is missing.
    pub min_encoded_bytes: Option<u64>,
    /// How far a body may grow when it is decoded.
    pub growth_limit: Growth,
    /// Whether a copy of the request's body is kept for a retry, as long as there is room.
    pub keeps_body_copy: bool,
    /// A response no longer than this is kept for repeated requests.
    pub max_response_copy_bytes: usize,
}

/// Why a request cannot go on, by whose fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyError {
    /// The client sent what cannot be taken.
    Client(MessageError),
    /// The upstream sent what cannot be taken.
    Upstream(MessageError),
    /// A download cannot be resumed, as its object is another one now.
    ObjectChanged(Changed),
}
