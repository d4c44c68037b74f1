//! The beginning and the end of forwards. Nothing else may decide that an upload is sent to an upstream.

use super::lifecycle::{AfterForward, Forward, ForwardEnd, ForwardOutcome, UploadPhase};
use super::{Entry, Fingerprint, State, UploadId, Uploads};
use lynxtally::Effect;

/// Why no forward may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardRefusal {
    /// No upload has this id.
    Unknown,
    /// More bytes are expected.
    Incomplete,
    /// Another forward is under way.
    UnderWay,
    /// A forward has ended, and no other one may begin.
    Executed(ForwardOutcome),
}

/// A forward that has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunForward {
    /// The number by which the end of this forward is reported.
    pub number: u64,
    /// The entry that must be durable before any byte is sent to an upstream.
    pub entry: Option<Entry>,
    /// The head of the request that is sent to the upstream, without the length of its body.
    pub request_head: Vec<u8>,
    /// The length of the upload in bytes.
    pub length: u64,
}

/// How many uploads there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UploadCounts {
    /// All uploads that are remembered.
    pub uploads: usize,
    /// Those that were executed, and are remembered without their bytes.
    pub executed: usize,
    /// The memory that the records of all uploads take, in bytes.
    pub record_bytes: u64,
}

impl State {
    /// The entry from which the forward of this upload is restored.
    pub(super) fn forward_entry(&self, id: UploadId) -> Option<Entry> {
        match self.forward {
            Forward::UnderWay { is_recorded: true, .. } => Some(Entry::ForwardBegun(id)),
            Forward::NotBegun | Forward::Undelivered | Forward::UnderWay { is_recorded: false, .. } => None,
            Forward::Ended { outcome, protected_until_secs } => Some(Entry::ForwardEnded {
                id,
                outcome,
                ended_secs: self.upload.updated_secs,
                protected_until_secs,
            }),
        }
    }

    /// Whether a repeat that arrives now must learn that the upload was executed.
    pub(super) fn is_protected(&self, now_secs: u64) -> bool {
        matches!(self.forward, Forward::Ended { protected_until_secs, .. } if protected_until_secs > now_secs)
    }
}

impl Uploads {
    /// How far an upload is; `None` if it is unknown.
    pub fn phase(&self, id: UploadId) -> Option<UploadPhase> {
        self.uploads.get(&id).map(State::phase)
    }

    /// The fingerprint of the content of an upload, if it is known.
    pub fn fingerprint(&self, id: UploadId) -> Option<Fingerprint> {
        self.uploads.get(&id)?.fingerprint
    }

    /// Records the fingerprint of the content of a complete upload.
    pub fn set_fingerprint(&mut self, id: UploadId, fingerprint: Fingerprint) {
        if let Some(state) = self.uploads.get_mut(&id).filter(|state| state.upload.is_complete) {
            state.fingerprint = Some(fingerprint);
        }
    }

    /// Begins the forward of an upload. `effect` is that of executing the upload twice. Only for a non-idempotent upload is
    /// the beginning recorded in the log: an upload with an idempotency key is executed once within the life of a process,
    /// so that a process that starts after a crash may forward it.
    ///
    /// # Errors
    /// The forward may not begin.
    pub fn begin_forward(&mut self, id: UploadId, effect: Effect) -> Result<BegunForward, ForwardRefusal> {
        let state = self.uploads.get_mut(&id).ok_or(ForwardRefusal::Unknown)?;
        match state.phase() {
            UploadPhase::Receiving => return Err(ForwardRefusal::Incomplete),
            UploadPhase::Forwarding => return Err(ForwardRefusal::UnderWay),
            UploadPhase::Executed(outcome) => return Err(ForwardRefusal::Executed(outcome)),
            UploadPhase::Complete => {}
        }
        let is_recorded = effect == Effect::NonIdempotent;
        self.last_forward += 1;
        let number = self.last_forward;
        state.forward = Forward::UnderWay { number, is_recorded };
        Ok(BegunForward {
            number,
            entry: is_recorded.then_some(Entry::ForwardBegun(id)),
            request_head: state.upload.request_head.clone(),
            length: state.upload.offset,
        })
    }

