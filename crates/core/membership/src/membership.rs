//! The members of a fleet as one observer sees them. Members change state through observations and as time passes.

use crate::member::{Explanation, KeptReason, Member, MemberState, Observation, Source, StateReason};
use crate::views::ViewMember;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// A time between two ticks of more than this many tick intervals counts as a pause of the observer.
const MIN_PAUSE_TICKS: f64 = 5.0;
/// The number of steps in which a member's weight grows during slow start. With few steps the view does not change at
/// each tick.
const SLOW_START_STEPS: f64 = 4.0;
/// The maximum number of times that the recovery time of a suspect member doubles.
const MAX_RECOVERY_DOUBLINGS: u32 = 10;
/// A removed member is remembered, for [`Membership::explain`], for this many times the removal time.
const REMOVED_RETENTION_FACTOR: f64 = 2.0;
/// Weight units per unit of capacity.
const WEIGHT_SCALE: f64 = 1000.0;

/// The parameters of [`Membership`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipLimits {
    /// A member becomes suspect when phi, the -log10 of the probability of its silence, exceeds this threshold.
    pub phi_threshold: f64,
    /// The smallest standard deviation that is assumed for a member's heartbeat intervals.
    pub min_deviation: Span,
    /// How long the weight of a new member grows to its full capacity.
    pub slow_start_duration: Span,
    /// The largest fraction of the members that may be ejected from the view as suspect at the same time.
    pub max_ejected_fraction: f64,
    /// If more than this fraction of the members falls silent together, the observer assumes that the fault is its own and
    /// ejects none of them.
    pub observer_fault_fraction: f64,
    /// Members that became suspect less than this time ago count as falling silent together.
    pub observer_fault_window: Span,
    /// How long the heartbeats of a suspect member must be regular before it recovers. Doubles with each suspicion.
    pub recovery_time: Span,
    /// How long a member stays suspect, or silent after a graceful shutdown, before it is removed. A member that has been
    /// ready for this long has its earlier suspicions forgotten.
    pub removal_time: Span,
    /// The usual time between two ticks. A much longer time counts as a pause of the observer, not as silence of the members.
    pub tick_interval: Span,
}

/// The members of a fleet, as one observer sees them.
#[derive(Clone, Debug)]
pub struct Membership {
    limits: MembershipLimits,
    members: BTreeMap<String, Member>,
    last_tick: Instant,
    /// Since when the observer assumes that it is at fault itself; none if it does not.
    observer_fault: Option<Instant>,
}

impl Membership {
    /// Creates a fleet without members.
    pub fn new(limits: MembershipLimits, now: Instant) -> Self {
        Self { limits, members: BTreeMap::new(), last_tick: now, observer_fault: None }
    }

