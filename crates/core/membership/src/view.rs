//! Numbered views: each is whole and never changed; the next one is made when what is wanted differs for long enough, and
//! is never emptier than it may be. What was numbered before a restart is never numbered again.

use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it is.
    pub address: SocketAddr,
    /// Its weight, in thousandths of its capacity's measure.
    pub weight: u64,
    /// Its place.
    pub zone: u16,
}

/// A view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number; later ones are higher.
    pub number: u64,
    /// The members by their names.
    pub members: BTreeMap<String, Entry>,
}

/// What differs between two views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// New, or changed.
    pub put: Vec<(String, Entry)>,
    /// No longer there.
    pub taken: Vec<String>,
}

/// What has to be done to come from one view to another.
pub fn difference(from: &View, to: &View) -> Change {
    let put = to.members.iter().filter(|(name, entry)| from.members.get(*name) != Some(entry));
    let taken = from.members.keys().filter(|name| !to.members.contains_key(*name));
    Change { put: put.map(|(name, entry)| (name.clone(), *entry)).collect(), taken: taken.cloned().collect() }
}

/// What views are held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// A change has to stand for so long before it becomes a view.
    pub hold: Span,
    /// So many views at most in a span, after which changes gather.
    pub most: u32,
    /// The span.
    pub span: Span,
    /// A view keeps at least this share of the members of the one before.
    pub least: f64,
    /// After a restart nothing is said for so long, unless this share of the last view is known again.
    pub quiet: Span,
    /// That share.
    pub known: f64,
}

/// The views of a fleet.
#[derive(Clone, Debug)]
pub struct Views {
    guard: Guard,
    now: Arc<View>,
    wanted: BTreeMap<String, Entry>,
    wanted_since: Instant,
    made: Vec<Instant>,
    /// After a restart: until when nothing is said.
    quiet_until: Option<Instant>,
    /// Members that the guard keeps though they are not wanted.
    held: usize,
}

impl Views {
    /// Views of a fleet that never had one, or the last one that was ever said.
    pub fn new(guard: Guard, last: Option<View>, now: Instant) -> Self {
        let quiet_until = last.as_ref().map(|_| now + guard.quiet);
        let now_view = Arc::new(last.unwrap_or_default());
        let wanted = now_view.members.clone();
        Self { guard, now: now_view, wanted, wanted_since: now, made: Vec::new(), quiet_until, held: 0 }
    }

    /// The present view.
    pub fn now(&self) -> &Arc<View> {
        &self.now
    }

    /// How many members the guard holds that are not wanted any more.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether nothing is said yet after a restart.
    pub fn quiet(&self) -> bool {
        self.quiet_until.is_some()
    }

    /// Tells what is wanted now; the next view comes back where there is one. `numbered` is the highest number that was
    /// ever given out, by whomever.
    pub fn want(&mut self, now: Instant, wanted: Vec<(String, Entry)>, numbered: u64) -> Option<Arc<View>> {
        let wanted: BTreeMap<String, Entry> = wanted.into_iter().collect();
        if wanted != self.wanted {
            (self.wanted, self.wanted_since) = (wanted, now);
        }
        if let Some(until) = self.quiet_until {
            let last = &self.now.members;
            let known = last.keys().filter(|name| self.wanted.contains_key(*name)).count();
            if now < until && (known as f64) < last.len() as f64 * self.guard.known {
                return None;
            }
            self.quiet_until = None;
        }
        if now - self.wanted_since < self.guard.hold {
            return None;
        }
        let next = self.guarded();
        if next == self.now.members {
            return None;
        }
        self.made.retain(|made| now - *made < self.guard.span);
        if self.made.len() >= self.guard.most as usize {
            return None;
        }
        self.made.push(now);
        self.now = Arc::new(View { number: self.now.number.max(numbered) + 1, members: next });
        Some(self.now.clone())
    }

    /// What is wanted, and of the last view as many more as it must not be emptier by. Names decide which, so that it is
    /// always the same ones.
    fn guarded(&mut self) -> BTreeMap<String, Entry> {
        let mut next = self.wanted.clone();
        let last = &self.now.members;
        let least = (last.len() as f64 * self.guard.least).ceil() as usize;
        let lost = last.iter().filter(|(name, _)| !next.contains_key(*name));
        let missing = least.saturating_sub(next.len());
        let kept: Vec<(String, Entry)> =
            lost.take(missing).map(|(name, entry)| (name.clone(), *entry)).collect();
        self.held = kept.len();
        next.extend(kept);
        next
    }
}
