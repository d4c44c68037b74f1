//! Those who asked for an incarnation and have not spoken under it. Asking takes nobody's name: a request that
//! comes twice, or an hour late, brings about a candidate that lapses, and harms nobody.

use crate::time::micros;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// As many may ask at once; the whole fleet may start together.
const MOST: usize = 16_384;
/// One that does not speak within this is forgotten.
const LAPSE: Span = Span::from_millis(60_000);

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Asking {
    all: BTreeMap<u64, Candidate>,
    /// By name and the number drawn by chance.
    known: BTreeMap<String, BTreeMap<u64, u64>>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct Candidate {
    name: String,
    drawn: u64,
    #[serde(with = "micros")]
    since: Instant,
}

impl Asking {
    /// The incarnation that goes with a name and a number drawn by chance: the entry's own number, or what it
    /// was at the first try.
    pub fn ask(&mut self, now: Instant, number: u64, name: &str, drawn: u64) -> Option<u64> {
        if let Some(known) = self.known.get(name).and_then(|of_name| of_name.get(&drawn)) {
            return Some(*known);
        }
        if self.all.len() >= MOST {
            return None;
        }
        self.all.insert(number, Candidate { name: name.to_owned(), drawn, since: now });
        self.known.entry(name.to_owned()).or_default().insert(drawn, number);
        Some(number)
    }

    /// Whether this incarnation was given out under this name and not used; from now on it is.
    pub fn take(&mut self, incarnation: u64, name: &str) -> bool {
        let own = self.all.get(&incarnation).is_some_and(|candidate| candidate.name == name);
        if own {
            self.forget(incarnation);
        }
        own
    }

    fn forget(&mut self, incarnation: u64) {
        let Some(Candidate { name, drawn, .. }) = self.all.remove(&incarnation) else { return };
        if let Some(of_name) = self.known.get_mut(&name) {
            of_name.remove(&drawn);
            if of_name.is_empty() {
                self.known.remove(&name);
            }
        }
    }

    pub fn tick(&mut self, now: Instant) {
        // Incarnations count up with time: the first ones are the oldest.
        while let Some((incarnation, _)) = self.all.first_key_value().filter(|(_, c)| now - c.since > LAPSE) {
            let incarnation = *incarnation;
            self.forget(incarnation);
        }
    }
}
