//! The leader's failure detector for members. Suspicion determines only whose demand counts when budgets are divided; it
//! never revokes a lease. A suspected member that has sent no request for an hour is removed, and has to join again.

use lynxtally::{Instant, Span};
use lynxtally_coordination::Member;
use lynxtally_membership::{MemberState, Membership, MembershipLimits, Observation, Source};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The expected time between two requests of a node, as a fraction of the shortest lease.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// The expected time between two requests of a node while there is no budget, in ticks.
const RENEWAL_TICKS_WITHOUT_BUDGET: f64 = 4.0;

/// A member in the replicated state.
pub(crate) struct ListedMember {
    incarnation: u64,
    name: String,
    suspected: bool,
}

impl ListedMember {
    pub fn new(incarnation: u64, member: &Member) -> Self {
        Self { incarnation, name: member.name.clone(), suspected: member.suspected }
    }
}

/// A phi accrual failure detector over the arrival times of each node's requests.
pub(crate) struct SuspicionTracker(Membership);

impl SuspicionTracker {
    /// Creates a failure detector that has recorded no requests yet.
    pub fn new(now: Instant, shortest_lease: Option<Span>, tick_interval: Span) -> Self {
        let renewal_period = shortest_lease
            .map_or(tick_interval * RENEWAL_TICKS_WITHOUT_BUDGET, |lease| lease * RENEWAL_FRACTION);
        let limits = MembershipLimits {
            phi_threshold: 8.0,
            min_deviation: renewal_period * 0.5,
            slow_start_duration: renewal_period,
            max_ejected_fraction: 1.0,
            observer_fault_fraction: 0.5,
            observer_fault_window: renewal_period * 2.0,
            recovery_time: renewal_period * 2.0,
            removal_time: renewal_period * 1000.0,
            tick_interval,
        };
        Self(Membership::new(limits, now))
    }

    /// Records that a request of the node with this name was accepted.
    pub fn record_heartbeat(&mut self, now: Instant, name: String, draining: bool) {
        // The failure detector uses only the name and the time; the other fields are placeholders.
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let source = Source::Report;
        self.0.observe(now, Observation { name, address, source, capacity: 1.0, zone: 0, draining });
    }

    /// The incarnations whose suspicion in the state differs from this detector's, with the detector's value.
    pub fn changes(&mut self, now: Instant, members: &[ListedMember]) -> BTreeMap<u64, bool> {
        self.0.tick(now);
        let mut changes = BTreeMap::new();
        for member in members {
            let suspected = self.is_suspected(now, member);
            if suspected != member.suspected {
                changes.insert(member.incarnation, suspected);
            }
        }
        changes
    }

    fn is_suspected(&mut self, now: Instant, member: &ListedMember) -> bool {
        match self.0.explain(&member.name).map(|explanation| (explanation.state, explanation.kept_in_view)) {
            Some((MemberState::Suspect, None) | (MemberState::Removed, _)) => true,
            Some(_) => false,
            None => {
                // This leader has had no request of the member. Recording one now lets its silence count from here on.
                self.record_heartbeat(now, member.name.clone(), false);
                member.suspected
            }
        }
    }
}
