//! What are callers and health checks told?
//!
//! The rule: the advertised capacity is the room for requests that keep the cores and their calls busy
//! without a long queue, less as reading falls behind, in the form that callers understand. A rejected caller
//! is told to stay away for as long as the queue lasts, at random around it so that callers don't come back
//! at once. During a shutdown the health check fails, no capacity is advertised, and Retry-After is the
//! longest that is followed.

use super::Policy;
use crate::outbox::BackendState;
use crate::*;

/// As many requests have room as keep cores and calls busy, times this: half of them may wait.
const ROOM_FACTOR: f64 = 2.0;
/// None should stay for longer than this fraction of the mean latency objective.
const STAY_FRACTION: f64 = 0.3;
/// Where a class stands out there is room for this many times as many requests to choose from ...
const CHOICE_FACTOR: f64 = 2.0;
/// ... and for at least so many a core, however dear they are.
const CHOICE_PER_CORE: f64 = 4.0;
/// The greatest threshold that is advertised while this backend serves.
const MAX_THRESHOLD: f64 = 0.5;
/// The least weight that is advertised while this backend serves.
const MIN_WEIGHT: f64 = 0.1;
/// How often credits may change: in steps of one over this.
const CREDIT_STEPS: f64 = 4.0;

impl Policy {
    /// What the host has to tell health checks and callers.
    pub(super) fn advertised_state(&self) -> BackendState {
        BackendState { healthy: self.shutdown.is_none(), capacity: self.advertised_capacity() }
    }

    /// The capacity in the callers' format; none where they know none.
    fn advertised_capacity(&self) -> Option<f64> {
        let is_closed = self.shutdown.is_some();
        match self.settings.capacity_format {
            CapacityFormat::None => None,
            CapacityFormat::Threshold if is_closed => Some(1.0),
            _ if is_closed => Some(0.0),
            // Nothing is kept away until there are as many as have room, half of all at twice as many.
            CapacityFormat::Threshold => Some(((self.fullness() - 1.0) / 2.0).clamp(0.0, MAX_THRESHOLD)),
            // The full weight until half of the room is taken.
            CapacityFormat::Weight => Some((1.5 - self.fullness()).clamp(MIN_WEIGHT, 1.0)),
            CapacityFormat::Credits => Some(self.credits()),
        }
    }

    /// The requests that each caller may have here: the room over the callers that send. At least one: a
    /// caller that sends nothing hears nothing, and forgets what it was told.
    fn credits(&self) -> f64 {
        let own_room = self.room_for_requests() * self.learned.callers.same_caller_probability();
        ((own_room * CREDIT_STEPS).round() / CREDIT_STEPS).max(1.0)
    }

    /// The requests that are here over those that have room.
    fn fullness(&self) -> f64 {
        let requests = self.requests.usage().started + self.requests.run_queue().len();
        requests / self.room_for_requests().max(1.0)
    }

    /// How many requests have room here. Reading costs work whatever is decided, so requests that lie unread
    /// say that too much is sent here. Catches every cause of that, which shows as receive delay; harms after
    /// a mere pause, for as long as callers heed what they were told.
    fn room_for_requests(&self) -> f64 {
        let cores = self.profile.cores;
        let cost_secs = self.learned.costs.mean_cost_secs();
        let stay_secs = self.wanted_stay_secs(cost_secs);
        let least_per_core = if self.profile.one_class_stands_out { CHOICE_PER_CORE } else { 1.0 };
        let room = (cores / cost_secs * stay_secs).max(cores * least_per_core);
        room * (1.0 - self.fraction_behind())
    }

    /// How long requests should stay here, in seconds.
    fn wanted_stay_secs(&self, cost_secs: f64) -> f64 {
        let max_stay_secs = self.profile.mean_objective_secs * STAY_FRACTION;
        if self.profile.one_class_stands_out {
            return max_stay_secs * CHOICE_FACTOR;
        }
        let run_secs = cost_secs + self.learned.costs.mean_wait_secs();
        (run_secs * ROOM_FACTOR).min(max_stay_secs)
    }

    /// How long a rejected caller should stay away: until the queue is worked off. Not at all where one class
    /// stands out, as that class would be kept away with the rest.
    pub(super) fn retry_after(&mut self) -> Span {
        let longest = self.settings.max_retry_after;
        if self.shutdown.is_some() {
            return longest;
        }
        let queue_secs = self.queued_work_secs / self.profile.cores + self.learned.receive_delay.secs();
        let queue_secs = if self.profile.one_class_stands_out { 0.0 } else { queue_secs };
        let spread = 0.5 + self.rng.unit();
        (Span::from_secs(queue_secs) * spread).min(longest)
    }
}
