//! Recent requests of operators by their idempotency keys: each is carried out once, however often and late it comes.

use crate::error::AdminError;
use lynxtally_messages::{AdminResponse, IdempotencyKey};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// As many requests are remembered. One that is older than all of them is rejected, not carried out: nobody can tell
/// any more whether it was.
const MAX_REMEMBERED: usize = 4096;

/// The responses to the last requests of operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct RecentRequests {
    #[serde(rename = "kept")]
    remembered: VecDeque<Remembered>,
    /// The log index up to which requests were forgotten.
    #[serde(rename = "forgotten")]
    evicted_index: u64,
}

/// A request that was carried out or rejected. It is stored as a triple.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(IdempotencyKey, u64, AdminResponse)", into = "(IdempotencyKey, u64, AdminResponse)")]
struct Remembered {
    key: IdempotencyKey,
    /// The log index at which it was.
    index: u64,
    response: AdminResponse,
}

impl From<(IdempotencyKey, u64, AdminResponse)> for Remembered {
    fn from((key, index, response): (IdempotencyKey, u64, AdminResponse)) -> Self {
        Self { key, index, response }
    }
}

impl From<Remembered> for (IdempotencyKey, u64, AdminResponse) {
    fn from(remembered: Remembered) -> Self {
        (remembered.key, remembered.index, remembered.response)
    }
}

impl RecentRequests {
    /// The response to a request that came before, or that nobody can know any more whether it did; none where it
    /// surely is new.
    pub fn response_to(&self, key: &IdempotencyKey) -> Option<AdminResponse> {
        if let Some(known) = self.remembered.iter().find(|known| known.key == *key) {
            return Some(known.response.clone());
        }
        if key.observed_index >= self.evicted_index {
            return None;
        }
        let error =
            AdminError::KeyTooOld { observed_index: key.observed_index, evicted_index: self.evicted_index };
        Some(error.into_response())
    }

    pub fn remember(&mut self, key: &IdempotencyKey, index: u64, response: AdminResponse) {
        self.remembered.push_back(Remembered { key: key.clone(), index, response });
        if self.remembered.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.remembered.pop_front() {
                self.evicted_index = oldest.index;
            }
        }
    }
}
