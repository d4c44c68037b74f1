//! Recently answered updates, so that a duplicate gets the result of the first attempt.

use super::{UpdateId, ZoneStoreLimits};
use crate::serial::Serial;
use crate::update::UpdateError;
use lynxtally::Instant;
use std::collections::{BTreeMap, VecDeque};

/// The results of updates by identifier, limited in age and number; the oldest are dropped first.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownUpdates {
    known: BTreeMap<UpdateId, (Instant, Result<Serial, UpdateError>)>,
    by_time: VecDeque<(Instant, UpdateId)>,
}

impl KnownUpdates {
    pub(super) fn add(
        &mut self,
        now: Instant,
        update_id: UpdateId,
        result: Result<Serial, UpdateError>,
        limits: &ZoneStoreLimits,
    ) {
        let over = |at: Instant| now - at > limits.deduplication_window;
        while self.by_time.len() >= limits.max_known_updates.max(1)
            || self.by_time.front().is_some_and(|(at, _)| over(*at))
        {
            let Some((_, update_id)) = self.by_time.pop_front() else { break };
            self.known.remove(&update_id);
        }
        if self.known.insert(update_id, (now, result)).is_none() {
            self.by_time.push_back((now, update_id));
        }
    }

    pub(super) fn get(
        &self,
        now: Instant,
        update_id: &UpdateId,
        limits: &ZoneStoreLimits,
    ) -> Option<Result<Serial, UpdateError>> {
        // Expired entries stay in the map until the next `add`.
        let (since, result) = self.known.get(update_id)?;
        (now - *since <= limits.deduplication_window).then_some(*result)
    }

    /// All known updates and their results, the oldest first.
    pub(super) fn all(&self) -> impl Iterator<Item = (UpdateId, Result<Serial, UpdateError>)> + '_ {
        self.by_time.iter().filter_map(|(_, id)| Some((*id, self.known.get(id)?.1)))
    }
}
