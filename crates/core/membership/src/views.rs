//! Numbered membership views. Each is whole and never changed; the next one is published when what is desired differs for
//! long enough, and is never emptier than it may be. A number that was used before a restart is never used again.

use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewMember {
    /// Its address.
    pub address: SocketAddr,
    /// Its weight, in thousandths of the capacity's measure.
    pub weight: u64,
    /// Its zone.
    pub zone: u16,
}

/// A membership view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Its number; later ones are higher.
    pub number: u64,
    /// The members by their names.
    pub members: BTreeMap<String, ViewMember>,
}

/// What differs between two views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewDifference {
    /// New, or changed.
    pub upserted: Vec<(String, ViewMember)>,
    /// No longer there.
    pub removed: Vec<String>,
}

impl ViewDifference {
    /// What has to be done to come from one view to another.
    pub fn between(from: &MembershipView, to: &MembershipView) -> Self {
        let upserted = to.members.iter().filter(|(name, entry)| from.members.get(*name) != Some(entry));
        let removed = from.members.keys().filter(|name| !to.members.contains_key(*name));
        Self {
            upserted: upserted.map(|(name, entry)| (name.clone(), *entry)).collect(),
            removed: removed.cloned().collect(),
        }
    }
}

/// What publishing views is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishLimits {
    /// A change has to last so long before it is published.
    pub settle_time: Span,
    /// So many views at most in a rate window, after which changes gather.
    pub max_views_per_window: u32,
    /// The rate window.
    pub rate_window: Span,
    /// A view keeps at least this fraction of the members of the one before.
    pub min_kept_fraction: f64,
    /// After a restart nothing is published for so long, unless enough of the last view is known again.
    pub restart_hold: Span,
    /// The fraction of the last view that is enough.
    pub restart_known_fraction: f64,
}

/// Publishes the views of a fleet.
#[derive(Clone, Debug)]
pub struct ViewPublisher {
    limits: PublishLimits,
    current: Arc<MembershipView>,
    desired: BTreeMap<String, ViewMember>,
    desired_since: Instant,
    /// When the views of the last rate window were published.
    published_at: Vec<Instant>,
    /// After a restart: until when nothing is published.
    hold_until: Option<Instant>,
    /// Members that are kept though they are not desired.
    retained: usize,
}

impl ViewPublisher {
    /// For a fleet that never had a view, or from the last one that was published before a restart.
    pub fn new(limits: PublishLimits, last: Option<MembershipView>, now: Instant) -> Self {
        let hold_until = last.as_ref().map(|_| now + limits.restart_hold);
        let current = Arc::new(last.unwrap_or_default());
        let desired = current.members.clone();
        Self {
            limits,
            current,
            desired,
            desired_since: now,
            published_at: Vec::new(),
            hold_until,
            retained: 0,
        }
    }

    /// The present view.
    pub fn current(&self) -> &Arc<MembershipView> {
        &self.current
    }

    /// How many members the present view has that were not desired any more.
    pub fn retained(&self) -> usize {
        self.retained
    }

    /// Whether nothing is published yet after a restart.
    pub fn is_on_hold(&self) -> bool {
        self.hold_until.is_some()
    }

    /// Says what is desired now; the next view comes back where there is one. `highest_number` is the highest number that
    /// was ever used, by whomever.
    pub fn propose(
        &mut self,
        now: Instant,
        desired: Vec<(String, ViewMember)>,
        highest_number: u64,
    ) -> Option<Arc<MembershipView>> {
        let desired: BTreeMap<String, ViewMember> = desired.into_iter().collect();
        if desired != self.desired {
            self.desired = desired;
            self.desired_since = now;
        }
        if self.is_held_after_restart(now) || now - self.desired_since < self.limits.settle_time {
            return None;
        }
        let members = self.with_retained_members();
        if members == self.current.members {
            return None;
        }
        let rate_window = self.limits.rate_window;
        self.published_at.retain(|published| now - *published < rate_window);
        if self.published_at.len() >= self.limits.max_views_per_window as usize {
            return None;
        }
        self.published_at.push(now);
        let number = self.current.number.max(highest_number) + 1;
        self.current = Arc::new(MembershipView { number, members });
        Some(self.current.clone())
    }

    /// Whether a restart was so recently that too few of the last view are known again. Without this the first views after
    /// a restart would lack all members that were not heard yet.
    fn is_held_after_restart(&mut self, now: Instant) -> bool {
        let Some(until) = self.hold_until else { return false };
        let last = &self.current.members;
        let known = last.keys().filter(|name| self.desired.contains_key(*name)).count();
        if now < until && (known as f64) < last.len() as f64 * self.limits.restart_known_fraction {
            return true;
        }
        self.hold_until = None;
        false
    }

    /// What is desired, and of the last view as many more as it must not be emptier by. Names decide which, so that it is
    /// always the same ones.
    fn with_retained_members(&mut self) -> BTreeMap<String, ViewMember> {
        let mut members = self.desired.clone();
        let last = &self.current.members;
        let min_members = (last.len() as f64 * self.limits.min_kept_fraction).ceil() as usize;
        let missing = min_members.saturating_sub(members.len());
        let lost = last.iter().filter(|(name, _)| !members.contains_key(*name));
        let retained: Vec<(String, ViewMember)> =
            lost.take(missing).map(|(name, entry)| (name.clone(), *entry)).collect();
        self.retained = retained.len();
        members.extend(retained);
        members
    }
}
