//! Numbered membership views. Each view contains all members and is immutable. The next view is published when the desired
//! members have differed from the current view for long enough; it always keeps a minimum fraction of the current members.
//! View numbers only grow, and no number is used again after a restart.

use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A member of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewMember {
    /// The address of the member.
    pub address: SocketAddr,
    /// The weight of the member, in thousandths of a unit of capacity.
    pub weight: u64,
    /// The zone of the member.
    pub zone: u16,
}

/// A numbered list of all members that requests may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The number of the view. Later views have higher numbers.
    pub number: u64,
    /// The members, by name.
    pub members: BTreeMap<String, ViewMember>,
}

/// The difference between two views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewDifference {
    /// Members that are new or changed.
    pub upserted: Vec<(String, ViewMember)>,
    /// Names of members that are no longer in the view.
    pub removed: Vec<String>,
}

impl ViewDifference {
    /// The changes that turn the view `from` into the view `to`.
    pub fn between(from: &MembershipView, to: &MembershipView) -> Self {
        let upserted = to.members.iter().filter(|(name, entry)| from.members.get(*name) != Some(entry));
        let removed = from.members.keys().filter(|name| !to.members.contains_key(*name));
        Self {
            upserted: upserted.map(|(name, entry)| (name.clone(), *entry)).collect(),
            removed: removed.cloned().collect(),
        }
    }
}

/// The parameters of [`ViewPublisher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishLimits {
    /// How long the desired members must be unchanged before they are published.
    pub settle_time: Span,
    /// The maximum number of views published within `rate_window`. Further changes wait for the next view.
    pub max_views_per_window: u32,
    /// The time within which `max_views_per_window` limits the number of views.
    pub rate_window: Span,
    /// A view has at least this fraction of the number of members of the previous view.
    pub min_kept_fraction: f64,
    /// How long no view is published after a restart, unless enough members of the last view are known again earlier.
    pub restart_hold: Span,
    /// The fraction of the last view's members that must be known again to end `restart_hold` early.
    pub restart_known_fraction: f64,
}

/// Decides when the next membership view of a fleet is published.
#[derive(Clone, Debug)]
pub struct ViewPublisher {
    limits: PublishLimits,
    current: Arc<MembershipView>,
    /// The members that were proposed last.
    desired: BTreeMap<String, ViewMember>,
    /// Since when the proposed members are unchanged.
    desired_since: Instant,
    /// The publication times of the views within the last rate window.
    published_at: Vec<Instant>,
    /// Until when no view is published after a restart; none if views may be published.
    hold_until: Option<Instant>,
    /// How many members are kept in the view although they are no longer desired.
    retained: usize,
}

impl ViewPublisher {
    /// Creates a publisher. `last` is the last view that was published before a restart, or none if the fleet never had a
    /// view.
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

    /// The current view.
    pub fn current(&self) -> &Arc<MembershipView> {
        &self.current
    }

    /// How many members are kept although they are no longer desired, so that the view keeps its minimum size. Computed at
    /// the last proposal that was not held back.
    pub fn retained(&self) -> usize {
        self.retained
    }

    /// Whether the publication of views is still held back after a restart.
    pub fn is_on_hold(&self) -> bool {
        self.hold_until.is_some()
    }

    /// Proposes the members of the next view. Returns the next view if it is published now. `highest_number` is the highest
    /// view number that any publisher has used.
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

    /// Whether a restart was so recent that too few members of the last view are known again. Without this check the first
    /// views after a restart would lack all members that have not been heard yet.
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

    /// The desired members, and as many members of the last view as are needed for the minimum size. These are chosen in the
    /// order of names, so that the choice is always the same.
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
