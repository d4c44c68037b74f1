//! The members of a fleet, as one observer sees them: observations come in, time passes, and members change state.

use crate::member::{Explanation, KeptReason, Member, MemberState, Observation, Source, StateReason};
use crate::views::ViewMember;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// A gap between ticks of more than so many intervals is a pause of the observer.
const MIN_PAUSE_TICKS: f64 = 5.0;
/// Steps in which a warming member's weight grows, so that views do not change at each tick.
const SLOW_START_STEPS: f64 = 4.0;
/// How often the recovery time of a suspect doubles at most.
const MAX_RECOVERY_DOUBLINGS: u32 = 10;
/// A removed member is explained for so many removal times.
const REMOVED_RETENTION_REMOVAL_TIMES: f64 = 2.0;
/// A weight is in thousandths of the capacity's measure.
const WEIGHT_SCALE: f64 = 1000.0;

/// What members are held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipLimits {
    /// A member is suspect once its silence is less likely than this power of ten.
    pub phi_threshold: f64,
    /// The deviation of a member's intervals counts as this at least.
    pub min_deviation: Span,
    /// For so long a new member's weight grows.
    pub slow_start_duration: Span,
    /// No more than this fraction of the members is out of the view as suspect at once.
    pub max_ejected_fraction: f64,
    /// Where more than this fraction falls silent together, the observer suspects itself, and nobody is ejected for it.
    pub observer_fault_fraction: f64,
    /// Silence that begins within this time counts as together.
    pub observer_fault_window: Span,
    /// A suspect has to be heard for so long before it is back, twice as long each time again.
    pub recovery_time: Span,
    /// A suspect is removed after so long.
    pub removal_time: Span,
    /// Ticks come this often; a far longer gap is a pause of the observer, not a silence of the members.
    pub tick_interval: Span,
}

/// The members of a fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    limits: MembershipLimits,
    members: BTreeMap<String, Member>,
    last_tick: Instant,
    /// Since when the observer suspects itself.
    observer_fault: Option<Instant>,
}

impl Membership {
    /// Without members yet.
    pub fn new(limits: MembershipLimits, now: Instant) -> Self {
        Self { limits, members: BTreeMap::new(), last_tick: now, observer_fault: None }
    }

