//! Processes that asked for an incarnation and have not spoken under it.
//!
//! Asking takes nobody's name. A question that arrives twice, or an hour late, leads to an incarnation that expires
//! unused, and no running process is replaced by a copy of an old message.

use crate::serde_instant;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// As many may join at once; a whole fleet may start together.
const MAX_JOINING: usize = 16_384;
/// An incarnation that is not used within this is forgotten.
const JOIN_TIMEOUT: Span = Span::from_millis(60_000);

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct JoiningProcesses {
    #[serde(rename = "all")]
    by_incarnation: BTreeMap<u64, JoiningProcess>,
    /// Incarnations by name and random number, for a question that is asked again.
    #[serde(rename = "known")]
    by_question: BTreeMap<String, BTreeMap<u64, u64>>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct JoiningProcess {
    name: String,
    /// The random number that it asked with.
    #[serde(rename = "drawn")]
    nonce: u64,
    #[serde(rename = "since", with = "serde_instant")]
    asked_at: Instant,
}

impl JoiningProcesses {
    /// The incarnation for a name and a random number: the entry's own log index, or what it was when the question
    /// came first.
    pub fn ask(&mut self, now: Instant, index: u64, name: &str, nonce: u64) -> Option<u64> {
        if let Some(known) = self.by_question.get(name).and_then(|of_name| of_name.get(&nonce)) {
            return Some(*known);
        }
        if self.by_incarnation.len() >= MAX_JOINING {
            return None;
        }
        let process = JoiningProcess { name: name.to_owned(), nonce, asked_at: now };
        self.by_incarnation.insert(index, process);
        self.by_question.entry(name.to_owned()).or_default().insert(nonce, index);
        Some(index)
    }

    /// Whether this incarnation was given out under this name and not used; from now on it is.
    pub fn take(&mut self, incarnation: u64, name: &str) -> bool {
        let is_own = self.by_incarnation.get(&incarnation).is_some_and(|process| process.name == name);
        if is_own {
            self.forget(incarnation);
        }
        is_own
    }

    fn forget(&mut self, incarnation: u64) {
        let Some(process) = self.by_incarnation.remove(&incarnation) else { return };
        if let Some(of_name) = self.by_question.get_mut(&process.name) {
            of_name.remove(&process.nonce);
            if of_name.is_empty() {
                self.by_question.remove(&process.name);
            }
        }
    }

    pub fn expire(&mut self, now: Instant) {
        // Incarnations count up with time, so the first one is the oldest.
        while let Some((incarnation, process)) = self.by_incarnation.first_key_value() {
            if now - process.asked_at <= JOIN_TIMEOUT {
                return;
            }
            let incarnation = *incarnation;
            self.forget(incarnation);
        }
    }
}
