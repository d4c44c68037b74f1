//! A model of leases: two holders compete for one unit of capacity, which a replicated coordinator grants. Messages can be
//! lost, duplicated and delayed; a holder's clock can fall behind by a bounded amount; a holder can be paused.
//!
//! Safety: there are never more calls in flight than the capacity. Reachability: the unit can pass from one holder to the
//! other, so that both have made a call.
//!
//! Time is counted in steps. Drift means that the clock of a holder falls behind the coordinator's by a step during a lease.
//! Only the difference between the clocks matters, so a slow holder clock also stands for a fast coordinator clock.

use stateright::{Model, Property};

/// Number of steps, from the holder's request, in which calls may start under a lease.
const LEASE_STEPS: u8 = 2;
/// Maximum number of steps that a call runs.
const IN_FLIGHT_STEPS: u8 = 1;
/// Maximum number of steps that a holder's clock falls behind during one lease.
const DRIFT_STEPS: u8 = 1;
/// Maximum number of steps that a holder is paused between reading its clock and starting a call.
const PAUSE_STEPS: u8 = 1;

/// A defect of the protocol that the model checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The correct protocol.
    None,
    /// The coordinator grants the unit again as soon as it suspects the holder.
    GrantedAtSuspicion,
    /// The holder counts the duration of the lease from the response instead of from its request.
    DurationFromResponse,
    /// The coordinator doesn't wait for the clock drift before it grants the unit again.
    NoDrift,
    /// The coordinator doesn't wait for calls that were started under the lease.
    NoInFlightTime,
    /// The coordinator doesn't wait a safety margin for a holder that reads its clock, is paused, and then starts a call.
    NoMargin,
}

/// The model and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// The defect that is built in.
    pub defect: Defect,
    /// Number of time steps to explore.
    pub steps: u8,
    /// Maximum number of messages in transit.
    pub max_in_transit: usize,
    /// Maximum number of lease requests that each holder sends.
    pub max_requests: [u8; 2],
}

/// The state of a lease holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Reading of the holder's clock, in steps.
    clock: u8,
    /// Steps that the clock may still fall behind. Only the first holder's clock drifts: one late clock is enough.
    remaining_drift: u8,
    /// Clock reading when the pending request was sent; `None` if there is none.
    requested_at: Option<u8>,
    /// Number of the last request.
    request_number: u8,
    /// Clock reading from which on no call may start under the lease.
    expires_at: Option<u8>,
    /// Steps that the call in flight may still run; the call has ended once a step passes at zero.
    in_flight: Option<u8>,
    /// Steps since the holder read its clock, found the lease valid and decided to start a call.
    steps_since_clock_check: Option<u8>,
}

/// A message between a holder and the coordinator. The fields are the holder and the number of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A holder requests the lease.
    Request(u8, u8),
    /// The coordinator grants the lease.
    Grant(u8, u8),
}

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The coordinator's clock, in steps.
    now: u8,
    holders: [Holder; 2],
    /// The lease that the coordinator counts as granted.
    granted_lease: Option<GrantedLease>,
    in_transit: Vec<Message>,
    /// Whether each holder has made a call.
    has_called: [bool; 2],
}

/// A lease as the coordinator records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    holder: u8,
    /// Number of the request that the lease was granted for.
    request_number: u8,
    /// Time from which on no call of this lease can be in flight, so that the unit may be granted again.
    reusable_at: u8,
}

/// A transition of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A time step; true if the first holder's clock falls behind. The second holder's clock never does.
    Step(bool),
    /// This holder requests the lease.
    RequestLease(u8),
    /// A message is delivered; if true, a duplicate stays in transit.
    Deliver(Message, bool),
    /// A message is lost.
    Drop(Message),
    /// This holder reads its clock and decides to start a call.
    CheckClock(u8),
    /// This holder starts the call that it has decided on.
    StartCall(u8),
    /// The call of this holder ends before its maximum duration.
    EndCall(u8),
    /// The coordinator suspects the holder of the lease.
    Suspect,
}

