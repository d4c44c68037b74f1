//! Processes that have been assigned an incarnation but have not sent a request under it yet.
//!
//! A join request alone does not take a name. If a join request arrives twice or an hour late, it leads at most to an
//! incarnation that times out unused. A copy of an old message can therefore never replace a running process.

use crate::serde_instant;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most processes that may join at the same time. It is large because a whole fleet may start together.
const MAX_JOINING: usize = 16_384;
/// An assigned incarnation that is not used within this time is discarded.
const JOIN_TIMEOUT: Span = Span::from_millis(60_000);

/// The processes that are joining, by incarnation.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct JoiningProcesses {
    #[serde(rename = "all")]
    by_incarnation: BTreeMap<u64, JoiningProcess>,
    /// Incarnations by name and nonce, to recognize a join request that is sent again.
    #[serde(rename = "known")]
    by_name_and_nonce: BTreeMap<String, BTreeMap<u64, u64>>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct JoiningProcess {
    name: String,
    /// The random number in the join request.
    #[serde(rename = "drawn")]
    nonce: u64,
    #[serde(rename = "since", with = "serde_instant")]
    requested_at: Instant,
}

impl JoiningProcesses {
    /// Assigns an incarnation for a join request: the log index of the request, or the incarnation assigned before if
    /// the request is a duplicate. `None` if too many processes are joining.
    pub fn assign_incarnation(&mut self, now: Instant, index: u64, name: &str, nonce: u64) -> Option<u64> {
        if let Some(assigned) = self.by_name_and_nonce.get(name).and_then(|by_nonce| by_nonce.get(&nonce)) {
            return Some(*assigned);
        }
        if self.by_incarnation.len() >= MAX_JOINING {
            return None;
        }
        let process = JoiningProcess { name: name.to_owned(), nonce, requested_at: now };
        self.by_incarnation.insert(index, process);
        self.by_name_and_nonce.entry(name.to_owned()).or_default().insert(nonce, index);
        Some(index)
    }

    /// Claims an incarnation that was assigned to this name and not used yet. Returns whether there was one.
    pub fn claim(&mut self, incarnation: u64, name: &str) -> bool {
        let is_assigned = self.by_incarnation.get(&incarnation).is_some_and(|process| process.name == name);
        if is_assigned {
            self.remove(incarnation);
        }
        is_assigned
    }

    fn remove(&mut self, incarnation: u64) {
        let Some(process) = self.by_incarnation.remove(&incarnation) else { return };
        if let Some(by_nonce) = self.by_name_and_nonce.get_mut(&process.name) {
            by_nonce.remove(&process.nonce);
            if by_nonce.is_empty() {
                self.by_name_and_nonce.remove(&process.name);
            }
        }
    }

    pub fn expire(&mut self, now: Instant) {
        // Incarnations grow with time, so the smallest one is the oldest.
        while let Some((incarnation, process)) = self.by_incarnation.first_key_value() {
            if now - process.requested_at <= JOIN_TIMEOUT {
                return;
            }
            let incarnation = *incarnation;
            self.remove(incarnation);
        }
    }
}