    /// Ends the forward of an upload, and returns what may happen next and the entry for the log. `effect` is the one with
    /// which it began. An executed upload is remembered for `protected_secs` at least. Returns `None` if this forward has
    /// ended already, or the upload was removed in the meantime.
    pub fn end_forward(
        &mut self,
        id: UploadId,
        number: u64,
        effect: Effect,
        end: ForwardEnd,
        now_secs: u64,
        protected_secs: u64,
    ) -> Option<(AfterForward, Option<Entry>)> {
        let forward = self.uploads.get(&id)?.forward;
        if !matches!(forward, Forward::UnderWay { number: current, .. } if current == number) {
            return None;
        }
        let after = end.outcome(effect);
        let entry = match after {
            AfterForward::MayRunAgain => self.reset_forward(id, Forward::NotBegun)?,
            AfterForward::AwaitsDelivery => self.reset_forward(id, Forward::Undelivered)?,
            AfterForward::Executed(outcome) => {
                Some(self.record_outcome(id, outcome, now_secs, protected_secs)?)
            }
            AfterForward::Removed => Some(self.remove(id)?),
        };
        Some((after, entry))
    }

    fn reset_forward(&mut self, id: UploadId, forward: Forward) -> Option<Option<Entry>> {
        let before = self.update(id, |state| std::mem::replace(&mut state.forward, forward))?;
        Some(matches!(before, Forward::UnderWay { is_recorded: true, .. }).then_some(Entry::ForwardReset(id)))
    }

    /// Records that a client has got the response to the execution of an upload that is kept with its bytes: by an earlier
    /// forward, or by another upload with the same idempotency key. Returns the entry for the log if the bytes are no longer
    /// needed.
    pub fn response_delivered(
        &mut self,
        id: UploadId,
        effect: Effect,
        now_secs: u64,
        protected_secs: u64,
    ) -> Option<Entry> {
        let state = self.uploads.get(&id).filter(|state| state.phase() == UploadPhase::Complete)?;
        match effect {
            Effect::Idempotent if state.forward == Forward::Undelivered => self.remove(id),
            Effect::Idempotent => None,
            _ => self.record_outcome(id, ForwardOutcome::Answered, now_secs, protected_secs),
        }
    }

    fn record_outcome(
        &mut self,
        id: UploadId,
        outcome: ForwardOutcome,
        ended_secs: u64,
        protected_secs: u64,
    ) -> Option<Entry> {
        let protected_until_secs = ended_secs.saturating_add(protected_secs);
        let entry = Entry::ForwardEnded { id, outcome, ended_secs, protected_until_secs };
        self.replay_forward(entry.clone());
        self.get(id).map(|_| entry)
    }

    pub(super) fn replay_forward(&mut self, entry: Entry) {
        match entry {
            Entry::ForwardBegun(id) => {
                self.update(id, |state| state.forward = Forward::UnderWay { number: 0, is_recorded: true });
            }
            Entry::ForwardReset(id) => {
                self.update(id, |state| state.forward = Forward::NotBegun);
            }
            Entry::ForwardEnded { id, outcome, ended_secs, protected_until_secs } => {
                self.update(id, |state| {
                    state.upload.updated_secs = ended_secs;
                    state.forward = Forward::Ended { outcome, protected_until_secs };
                });
            }
            Entry::Created(..) | Entry::Advanced { .. } | Entry::Removed(_) => {}
        }
    }

    /// Ends the forwards that were under way when the process that began them ended: their outcome is unknown. They are
    /// remembered for the expiry time. Returns the uploads.
    pub fn end_interrupted_forwards(&mut self, now_secs: u64) -> Vec<UploadId> {
        let protected_secs = self.limits.expiry_secs;
        let is_interrupted =
            |(id, state): (&UploadId, &State)| (state.phase() == UploadPhase::Forwarding).then_some(*id);
        let interrupted: Vec<UploadId> = self.uploads.iter().filter_map(is_interrupted).collect();
        for id in &interrupted {
            self.record_outcome(*id, ForwardOutcome::Unknown, now_secs, protected_secs);
        }
        interrupted
    }

    /// At most `count` executed uploads that no longer have to be remembered, the oldest first.
    pub fn evictable(&self, now_secs: u64, count: usize) -> Vec<UploadId> {
        let is_evictable = |state: &State| {
            matches!(state.phase(), UploadPhase::Executed(_)) && !state.is_protected(now_secs)
        };
        let evictable = self.uploads.iter().filter(|(_, state)| is_evictable(state));
        let mut by_age: Vec<(u64, UploadId)> =
            evictable.map(|(id, state)| (state.upload.updated_secs, *id)).collect();
        by_age.sort_unstable();
        by_age.into_iter().take(count).map(|(_, id)| id).collect()
    }

    /// The memory that the records of all uploads take, in bytes.
    pub fn record_bytes(&self) -> u64 {
        self.record_bytes
    }

    /// How many uploads there are, and how many of them were executed.
    pub fn counts(&self) -> UploadCounts {
        let is_executed = |state: &&State| matches!(state.phase(), UploadPhase::Executed(_));
        let executed = self.uploads.values().filter(is_executed).count();
        UploadCounts { uploads: self.uploads.len(), executed, record_bytes: self.record_bytes }
    }
}
