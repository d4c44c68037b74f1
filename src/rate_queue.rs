//! A queue of requests in descending order of rate.

use crate::request_id::RequestId;
use std::collections::BTreeSet;

/// Requests by descending rate; equal rates by ascending index.
#[derive(Default)]
pub(crate) struct RateQueue(BTreeSet<(u64, RequestId)>);

/// Maps rates to integers in reverse order: the bits of non-negative floats have the order of their values.
fn descending(rate: f64) -> u64 {
    !rate.max(0.0).to_bits()
}

impl RateQueue {
    pub fn insert(&mut self, request: RequestId, rate: f64) {
        self.0.insert((descending(rate), request));
    }

    /// Removes a request that was inserted with this `rate`.
    pub fn remove(&mut self, request: RequestId, rate: f64) {
        self.0.remove(&(descending(rate), request));
    }

    pub fn highest(&self) -> Option<RequestId> {
        self.0.first().map(|&(_, request)| request)
    }

    pub fn lowest(&self) -> Option<RequestId> {
        self.0.last().map(|&(_, request)| request)
    }

    /// The requests in descending order of rate.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.0.iter().map(|&(_, request)| request)
    }

    /// The number of requests, as a float for use in the policy's arithmetic.
    pub fn len(&self) -> f64 {
        self.0.len() as f64
    }
}
