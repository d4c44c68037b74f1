//! A record of operators' recent requests by idempotency key. It ensures that each request is applied at most once,
//! however often and however late it arrives.

use crate::error::AdminError;
use lynxtally_messages::{AdminResponse, IdempotencyKey};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The number of requests that are recorded. A request that may be older than all of them is rejected, because the
/// coordinators can no longer know whether it was applied.
const MAX_RECORDED: usize = 4096;

/// The last requests of operators, with their responses.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct RecentRequests {
    #[serde(rename = "kept")]
    recorded: VecDeque<RecordedRequest>,
    /// The log index up to which requests were evicted from the record.
    #[serde(rename = "forgotten")]
    evicted_index: u64,
}

/// A request that was applied or rejected. It is serialized as a triple.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(IdempotencyKey, u64, AdminResponse)", into = "(IdempotencyKey, u64, AdminResponse)")]
struct RecordedRequest {
    key: IdempotencyKey,
    /// The log index of the request.
    index: u64,
    response: AdminResponse,
}

impl From<(IdempotencyKey, u64, AdminResponse)> for RecordedRequest {
    fn from((key, index, response): (IdempotencyKey, u64, AdminResponse)) -> Self {
        Self { key, index, response }
    }
}

impl From<RecordedRequest> for (IdempotencyKey, u64, AdminResponse) {
    fn from(recorded: RecordedRequest) -> Self {
        (recorded.key, recorded.index, recorded.response)
    }
}

impl RecentRequests {
    /// The response to a request that must not be applied: the recorded response if the request was received before,
    /// a rejection if it may have been. `None` if the request is certainly new.
    pub fn response_to(&self, key: &IdempotencyKey) -> Option<AdminResponse> {
        if let Some(earlier) = self.recorded.iter().find(|earlier| earlier.key == *key) {
            return Some(earlier.response.clone());
        }
        if key.observed_index >= self.evicted_index {
            return None;
        }
        let error =
            AdminError::KeyTooOld { observed_index: key.observed_index, evicted_index: self.evicted_index };
        Some(error.into_response())
    }

    pub fn record(&mut self, key: &IdempotencyKey, index: u64, response: AdminResponse) {
        self.recorded.push_back(RecordedRequest { key: key.clone(), index, response });
        if self.recorded.len() > MAX_RECORDED {
            if let Some(oldest) = self.recorded.pop_front() {
                self.evicted_index = oldest.index;
            }
        }
    }
}
