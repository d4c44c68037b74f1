//! Recognizes duplicate requests by their idempotency keys, and retains results for them.
//!
//! A request is a duplicate of an earlier one if tenant, idempotency key and content are equal. Requests of different
//! tenants never are. A request of the same tenant with the same key but other content is a conflict: it is not run and
//! does not get the earlier request's result. This protects against keys that are copied, guessed or used twice by
//! mistake. The cost is that a client whose retries differ in their bodies sees these retries fail; nothing is executed
//! twice.
//!
//! A frontend that submits a request before it has received the content reports the fingerprint later. Until then a
//! request with a known key waits: it is not run, and it gets the result only once its content is known to be equal.

use crate::identity::{ContentFingerprint, Fingerprint, IdempotencyKey, RequestIdentity};
use lynxtally::{Duplicate, Instant, RequestId, Span};
use std::collections::BTreeMap;
use std::fmt;

/// The idempotency key of a request is in use by an earlier request with other content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyConflict;

impl fmt::Display for KeyConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the idempotency key belongs to another request")
    }
}

impl std::error::Error for KeyConflict {}

/// The response to a duplicate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// The result of the first run.
    Result(Vec<u8>),
    /// The duplicate fails, because there is no result that it may get.
    WithoutResult,
    /// Nothing was executed for the first request. The duplicate may be sent again.
    NotExecuted,
    /// The duplicate has other content than the first request with its key.
    KeyConflict,
}

/// A duplicate that is to be responded to now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledDuplicate {
    /// The duplicate.
    pub request: RequestId,
    /// The response to it.
    pub outcome: DuplicateOutcome,
}

/// The state of the first request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FirstRun {
    Open,
    Completed(Vec<u8>),
    /// The run ended without a result, or its result did not fit in the memory for retained results.
    WithoutResult,
}

/// A duplicate that waits for the result of the first run, or for its own content to be received.
struct WaitingDuplicate {
    request: RequestId,
    content: ContentFingerprint,
}

struct Entry {
    /// The first request with this key, or the latest duplicate for which [`Deduplication::retain_key`] was called.
    request: RequestId,
    content: ContentFingerprint,
    /// Whether the scheduler has released the request's id.
    released: bool,
    /// Until when the key is retained; none if the scheduler has not asked for it.
    retained_until: Option<Instant>,
    first_run: FirstRun,
    waiting: Vec<WaitingDuplicate>,
    /// Whether the tenant has already been charged for a response to this key.
    charged: bool,
}

impl Entry {
    fn new(request: RequestId, content: ContentFingerprint) -> Self {
        Self {
            request,
            content,
            released: false,
            retained_until: None,
            first_run: FirstRun::Open,
            waiting: Vec::new(),
            charged: false,
        }
    }

    /// Whether a request with the same key that arrived at `arrived_at` is compared with this entry.
    fn applies_to(&self, arrived_at: Instant) -> bool {
        !self.released || self.retained_until.is_some_and(|until| until > arrived_at)
    }

    /// Whether the entry is no longer needed, because every duplicate that arrived while the key was retained has been
    /// read and responded to: a request is read at most `max_receive_delay` after it arrived on this machine.
    fn is_expired(&self, now: Instant, max_receive_delay: Span) -> bool {
        let is_past = self.retained_until.is_none_or(|until| until + max_receive_delay <= now);
        self.released && is_past && self.waiting.is_empty()
    }

    /// How a duplicate with this content is responded to; none while the first run or the content is awaited.
    fn outcome(&self, content: ContentFingerprint) -> Option<DuplicateOutcome> {
        if self.content.differs_from(content) {
            return Some(DuplicateOutcome::KeyConflict);
        }
        match (&self.first_run, self.content, content) {
            (FirstRun::Open, ..) => None,
            (FirstRun::Completed(_), ContentFingerprint::Known(_), ContentFingerprint::Pending) => None,
            (FirstRun::Completed(result), ContentFingerprint::Known(_), ContentFingerprint::Known(_)) => {
                Some(DuplicateOutcome::Result(result.clone()))
            }
            // Whether the contents are equal will never be known.
            (FirstRun::Completed(_), ..) | (FirstRun::WithoutResult, ..) => {
                Some(DuplicateOutcome::WithoutResult)
            }
        }
    }