    /// Records an observation. An observation from a less trusted source is ignored, unless the member is suspect or removed.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        let now = now.max(self.last_tick);
        let new = Member::new(now, &observation);
        let Observation { name, address, source, capacity, zone, draining } = observation;
        let member = self.members.entry(name).or_insert_with(|| new.clone());
        let is_suspect_or_removed = matches!(member.state, MemberState::Removed | MemberState::Suspect);
        if source < member.source && !is_suspect_or_removed {
            return;
        }
        // With another address, or after its removal, the member is a new process, for which nothing has been learned.
        let address_changed = member.address != address;
        if (address_changed && source >= member.source) || member.state == MemberState::Removed {
            *member = new;
            member.reason =
                if address_changed { StateReason::AddressChanged } else { StateReason::ReturnedAfterRemoval };
        }
        member.source = member.source.max(source);
        if capacity.is_finite() && capacity > 0.0 {
            member.capacity = capacity;
        }
        member.zone = zone;
        if source == Source::StaticList {
            return; // A static list does not show that the member is alive.
        }
        member.record_heartbeat(now, draining);
    }

    /// Updates all states as time passes. Has to be called about once per tick interval.
    pub fn tick(&mut self, now: Instant) {
        if now <= self.last_tick {
            return; // The clock went back, so no time is known to have passed.
        }
        let gap = now - self.last_tick;
        self.last_tick = now;
        self.discount_observer_pause(gap);
        self.recover_suspects(now);
        self.suspect_silent_members(now);
        self.limit_ejections();
        self.expire_states(now);
    }

    /// If the time since the last tick is much longer than a tick, the observer was paused or its clock jumped, and it could
    /// receive no heartbeats meanwhile. This time is excluded from the silence of all members; otherwise all of them would
    /// become suspect.
    fn discount_observer_pause(&mut self, gap: Span) {
        let tick_interval = self.limits.tick_interval;
        if gap > tick_interval * MIN_PAUSE_TICKS {
            for member in self.members.values_mut() {
                member.detector.discount_pause(gap - tick_interval);
            }
        }
    }

    /// Ends the suspicion of members whose heartbeats have been regular for the recovery time.
    fn recover_suspects(&mut self, now: Instant) {
        let limits = self.limits;
        for member in self.members.values_mut().filter(|member| member.state == MemberState::Suspect) {
            let Some(since) = member.heartbeats_resumed_at else { continue };
            if member.detector.phi(now, limits.min_deviation) > limits.phi_threshold {
                member.heartbeats_resumed_at = None;
                continue;
            }
            let doublings = member.recent_suspicions.saturating_sub(1).min(MAX_RECOVERY_DOUBLINGS);
            if now - since >= limits.recovery_time * f64::from(1_u32 << doublings) {
                // A member that was kept in the view still has its full load, so it needs no slow start.
                let stayed_in_view = member.kept_in_view.take().is_some();
                let state = if stayed_in_view { MemberState::Ready } else { MemberState::SlowStart };
                member.set_state(now, state, StateReason::Recovered);
                member.heartbeats_resumed_at = None;
            }
        }
    }

    /// Makes the members suspect for whose silence phi exceeds the threshold. If many fall silent together, it is
    /// more likely that the observer receives nothing than that all of them failed, so they are kept in the view.
    fn suspect_silent_members(&mut self, now: Instant) {
        let limits = self.limits;
        let is_overdue = |member: &Member| {
            member.is_alive() && member.detector.phi(now, limits.min_deviation) > limits.phi_threshold
        };
        let overdue: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| is_overdue(member))
            .map(|(name, _)| name.clone())
            .collect();
        self.update_observer_fault(now, overdue.len());
        let observer_fault = self.observer_fault.is_some();
        for name in overdue {
            let Some(member) = self.members.get_mut(&name) else { continue };
            // Waits one more mean interval, to see whether other members fall silent as well.
            let overdue_since = *member.overdue_since.get_or_insert(now);
            if !observer_fault && now - overdue_since < member.detector.mean_interval() {
                continue;
            }
            let phi = member.detector.phi(now, limits.min_deviation);
            member.suspect(now, phi, observer_fault.then_some(KeptReason::ObserverFault));
        }
    }

    /// Updates whether so many members are silent that the observer assumes a fault of its own. The fault begins when many
    /// fall silent together, and ends when enough members are heard again, however long ago they fell silent.
    fn update_observer_fault(&mut self, now: Instant, overdue: usize) {
        let limits = self.limits;
        let is_recent = |member: &Member| {
            member.is_unheard_suspect() && now - member.since < limits.observer_fault_window
        };
        let count = |matches: &dyn Fn(&Member) -> bool| {
            self.members.values().filter(|member| matches(member)).count()
        };
        let present = count(&|member| member.is_alive() || member.state == MemberState::Suspect);
        let silent_together = overdue + count(&is_recent);
        let silent = overdue + count(&Member::is_unheard_suspect);
        // A single silent member is never taken for a fault of the observer, even in a fleet of two.
        let suggests_observer_fault =
            |silent: usize| silent > 1 && silent as f64 > present as f64 * limits.observer_fault_fraction;
        if suggests_observer_fault(silent_together) {
            if self.observer_fault.is_none() {
                // The members that became suspect before the fault was noticed probably did not fail either.
                for member in self.members.values_mut().filter(|member| is_recent(member)) {
                    member.kept_in_view = Some(KeptReason::ObserverFault);
                }
            }
            self.observer_fault.get_or_insert(now);
        } else if !suggests_observer_fault(silent) {
            self.observer_fault = None;
        }
    }

    /// Ejects at most the configured fraction of members: the suspect members that fell silent first. Those beyond the limit
    /// are kept in the view.
    fn limit_ejections(&mut self) {
        let observer_fault = self.observer_fault.is_some();
        let suspects = self.members.iter().filter(|(_, member)| member.state == MemberState::Suspect);
        let mut suspects: Vec<(Instant, String)> =
            suspects.map(|(name, member)| (member.since, name.clone())).collect();
        suspects.sort();
        let alive = self.members.values().filter(|member| member.is_alive()).count();
        let max_ejected = ((alive + suspects.len()) as f64 * self.limits.max_ejected_fraction) as usize;
        for (rank, (_, name)) in suspects.into_iter().enumerate() {
            let Some(member) = self.members.get_mut(&name) else { continue };
            member.kept_in_view = match member.kept_in_view {
                Some(kept_in_view) if observer_fault => Some(kept_in_view),
                _ if rank >= max_ejected => Some(KeptReason::EjectionLimit),
                _ => None,
            };
        }
    }

    /// Ends the states that end after some time, and forgets members that were removed long ago.
    fn expire_states(&mut self, now: Instant) {
        let limits = self.limits;
        for member in self.members.values_mut() {
            let age = now - member.since;
            match member.state {
                MemberState::SlowStart if age >= limits.slow_start_duration => {
                    member.set_state(now, MemberState::Ready, StateReason::SlowStartEnded);
                }
                MemberState::Suspect
                    if age >= limits.removal_time && member.heartbeats_resumed_at.is_none() =>
                {
                    member.set_state(now, MemberState::Removed, StateReason::SuspectTooLong);
                }
                MemberState::Draining if member.detector.silence(now) >= limits.removal_time => {
                    member.set_state(now, MemberState::Removed, StateReason::Drained);
                }
                // The member has been ready for a long time, so earlier suspicions no longer prolong its recovery time.
                MemberState::Ready if age >= limits.removal_time => member.recent_suspicions = 0,
                _ => {}
            }
        }
        let removed_retention = limits.removal_time * REMOVED_RETENTION_FACTOR;
        self.members.retain(|_, member| {
            member.state != MemberState::Removed || now - member.since < removed_retention
        });
    }

    /// The members that the next view should contain, with their weights.
    pub fn desired_view(&self, now: Instant) -> Vec<(String, ViewMember)> {
        let mut desired = Vec::new();
        for (name, member) in &self.members {
            let Some(fraction) = self.weight_fraction(now, member) else { continue };
            let weight = (member.capacity * fraction * WEIGHT_SCALE).round() as u64;
            let entry = ViewMember { address: member.address, weight, zone: member.zone };
            desired.push((name.clone(), entry));
        }
        if desired.iter().any(|(_, entry)| entry.weight > 0) {
            desired.retain(|(_, entry)| entry.weight > 0);
        } else {
            // Only a static list is known: all its members get the same weight.
            for (_, entry) in &mut desired {
                entry.weight = WEIGHT_SCALE as u64;
            }
        }
        desired
    }

    /// A member's weight as a fraction of its capacity; none if the member is not in the view.
    fn weight_fraction(&self, now: Instant, member: &Member) -> Option<f64> {
        match member.state {
            MemberState::Ready => Some(1.0),
            MemberState::SlowStart => {
                let elapsed_fraction = (now - member.since) / self.limits.slow_start_duration;
                Some(
                    ((elapsed_fraction * SLOW_START_STEPS).floor() + 1.0).min(SLOW_START_STEPS)
                        / SLOW_START_STEPS,
                )
            }
            // Members without a heartbeat are used only if no member has a positive weight.
            MemberState::Joining => Some(0.0),
            MemberState::Suspect if member.kept_in_view.is_some() => Some(1.0),
            MemberState::Suspect | MemberState::Draining | MemberState::Removed => None,
        }
    }

    /// The state of a member and the reason for it; none if the member is unknown.
    pub fn explain(&self, name: &str) -> Option<Explanation> {
        let member = self.members.get(name)?;
        Some(Explanation {
            state: member.state,
            since: member.since,
            reason: member.reason,
            kept_in_view: member.kept_in_view,
        })
    }

    /// Since when the observer assumes that it is at fault itself, because many members fell silent together; none if it
    /// does not.
    pub fn observer_fault(&self) -> Option<Instant> {
        self.observer_fault
    }

    /// The number of members in this state.
    pub fn count(&self, state: MemberState) -> usize {
        self.members.values().filter(|member| member.state == state).count()
    }
}