impl LeaseModel {
    /// When a lease that is granted `now` can no longer have a call in flight.
    fn reusable_at(&self, now: u8) -> u8 {
        let in_flight = if self.defect == Defect::NoInFlightTime { 0 } else { IN_FLIGHT_STEPS };
        let drift = if self.defect == Defect::NoDrift { 0 } else { DRIFT_STEPS };
        let margin = if self.defect == Defect::NoMargin { 0 } else { PAUSE_STEPS };
        now + LEASE_STEPS + drift + in_flight + margin
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder { remaining_drift: DRIFT_STEPS, ..Holder::default() };
        let holders = [holder.clone(), holder];
        vec![State { now: 0, holders, granted_lease: None, in_transit: Vec::new(), has_called: [false; 2] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.steps
            && state
                .holders
                .iter()
                .all(|holder| holder.steps_since_clock_check.is_none_or(|steps| steps < PAUSE_STEPS))
        {
            actions.push(Action::Step(false));
            if state.holders[0].remaining_drift > 0 {
                actions.push(Action::Step(true));
            }
        }
        for (holder_index, holder) in (0..).zip(&state.holders) {
            if holder.requested_at.is_none()
                && state.in_transit.len() < self.max_in_transit
                && holder.request_number < self.max_requests[usize::from(holder_index)]
            {
                actions.push(Action::RequestLease(holder_index));
            }
            let in_force = holder.expires_at.is_some_and(|expires_at| holder.clock < expires_at);
            if in_force && holder.in_flight.is_none() && holder.steps_since_clock_check.is_none() {
                actions.push(Action::CheckClock(holder_index));
            }
            if holder.steps_since_clock_check.is_some() {
                actions.push(Action::StartCall(holder_index));
            }
            if holder.in_flight.is_some() {
                actions.push(Action::EndCall(holder_index));
            }
        }
        for message in &state.in_transit {
            actions.extend([
                Action::Deliver(*message, false),
                Action::Deliver(*message, true),
                Action::Drop(*message),
            ]);
        }
        if self.defect == Defect::GrantedAtSuspicion && state.granted_lease.is_some() {
            actions.push(Action::Suspect);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step(falls_behind) => {
                state.now += 1;
                for (holder, falls_behind) in state.holders.iter_mut().zip([falls_behind, false]) {
                    if falls_behind {
                        holder.remaining_drift -= 1;
                    } else {
                        holder.clock += 1;
                    }
                    holder.in_flight = holder.in_flight.and_then(|remaining| remaining.checked_sub(1));
                    holder.steps_since_clock_check = holder.steps_since_clock_check.map(|steps| steps + 1);
                }
            }
            Action::RequestLease(holder_index) => {
                let holder = &mut state.holders[usize::from(holder_index)];
                holder.request_number += 1;
                // Drift is bounded per lease: without a valid lease, earlier drift no longer matters.
                if holder.expires_at.is_none_or(|expires_at| expires_at <= holder.clock)
                    && holder.steps_since_clock_check.is_none()
                {
                    holder.remaining_drift = DRIFT_STEPS;
                }
                holder.requested_at = Some(holder.clock);
                state.in_transit.push(Message::Request(holder_index, holder.request_number));
            }
            Action::Deliver(message, duplicated) => {
                if !duplicated {
                    let position = state.in_transit.iter().position(|other| *other == message)?;
                    state.in_transit.remove(position);
                }
                self.handle_message(&mut state, message)?;
            }
            Action::Drop(message) => {
                let position = state.in_transit.iter().position(|other| *other == message)?;
                state.in_transit.remove(position);
                let (Message::Request(holder_index, request_number)
                | Message::Grant(holder_index, request_number)) = message;
                // The holder may send a new request, which gets its own number, instead of repeating the lost one.
                let holder = &mut state.holders[usize::from(holder_index)];
                if holder.request_number == request_number {
                    holder.requested_at = None;
                }
            }
            Action::CheckClock(holder_index) => {
                state.holders[usize::from(holder_index)].steps_since_clock_check = Some(0)
            }
            Action::StartCall(holder_index) => {
                let holder = &mut state.holders[usize::from(holder_index)];
                holder.steps_since_clock_check = None;
                holder.in_flight = Some(IN_FLIGHT_STEPS);
                state.has_called[usize::from(holder_index)] = true;
            }
            Action::EndCall(holder_index) => state.holders[usize::from(holder_index)].in_flight = None,
            Action::Suspect => state.granted_lease = None,
        }
        state.in_transit.sort_unstable();
        state.in_transit.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let safe = Property::always("calls in flight never exceed the capacity", |_, state: &State| {
            state.holders.iter().filter(|holder| holder.in_flight.is_some()).count() <= 1
        });
        if self.defect != Defect::None {
            return vec![safe];
        }
        vec![
            safe,
            Property::sometimes("both holders have made a call", |_, state: &State| {
                state.has_called == [true, true]
            }),
        ]
    }
}

impl LeaseModel {
    /// Handles a delivered message. `None` cancels the transition: a grant answers no pending request, or the response would
    /// exceed the bound on messages in transit.
    fn handle_message(&self, state: &mut State, message: Message) -> Option<()> {
        match message {
            Message::Request(holder_index, request_number) => {
                state.granted_lease = state.granted_lease.filter(|lease| lease.reusable_at > state.now);
                match state.granted_lease {
                    Some(lease) if lease.holder == holder_index && lease.request_number >= request_number => {
                    }
                    Some(lease) if lease.holder != holder_index => return Some(()),
                    _ => {
                        let reusable_at = self.reusable_at(state.now);
                        state.granted_lease =
                            Some(GrantedLease { holder: holder_index, request_number, reusable_at });
                    }
                }
                if state.in_transit.len() >= self.max_in_transit {
                    return None;
                }
                state.in_transit.push(Message::Grant(holder_index, request_number));
            }
            Message::Grant(holder_index, request_number) => {
                let holder = &mut state.holders[usize::from(holder_index)];
                let requested_at = holder.requested_at.filter(|_| holder.request_number == request_number)?;
                let valid_from =
                    if self.defect == Defect::DurationFromResponse { holder.clock } else { requested_at };
                holder.requested_at = None;
                holder.expires_at = Some(valid_from + LEASE_STEPS);
            }
        }
        Some(())
    }
}
