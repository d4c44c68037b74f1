//! Which members the leader hears nothing of. Suspicion decides only whose demand counts, never who may use what; a member
//! that is suspected for an hour on end is forgotten, and joins anew when it speaks again.

use lynxtally::{Instant, Span};
use lynxtally_coordination::Member;
use lynxtally_membership::{MemberState, Membership, MembershipLimits, Observation, Source};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Nodes speak this often: a part of the shortest lease.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// Nodes are taken to speak once in as many ticks while there is no budget.
const TICKS_WITHOUT_BUDGET: f64 = 4.0;

/// A member as the state lists it.
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

/// The failure detector of a leader: phi accrual over the requests of each name.
pub(crate) struct SuspicionTracker(Membership);

impl SuspicionTracker {
    /// A leader that has heard nobody yet.
    pub fn new(now: Instant, shortest_lease: Option<Span>, tick_interval: Span) -> Self {
        let renewal_period =
            shortest_lease.map_or(tick_interval * TICKS_WITHOUT_BUDGET, |lease| lease * RENEWAL_FRACTION);
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

    /// A request of a name was accepted.
    pub fn heard(&mut self, now: Instant, name: String, draining: bool) {
        // Only names and times matter here.
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let source = Source::Report;
        self.0.observe(now, Observation { name, address, source, capacity: 1.0, zone: 0, draining });
    }

    /// The incarnations of which the state says other than what is heard, with what is heard.
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
                // Never heard by this leader: it is listed from now on, and its silence counts.
                self.heard(now, member.name.clone(), false);
                member.suspected
            }
        }
    }
}