    /// Takes in an observation. A less trusted source changes nothing of a member that reports itself.
    pub fn observe(&mut self, now: Instant, observation: Observation) {
        let now = now.max(self.last_tick);
        let new = Member::new(now, &observation);
        let Observation { name, address, source, capacity, zone, draining } = observation;
        let member = self.members.entry(name).or_insert_with(|| new.clone());
        let silenced = matches!(member.state, MemberState::Removed | MemberState::Suspect);
        if source < member.source && !silenced {
            return;
        }
        // Back with another address, or after it was removed: another process, of which nothing is known.
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
            return; // A list is no sign of life.
        }
        member.record_heartbeat(now, draining);
    }

    /// Time passes. Has to be called about every tick interval.
    pub fn tick(&mut self, now: Instant) {
        if now <= self.last_tick {
            return; // A clock that goes back tells nothing.
        }
        let gap = now - self.last_tick;
        self.last_tick = now;
        self.discount_observer_pause(gap);
        self.recover_suspects(now);
        self.suspect_silent_members(now);
        self.limit_ejections();
        self.expire_states(now);
    }

    /// A gap far longer than a tick: the observer slept or its clock jumped, so that nobody could be heard meanwhile.
    /// Without this all would be suspect after a pause of the observer.
    fn discount_observer_pause(&mut self, gap: Span) {
        let tick_interval = self.limits.tick_interval;
        if gap > tick_interval * MIN_PAUSE_TICKS {
            for member in self.members.values_mut() {
                member.detector.discount_pause(gap - tick_interval);
            }
        }
    }

    /// Suspects that have been heard for long enough come back.
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
                // One that stayed in the view has nothing to warm up for.
                let stayed_in_view = member.kept_in_view.take().is_some();
                let state = if stayed_in_view { MemberState::Ready } else { MemberState::SlowStart };
                member.set_state(now, state, StateReason::Recovered);
                member.heartbeats_resumed_at = None;
            }
        }
    }

    /// Members whose silence is longer than their intervals explain become suspect. Where many are so together, it is
    /// more likely that the observer does not hear than that they all failed: then they stay in the view.
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
            // One more mean interval is waited, to see whether others are missed as well.
            let overdue_since = *member.overdue_since.get_or_insert(now);
            if !observer_fault && now - overdue_since < member.detector.mean_interval() {
                continue;
            }
            let phi = member.detector.phi(now, limits.min_deviation);
            member.suspect(now, phi, observer_fault.then_some(KeptReason::ObserverFault));
        }
    }

    /// Whether so many are silent that the observer suspects itself. It does so until enough of them are heard again,
    /// however long ago they fell silent.
    fn update_observer_fault(&mut self, now: Instant, overdue: usize) {
        let limits = self.limits;
        let is_recent = |member: &Member| {
            member.is_unheard_suspect() && now - member.since < limits.observer_fault_window
        };
        let count = |is: &dyn Fn(&Member) -> bool| self.members.values().filter(|member| is(member)).count();
        let present = count(&|member| member.is_alive() || member.state == MemberState::Suspect);
        let silent_together = overdue + count(&is_recent);
        let silent = overdue + count(&Member::is_unheard_suspect);
        // Half of two is no crowd.
        let is_crowd =
            |silent: usize| silent > 1 && silent as f64 > present as f64 * limits.observer_fault_fraction;
        if is_crowd(silent_together) {
            if self.observer_fault.is_none() {
                // Those that were the first to be missed are no more to blame than the others.
                for member in self.members.values_mut().filter(|member| is_recent(member)) {
                    member.kept_in_view = Some(KeptReason::ObserverFault);
                }
            }
            self.observer_fault.get_or_insert(now);
        } else if !is_crowd(silent) {
            self.observer_fault = None;
        }
    }

    /// No more than a fraction is ejected at once: of the suspects, those that were silent first.
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

    /// States that end by themselves.
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
                // Well for long: earlier suspicions are forgotten.
                MemberState::Ready if age >= limits.removal_time => member.recent_suspicions = 0,
                _ => {}
            }
        }
        let removed_retention = limits.removal_time * REMOVED_RETENTION_REMOVAL_TIMES;
        self.members.retain(|_, member| {
            member.state != MemberState::Removed || now - member.since < removed_retention
        });
    }

    /// The members that the next view should have, with their weights.
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
            // Only a list is known: all of it, alike.
            for (_, entry) in &mut desired {
                entry.weight = WEIGHT_SCALE as u64;
            }
        }
        desired
    }

    /// The part of its capacity that a member's weight has; none where it is not in the view.
    fn weight_fraction(&self, now: Instant, member: &Member) -> Option<f64> {
        match member.state {
            MemberState::Ready => Some(1.0),
            MemberState::SlowStart => {
                let age = (now - member.since) / self.limits.slow_start_duration;
                Some(((age * SLOW_START_STEPS).floor() + 1.0).min(SLOW_START_STEPS) / SLOW_START_STEPS)
            }
            // It counts only where nobody was heard: a list is better than nobody at all.
            MemberState::Joining => Some(0.0),
            MemberState::Suspect if member.kept_in_view.is_some() => Some(1.0),
            MemberState::Suspect | MemberState::Draining | MemberState::Removed => None,
        }
    }

    /// Why a member is in its state.
    pub fn explain(&self, name: &str) -> Option<Explanation> {
        let member = self.members.get(name)?;
        Some(Explanation {
            state: member.state,
            since: member.since,
            reason: member.reason,
            kept_in_view: member.kept_in_view,
        })
    }

    /// Since when the observer suspects itself, where it does.
    pub fn observer_fault(&self) -> Option<Instant> {
        self.observer_fault
    }

    /// How many are in this state.
    pub fn count(&self, state: MemberState) -> usize {
        self.members.values().filter(|member| member.state == state).count()
    }
}
