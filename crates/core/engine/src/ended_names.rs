//! The names of requests that ended and may have had an effect.
//!
//! A name must outlast its request: the caller may have left before the response, and a copy of the request that arrives
//! later, on another connection, would otherwise be executed a second time. Names are kept for a limited time, after
//! which the frontend refuses a copy as too old, and up to a limited number.

use lynxtally::Instant;
use std::collections::{HashMap, VecDeque};

/// The most names that are kept. With more, the oldest are forgotten.
const MAX_NAMES: usize = 1 << 16;

/// The names of ended requests, each until a time.
#[derive(Debug, Default)]
pub(crate) struct EndedNames {
    kept_until: HashMap<String, Instant>,
    /// The same names in the order in which they expire.
    by_time: VecDeque<(Instant, String)>,
}

impl EndedNames {
    /// Keeps a name until `until`, which must not be earlier than that of an earlier call.
    pub fn insert(&mut self, name: &str, until: Instant) {
        if self.by_time.len() >= MAX_NAMES {
            self.forget_oldest();
        }
        self.kept_until.insert(name.to_owned(), until);
        self.by_time.push_back((until, name.to_owned()));
    }

    /// Whether a name is kept at this time.
    pub fn contains(&self, name: &str, now: Instant) -> bool {
        self.kept_until.get(name).is_some_and(|until| *until > now)
    }

    /// Forgets the names whose time is over.
    pub fn remove_expired(&mut self, now: Instant) {
        while self.by_time.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((until, name)) = self.by_time.pop_front() else { return };
        // The name may have been kept again since, for longer.
        if self.kept_until.get(&name) == Some(&until) {
            self.kept_until.remove(&name);
        }
    }
}
