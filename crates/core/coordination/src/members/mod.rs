//! Members: the process that speaks under each name, by its incarnation.
//!
//! Safety rule, fencing. An incarnation is the log index at which it was asked for, so no two processes ever share
//! one, and later ones are larger. The first request under a new incarnation takes the name; whoever had the name
//! before is fenced off: each of its requests is rejected as [`Rejection::Replaced`] and it gets nothing more. What it
//! holds goes on counting until it is surely over, as it may still be running.

mod joining;

use crate::schemas::SchemaReader;
use crate::serde_instant;
use joining::JoiningProcesses;
use lynxtally::{Instant, Span};
use lynxtally_messages::{AppliedDocument, NodeRequest, NodeResponse, Rejection};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A member that is suspected and was silent for longer is not listed any more.
const FORGET_SILENT_AFTER: Span = Span::from_millis(3_600_000);

/// A process that spoke under its incarnation.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its program's version.
    #[serde(rename = "program")]
    pub program_version: String,
    /// The versions of route schemas that it reads.
    #[serde(rename = "schemas")]
    pub schema_versions: Vec<u32>,
    /// When its last request was applied, by the state's clock.
    #[serde(rename = "heard", with = "serde_instant")]
    pub last_heard: Instant,
    /// The route document that it applied.
    #[serde(rename = "applied")]
    pub applied_document: Option<AppliedDocument>,
    /// Whether the leader hears nothing of it. A suspect's leases go on counting: suspicion decides only whose demand
    /// counts.
    #[serde(rename = "suspect")]
    pub suspected: bool,
    #[serde(rename = "last")]
    last_applied: LastApplied,
}

/// The last request that was applied, with its response, for a copy of it that comes later. It is stored as a pair.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(from = "(u64, Option<NodeResponse>)", into = "(u64, Option<NodeResponse>)")]
struct LastApplied {
    sequence: u64,
    response: Option<NodeResponse>,
}

impl From<(u64, Option<NodeResponse>)> for LastApplied {
    fn from((sequence, response): (u64, Option<NodeResponse>)) -> Self {
        Self { sequence, response }
    }
}

impl From<LastApplied> for (u64, Option<NodeResponse>) {
    fn from(last: LastApplied) -> Self {
        (last.sequence, last.response)
    }
}

/// The members. A process is one until it ends its session, another takes its name, or it was suspected and silent
/// for an hour. What it held counts on in the budgets until it is surely over.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Members {
    #[serde(rename = "all")]
    by_incarnation: BTreeMap<u64, Member>,
    by_name: BTreeMap<String, u64>,
    #[serde(rename = "asking")]
    joining: JoiningProcesses,
    /// Every incarnation up to this was given out.
    #[serde(rename = "given")]
    last_incarnation: u64,
}

/// What a request turned out to be.
pub(crate) enum Delivery {
    /// A copy of the one that was applied last, with the response that it had.
    Duplicate(NodeResponse),
    /// One that can't be applied.
    Rejected(Rejection),
    /// A new one.
    New {
        /// The incarnation that the sender takes the name from, with its first request.
        replaced: Option<u64>,
    },
}

impl Members {
    /// A process asks for an incarnation; none where too many are joining.
    pub fn join(&mut self, now: Instant, index: u64, request: &NodeRequest) -> Option<u64> {
        let incarnation = self.joining.ask(now, index, &request.name, request.sequence)?;
        self.last_incarnation = self.last_incarnation.max(incarnation);
        Some(incarnation)
    }

    /// A process speaks under its incarnation.
    pub fn receive(&mut self, now: Instant, request: &NodeRequest) -> Delivery {
        match self.by_incarnation.get_mut(&request.incarnation) {
            Some(member) => member.receive(now, request),
            None => self.receive_first(now, request),
        }
    }

    /// The first request under an incarnation, or one under an incarnation that is no member.
    fn receive_first(&mut self, now: Instant, request: &NodeRequest) -> Delivery {
        if self.by_name.get(&request.name).is_some_and(|current| *current > request.incarnation) {
            return Delivery::Rejected(Rejection::Replaced);
        }
        if !self.joining.take(request.incarnation, &request.name) {
            return Delivery::Rejected(Rejection::UnknownIncarnation);
        }
        self.by_incarnation.insert(request.incarnation, Member::new(now, request));
        let replaced = self.by_name.insert(request.name.clone(), request.incarnation);
        if let Some(former) = replaced {
            self.by_incarnation.remove(&former);
        }
        Delivery::New { replaced }
    }

    /// Keeps the response to a new request.
    pub fn remember_response(&mut self, request: &NodeRequest, response: NodeResponse) {
        if let Some(member) = self.by_incarnation.get_mut(&request.incarnation) {
            member.last_applied = LastApplied { sequence: request.sequence, response: Some(response) };
        }
    }

    /// The leader hears nothing of a member, or hears it again; whether that changes anything.
    pub fn set_suspected(&mut self, incarnation: u64, suspected: bool) -> bool {
        let Some(member) = self.by_incarnation.get_mut(&incarnation) else { return false };
        std::mem::replace(&mut member.suspected, suspected) != suspected
    }

    /// A member's session ends; whether it was a member.
    pub fn remove(&mut self, incarnation: u64) -> bool {
        let Some(member) = self.by_incarnation.remove(&incarnation) else { return false };
        if self.by_name.get(&member.name) == Some(&incarnation) {
            self.by_name.remove(&member.name);
        }
        true
    }

    /// Forgets those that asked to join and never spoke, and those that were silent for very long.
    pub fn forget_silent(&mut self, now: Instant) {
        self.joining.expire(now);
        let is_silent = |member: &Member| member.suspected && now - member.last_heard > FORGET_SILENT_AFTER;
        let silent: Vec<u64> = self
            .by_incarnation
            .iter()
            .filter(|(_, member)| is_silent(member))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in silent {
            self.remove(incarnation);
        }
    }

    /// Those that read route documents.
    pub fn schema_readers(&self) -> Vec<SchemaReader<'_>> {
        self.by_incarnation
            .values()
            .filter(|member| !member.schema_versions.is_empty())
            .map(|member| SchemaReader { name: &member.name, versions: &member.schema_versions })
            .collect()
    }

    /// All members in the order of their incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Member)> {
        self.by_incarnation.iter().map(|(incarnation, member)| (*incarnation, member))
    }
}

impl Member {
    fn new(now: Instant, request: &NodeRequest) -> Self {
        let mut member = Self {
            name: request.name.clone(),
            program_version: String::new(),
            schema_versions: Vec::new(),
            last_heard: now,
            applied_document: None,
            suspected: false,
            last_applied: LastApplied::default(),
        };
        member.update(now, request);
        member
    }

    fn receive(&mut self, now: Instant, request: &NodeRequest) -> Delivery {
        match (request.sequence.cmp(&self.last_applied.sequence), &self.last_applied.response) {
            (Ordering::Equal, Some(response)) => Delivery::Duplicate(response.clone()),
            (Ordering::Greater, _) => {
                self.update(now, request);
                Delivery::New { replaced: None }
            }
            _ => Delivery::Rejected(Rejection::OutOfOrder),
        }
    }

    fn update(&mut self, now: Instant, request: &NodeRequest) {
        self.last_heard = now;
        self.suspected = false;
        self.program_version.clone_from(&request.program_version);
        self.schema_versions.clone_from(&request.schema_versions);
        self.applied_document.clone_from(&request.applied_document);
    }
}
