//! Which requests are duplicates of one another, and the results retained for them.
//!
//! A request is a duplicate of an earlier one where idempotency key and fingerprint are the same. One that comes under
//! the key of another with a fingerprint of its own conflicts with it: it is neither run nor given the other's result.
//! This catches keys that were copied or guessed and such as a client uses twice. It harms a client whose retries differ
//! in their bodies: they fail, and nothing runs twice.

use lynxtally::{Duplicate, Instant, RequestId, Span};
use std::collections::BTreeMap;
use std::fmt;

/// The key by which duplicates are recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The index of the request's class.
    pub class: usize,
    /// The caller's key or, for coalescable requests, what is read.
    pub value: String,
}

/// What tells requests under one key apart, such as a digest of their bodies. All alike where a frontend gives none.
pub type Fingerprint = [u8; 32];

/// A request came under the key of another, and is not the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyConflict;

impl fmt::Display for KeyConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the idempotency key belongs to another request")
    }
}

impl std::error::Error for KeyConflict {}

/// A duplicate that waits no longer for the first request's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledDuplicate {
    /// The duplicate.
    pub request: RequestId,
    /// The result it is responded to with; none where there is none, so that it fails.
    pub result: Option<Vec<u8>>,
}

/// How far the first request of a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FirstRun {
    Open,
    Completed(Vec<u8>),
    /// It ended without a result, or there was no room to retain one.
    WithoutResult,
}

struct Entry {
    /// The first request, or the newest duplicate that has taken the entry over.
    request: RequestId,
    fingerprint: Fingerprint,
    /// Whether the scheduler has released the request's id.
    released: bool,
    /// The key is retained until then, where the scheduler asked for it.
    retained_until: Option<Instant>,
    first_run: FirstRun,
    /// Duplicates that wait for the result.
    waiting: Vec<RequestId>,
    /// Whether a response under this key was charged for.
    charged: bool,
}

impl Entry {
    fn new(request: RequestId, fingerprint: Fingerprint) -> Self {
        Self {
            request,
            fingerprint,
            released: false,
            retained_until: None,
            first_run: FirstRun::Open,
            waiting: Vec::new(),
            charged: false,
        }
    }

    /// Whether a request that arrived then is a duplicate of this one.
    fn applies_to(&self, arrived_at: Instant) -> bool {
        !self.released || self.retained_until.is_some_and(|until| until > arrived_at)
    }

    /// Whether no duplicate can come any more: what arrived while the key was retained may be read this much later.
    fn is_expired(&self, now: Instant, max_receive_delay: Span) -> bool {
        self.released && self.retained_until.is_none_or(|until| until + max_receive_delay <= now)
    }
}

/// The keys now known, with their results.
pub struct Deduplication {
    entries: BTreeMap<IdempotencyKey, Entry>,
    result_bytes: usize,
    max_result_bytes: usize,
    max_receive_delay: Span,
}

impl Deduplication {
    /// Without keys; retained results take so many bytes at most.
    pub fn new(max_result_bytes: usize) -> Self {
        Self { entries: BTreeMap::new(), result_bytes: 0, max_result_bytes, max_receive_delay: Span::ZERO }
    }

    /// Requests may wait so long at most before they are read: for so long after its time a key is still known to those
    /// that arrived within it.
    pub fn set_max_receive_delay(&mut self, max_receive_delay: Span) {
        self.max_receive_delay = max_receive_delay;
    }

    /// Registers a request that arrived at the machine then, however late it is read, and tells what it duplicates. One
    /// that duplicates nothing becomes the first of its key.
    pub fn register(
        &mut self,
        arrived_at: Instant,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        request: RequestId,
    ) -> Result<Duplicate, KeyConflict> {
        match self.entries.get(key).filter(|entry| entry.applies_to(arrived_at)) {
            Some(entry) if entry.fingerprint != fingerprint => Err(KeyConflict),
            Some(entry) if entry.released => Ok(Duplicate::OfReleased),
            Some(entry) => Ok(Duplicate::Of(entry.request)),
            None => {
                self.remove(key);
                self.entries.insert(key.clone(), Entry::new(request, fingerprint));
                Ok(Duplicate::No)
            }
        }
    }

    /// Retains a request's key for so long; a newer duplicate takes the entry over.
    pub fn retain_key(&mut self, now: Instant, key: &IdempotencyKey, request: RequestId, duration: Span) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.retained_until = Some(now + duration);
            entry.request = request;
            entry.released = false;
        }
    }

    /// Drops a request's key: whoever comes under it next is the first.
    pub fn release_key(&mut self, key: &IdempotencyKey, request: RequestId) -> Vec<SettledDuplicate> {
        if self.entries.get(key).is_some_and(|entry| entry.request == request) {
            return self.remove(key);
        }
        Vec::new()
    }

    /// Has a duplicate responded to with the first run's result: now, or once there is one.
    pub fn coalesce(&mut self, key: &IdempotencyKey, request: RequestId) -> Option<SettledDuplicate> {
        let without_result = Some(SettledDuplicate { request, result: None });
        let Some(entry) = self.entries.get_mut(key) else { return without_result };
        match &entry.first_run {
            FirstRun::Open if entry.request != request => {
                entry.waiting.push(request);
                None
            }
            FirstRun::Completed(result) => Some(SettledDuplicate { request, result: Some(result.clone()) }),
            FirstRun::Open | FirstRun::WithoutResult => without_result,
        }
    }

    /// A request's run ended; returns the duplicates that waited for it. Where the result has no room among those that
    /// are retained it is not: nothing is evicted for it, and later duplicates fail rather than run again.
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
        entry.first_run = match result {
            Some(result) if self.result_bytes + result.len() <= self.max_result_bytes => {
                self.result_bytes += result.len();
                FirstRun::Completed(result.to_vec())
            }
            _ => FirstRun::WithoutResult,
        };
        let waiting = std::mem::take(&mut entry.waiting);
        let settle = |request| SettledDuplicate { request, result: result.map(<[u8]>::to_vec) };
        waiting.into_iter().map(settle).collect()
    }

    /// The scheduler released a request's id: nothing more comes of it.
    pub fn release_request(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> Vec<SettledDuplicate> {
        let settled = self.run_ended(key, request, None);
        let Some(entry) = self.entries.get_mut(key) else { return settled };
        // It waits no longer: its id may soon be another's, who would get a response that is not its own.
        entry.waiting.retain(|duplicate| *duplicate != request);
        if entry.request == request {
            entry.released = true;
            if entry.is_expired(now, self.max_receive_delay) {
                self.remove(key);
            }
        }
        settled
    }

    /// Marks this key as charged for; true the first time, and where the key is not known.
    pub fn charge_once(&mut self, key: &IdempotencyKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        let first = !entry.charged;
        entry.charged = true;
        first
    }

    /// Drops the keys whose time is over.
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
        if let FirstRun::Completed(result) = &entry.first_run {
            self.result_bytes -= result.len();
        }
        let settle = |request| SettledDuplicate { request, result: None };
        entry.waiting.into_iter().map(settle).collect()
    }
}