    /// Removes and returns the waiting duplicates that can be responded to now.
    fn take_settled(&mut self) -> Vec<SettledDuplicate> {
        let mut settled = Vec::new();
        for duplicate in std::mem::take(&mut self.waiting) {
            match self.outcome(duplicate.content) {
                Some(outcome) => settled.push(SettledDuplicate { request: duplicate.request, outcome }),
                None => self.waiting.push(duplicate),
            }
        }
        settled
    }
}

/// The known idempotency keys and their retained results.
pub struct Deduplication {
    entries: BTreeMap<IdempotencyKey, Entry>,
    result_bytes: usize,
    max_result_bytes: usize,
    key_bytes: usize,
    max_key_bytes: usize,
    max_receive_delay: Span,
}

/// What a key takes in memory besides its text: the entry, and its place in the table.
const KEY_OVERHEAD_BYTES: usize = 512;

/// About how much memory a key takes.
fn key_bytes(key: &IdempotencyKey) -> usize {
    KEY_OVERHEAD_BYTES + key.text_bytes()
}

impl Deduplication {
    /// Creates an empty table. Retained results take at most `max_result_bytes` bytes in total.
    pub fn new(max_result_bytes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            result_bytes: 0,
            max_result_bytes,
            key_bytes: 0,
            max_key_bytes: usize::MAX,
            max_receive_delay: Span::ZERO,
        }
    }

    /// Sets the longest time that a request can wait on this machine before it is read. A key is remembered for this long
    /// after it expires, for duplicates that arrived before.
    pub fn set_max_receive_delay(&mut self, max_receive_delay: Span) {
        self.max_receive_delay = max_receive_delay;
    }

    /// Sets how many bytes of memory keys may take.
    pub fn set_max_key_bytes(&mut self, max_key_bytes: usize) {
        self.max_key_bytes = max_key_bytes;
    }

    /// Whether a request with this identity that arrived at `arrived_at` would duplicate an earlier one, or conflict with it.
    pub fn is_known(&self, arrived_at: Instant, identity: &RequestIdentity) -> bool {
        self.entries.get(identity.key()).is_some_and(|entry| entry.applies_to(arrived_at))
    }

    /// Whether this open request is the first with its key.
    pub fn is_first(&self, key: &IdempotencyKey, request: RequestId) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.request == request && !entry.released)
    }

    /// Whether a request with this identity can be registered. A key that is remembered already always can.
    pub fn has_room_for(&self, identity: &RequestIdentity) -> bool {
        let key = identity.key();
        self.key_bytes + key_bytes(key) <= self.max_key_bytes || self.entries.contains_key(key)
    }

    /// Registers a request and returns which earlier request it duplicates. A request that duplicates none becomes the
    /// first with its key. `arrived_at` is when the request reached this machine, which may be long before it was read.
    ///
    /// # Errors
    /// The key is in use by a request with other content.
    pub fn register(
        &mut self,
        arrived_at: Instant,
        identity: &RequestIdentity,
        request: RequestId,
    ) -> Result<Duplicate, KeyConflict> {
        let (key, content) = (identity.key(), identity.content());
        match self.entries.get(key).filter(|entry| entry.applies_to(arrived_at)) {
            Some(entry) if entry.content.differs_from(content) => Err(KeyConflict),
            Some(entry) if entry.released => Ok(Duplicate::OfReleased),
            Some(entry) => Ok(Duplicate::Of(entry.request)),
            None => {
                self.remove(key);
                self.key_bytes += key_bytes(key);
                self.entries.insert(key.clone(), Entry::new(request, content));
                Ok(Duplicate::No)
            }
        }
    }

    /// Retains a key for `duration` from now, and makes `request` the one that later duplicates refer to.
    pub fn retain_key(
        &mut self,
        now: Instant,
        identity: &RequestIdentity,
        request: RequestId,
        duration: Span,
    ) {
        if let Some(entry) = self.entries.get_mut(identity.key()) {
            entry.retained_until = Some(now + duration);
            entry.released = false;
            if entry.request != request {
                entry.request = request;
                entry.content = identity.content();
            }
        }
    }

    /// Records that the content of a request has been received. Returns the duplicates that can be responded to now.
    pub fn content_received(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> Vec<SettledDuplicate> {
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let content = ContentFingerprint::Known(fingerprint);
        // A released id may have been assigned to a duplicate of the request that had it before.
        if entry.request == request && !entry.released {
            entry.content = content;
        }
        for duplicate in entry.waiting.iter_mut().filter(|duplicate| duplicate.request == request) {
            duplicate.content = content;
        }
        entry.take_settled()
    }

    /// Forgets a key, if `request` is the one that holds it, so that the next request with this key runs. Returns the
    /// duplicates that waited; nothing was executed for them.
    pub fn release_key(&mut self, key: &IdempotencyKey, request: RequestId) -> Vec<SettledDuplicate> {
        // A released id may have been assigned to a duplicate of the request that had it before.
        if self.entries.get(key).is_some_and(|entry| entry.request == request && !entry.released) {
            return self.remove(key);
        }
        Vec::new()
    }

    /// Forgets a key whose first run has ended, so that the next request with this key runs. Duplicates that wait to be
    /// compared keep the key in use.
    pub fn forget_result(&mut self, key: &IdempotencyKey) {
        let has_ended = |entry: &Entry| entry.first_run != FirstRun::Open && entry.waiting.is_empty();
        if self.entries.get(key).is_some_and(has_ended) {
            self.remove(key);
        }
    }

    /// Makes a duplicate share the result of the first run. Returns the duplicate if it can be responded to now; otherwise
    /// it waits until the first run has ended and its own content has been received.
    pub fn coalesce(&mut self, identity: &RequestIdentity, request: RequestId) -> Option<SettledDuplicate> {
        let without_result = SettledDuplicate { request, outcome: DuplicateOutcome::WithoutResult };
        let Some(entry) = self.entries.get_mut(identity.key()) else { return Some(without_result) };
        if entry.first_run == FirstRun::Open && entry.request == request {
            return Some(without_result);
        }
        let content = identity.content();
        let outcome = entry.outcome(content);
        if outcome.is_none() {
            entry.waiting.push(WaitingDuplicate { request, content });
        }
        outcome.map(|outcome| SettledDuplicate { request, outcome })
    }

    /// Records that a request's run ended, and returns the duplicates that waited for it. A result that does not fit in the
    /// memory for retained results is not retained. No older result is evicted for it, and later duplicates fail instead
    /// of being executed again.
    pub fn run_ended(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        result: Option<&[u8]>,
    ) -> Vec<SettledDuplicate> {
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        if entry.request != request || entry.first_run != FirstRun::Open {
            return Vec::new();
        }
        let Some(result) = result else {
            entry.first_run = FirstRun::WithoutResult;
            return entry.take_settled();
        };
        entry.first_run = FirstRun::Completed(result.to_vec());
        let mut settled = entry.take_settled();
        if self.result_bytes + result.len() <= self.max_result_bytes {
            self.result_bytes += result.len();
        } else {
            entry.first_run = FirstRun::WithoutResult;
            settled.extend(entry.take_settled());
        }
        settled
    }

    /// Records that the scheduler has released a request's id. Returns the duplicates that waited for its result; they fail.
    pub fn release_request(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> Vec<SettledDuplicate> {
        let settled = self.run_ended(key, request, None);
        let Some(entry) = self.entries.get_mut(key) else { return settled };
        // The released id may soon be assigned to another request, which must not get the response to this one.
        entry.waiting.retain(|duplicate| duplicate.request != request);
        if entry.request == request {
            entry.released = true;
            if entry.is_expired(now, self.max_receive_delay) {
                self.remove(key);
            }
        }
        settled
    }

    /// Marks a key as charged. Returns true if its tenant is to be charged: the first time, or if the key is unknown.
    pub fn charge_once(&mut self, key: &IdempotencyKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        let first = !entry.charged;
        entry.charged = true;
        first
    }

    /// Forgets the expired keys.
    pub fn remove_expired(&mut self, now: Instant) {
        let max_receive_delay = self.max_receive_delay;
        let expired = |entry: &Entry| entry.is_expired(now, max_receive_delay);
        let entries = self.entries.iter().filter(|(_, entry)| expired(entry));
        let keys: Vec<IdempotencyKey> = entries.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &IdempotencyKey) -> Vec<SettledDuplicate> {
        let Some(entry) = self.entries.remove(key) else { return Vec::new() };
        self.key_bytes -= key_bytes(key);
        if let FirstRun::Completed(result) = &entry.first_run {
            self.result_bytes -= result.len();
        }
        let settle = |duplicate: WaitingDuplicate| SettledDuplicate {
            request: duplicate.request,
            outcome: DuplicateOutcome::NotExecuted,
        };
        entry.waiting.into_iter().map(settle).collect()
    }
}
