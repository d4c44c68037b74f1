//! A queue of requests in the order of their rates.

use crate::request_id::RequestId;
use std::collections::BTreeSet;

/// Requests, the highest rate first; of equal rates the lowest index.
#[derive(Default)]
pub(crate) struct RateQueue(BTreeSet<(u64, RequestId)>);

/// Numbers that ascend as rates descend: the bits of floats from zero up have the order of their values.
fn descending(rate: f64) -> u64 {
    !rate.max(0.0).to_bits()
}

impl RateQueue {
    /// Adds a request.
    pub fn insert(&mut self, request: RequestId, rate: f64) {
        self.0.insert((descending(rate), request));
    }

    /// Removes a request; `rate` is the one that it was inserted with.
    pub fn remove(&mut self, request: RequestId, rate: f64) {
        self.0.remove(&(descending(rate), request));
    }

    /// The request with the highest rate.
    pub fn highest(&self) -> Option<RequestId> {
        self.0.first().map(|&(_, request)| request)
    }

    /// The request with the lowest rate.
    pub fn lowest(&self) -> Option<RequestId> {
        self.0.last().map(|&(_, request)| request)
    }

    /// The requests, the highest rate first.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.0.iter().map(|&(_, request)| request)
    }

    /// The number of requests, as a float for the arithmetic of the rules.
    pub fn len(&self) -> f64 {
        self.0.len() as f64
    }
}
