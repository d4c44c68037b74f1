//! Which tasks repeat one another, and the results kept for them: what the module's `Keep`, `Forget` and
//! `Reuse` need.
//!
//! A task is the same as an earlier one where key and fingerprint are. One that comes under the key of another with
//! a fingerprint of its own is in conflict with it: it is neither run nor given the other's result. Catches marks that
//! were copied or guessed and such as a client uses twice; harms a client whose further tries differ in their bodies:
//! they fail, and nothing runs twice.

use lynxtally::{Duplicate, Instant, RequestId, Span};
use std::collections::BTreeMap;

/// By what repeats are known: the stage's index, and the mark or subject.
pub type Key = (usize, String);

/// By what tasks under one key are told apart, such as a digest of their bodies. All alike where a front gives none.
pub type Fingerprint = [u8; 32];

/// A task came under the key of another, and is not the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict;

/// How far the first of a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum First {
    Open,
    Finished(Vec<u8>),
    /// It ended without a result, or there was no room to keep one.
    Without,
}

struct Entry {
    task: RequestId,
    fingerprint: Fingerprint,
    /// Whether the module has taken the task's index back.
    released: bool,
    until: Option<Instant>,
    first: First,
    /// Repeats that wait for the result.
    waiting: Vec<RequestId>,
    /// Whether an answer under this key was paid for.
    paid: bool,
}

impl Entry {
    /// Whether a task that came then is told of this one.
    fn known(&self, came: Instant) -> bool {
        !self.released || self.until.is_some_and(|until| until > came)
    }

    /// Whether nobody can be told of it any more: what came within its time may be read for so long after.
    fn over(&self, now: Instant, unread: Span) -> bool {
        self.released && self.until.is_none_or(|until| until + unread <= now)
    }
}

/// A repeat and the result it is answered with, if there is one.
pub type Settled = (RequestId, Option<Vec<u8>>);

/// The keys now known.
pub struct Repeats {
    entries: BTreeMap<Key, Entry>,
    bytes: usize,
    most: usize,
    /// How long a task may have lain unread at most.
    unread: Span,
}

impl Repeats {
    /// No keys yet; results take so many bytes at most.
    pub fn new(most: usize) -> Self {
        Self { entries: BTreeMap::new(), bytes: 0, most, unread: Span::ZERO }
    }

    /// Tasks may lie unread for so long at most: for so long after its time a key is still known to those that came
    /// within it.
    pub fn set_unread(&mut self, unread: Span) {
        self.unread = unread;
    }

    /// What a task that came to the machine then repeats, however late it is read. One that repeats nothing becomes
    /// the first of its key.
    pub fn arrive(
        &mut self,
        came: Instant,
        key: &Key,
        fingerprint: Fingerprint,
        task: RequestId,
    ) -> Result<Duplicate, Conflict> {
        match self.entries.get(key).filter(|entry| entry.known(came)) {
            Some(entry) if entry.fingerprint != fingerprint => Err(Conflict),
            Some(entry) if entry.released => Ok(Duplicate::OfReleased),
            Some(entry) => Ok(Duplicate::Of(entry.task)),
            None => {
                self.remove(key);
                let entry = Entry {
                    task,
                    fingerprint,
                    released: false,
                    until: None,
                    first: First::Open,
                    waiting: Vec::new(),
                    paid: false,
                };
                self.entries.insert(key.clone(), entry);
                Ok(Duplicate::No)
            }
        }
    }

    /// Keeps a task's key for so long; a newer repeat takes the entry over.
    pub fn keep(&mut self, now: Instant, key: &Key, task: RequestId, span: Span) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.until = Some(now + span);
            (entry.task, entry.released) = (task, false);
        }
    }

    /// Drops a task's key.
    pub fn forget(&mut self, key: &Key, task: RequestId) -> Vec<Settled> {
        if self.entries.get(key).is_some_and(|entry| entry.task == task) {
            return self.remove(key);
        }
        Vec::new()
    }

    /// A repeat is to be answered with the first's result: now, or when there is one.
    pub fn reuse(&mut self, key: &Key, task: RequestId) -> Option<Settled> {
        let Some(entry) = self.entries.get_mut(key) else { return Some((task, None)) };
        match &entry.first {
            First::Open if entry.task != task => {
                entry.waiting.push(task);
                None
            }
            First::Finished(result) => Some((task, Some(result.clone()))),
            _ => Some((task, None)),
        }
    }

    /// A task's run ended; the repeats that waited for it are settled.
    pub fn ended(&mut self, key: &Key, task: RequestId, result: Option<&[u8]>) -> Vec<Settled> {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.task == task && e.first == First::Open)
        else {
            return Vec::new();
        };
        entry.first = match result {
            Some(result) if self.bytes + result.len() <= self.most => {
                self.bytes += result.len();
                First::Finished(result.to_vec())
            }
            _ => First::Without,
        };
        let waiting = std::mem::take(&mut entry.waiting);
        waiting.into_iter().map(|repeat| (repeat, result.map(<[u8]>::to_vec))).collect()
    }

    /// The module took a task's index back: nothing more comes of it.
    pub fn release(&mut self, now: Instant, key: &Key, task: RequestId) -> Vec<Settled> {
        let settled = self.ended(key, task, None);
        // One that waited is over: its index may soon be another's.
        if let Some(entry) = self.entries.get_mut(key) {
            entry.waiting.retain(|repeat| *repeat != task);
        }
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.task == task) {
            entry.released = true;
            if entry.over(now, self.unread) {
                self.remove(key);
            }
        }
        settled
    }

    /// An answer under this key is to be paid for; false where one was before.
    pub fn pay(&mut self, key: &Key) -> bool {
        self.entries.get_mut(key).is_none_or(|entry| !std::mem::replace(&mut entry.paid, true))
    }

    /// Drops the keys whose time is over.
    pub fn sweep(&mut self, now: Instant) {
        let over = |entry: &Entry| entry.over(now, self.unread);
        let keys: Vec<Key> =
            self.entries.iter().filter(|(_, e)| over(e)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) -> Vec<Settled> {
        let Some(entry) = self.entries.remove(key) else { return Vec::new() };
        if let First::Finished(result) = &entry.first {
            self.bytes -= result.len();
        }
        entry.waiting.into_iter().map(|repeat| (repeat, None)).collect()
    }
}
