//! Members: the process that currently uses each node name, identified by its incarnation.
//!
//! Safety rule (fencing): an incarnation is the log index of a process's join request, so no two processes share one,
//! and later ones are larger. The first request under a new incarnation takes the name. The process that had the name
//! before is fenced: its requests are rejected as [`Rejection::Replaced`] and it is granted nothing more. Its leases
//! stay outstanding until they expire, because the process may still be running.

mod joining;

use crate::schemas::SchemaReader;
use crate::serde_instant;
use joining::JoiningProcesses;
use lynxtally::{Instant, Span};
use lynxtally_messages::{AppliedDocument, NodeRequest, NodeResponse, Rejection};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A suspected member that has sent no request for longer than this is removed.
const SILENT_MEMBER_TIMEOUT: Span = Span::from_millis(3_600_000);

/// A process that has sent a request under its incarnation.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Member {
    /// The node's name.
    pub name: String,
    /// The version of the process's program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// The versions of the route schema that the process can read.
    #[serde(rename = "schemas")]
    pub schema_versions: Vec<u32>,
    /// When the member's last request was applied, by the clock of the replicated state.
    #[serde(rename = "heard", with = "serde_instant")]
    pub last_heard: Instant,
    /// The route document that the process has applied; `None` if it does not read route documents.
    #[serde(rename = "applied")]
    pub applied_document: Option<AppliedDocument>,
    /// Whether the leader suspects that the process has failed. The leases of a suspected member stay outstanding; only
    /// its demand is left out when budgets are divided.
    #[serde(rename = "suspect")]
    pub suspected: bool,
    #[serde(rename = "last")]
    last_applied: LastApplied,
}

/// The last applied request of a member with its response, which a later duplicate of the request gets again. It is
/// serialized as a pair.
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

/// All members. A process stays a member until it ends its session, an operator ends its incarnation, another process
/// takes its name, or it has been suspected and silent for an hour. Unless the end of its session or incarnation freed
/// its leases, they stay outstanding in the budgets until they expire.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Members {
    #[serde(rename = "all")]
    by_incarnation: BTreeMap<u64, Member>,
    by_name: BTreeMap<String, u64>,
    #[serde(rename = "asking")]
    joining: JoiningProcesses,
    /// The largest incarnation assigned so far.
    #[serde(rename = "given")]
    last_incarnation: u64,
}

/// How a received request is to be handled.
pub(crate) enum Delivery {
    /// The request is a duplicate of the one applied last; contains that request's response.
    Duplicate(NodeResponse),
    /// The request can't be applied.
    Rejected(Rejection),
    /// The request is new and has to be applied.
    New {
        /// The incarnation whose name the sender takes with its first request, if there is one.
        replaced: Option<u64>,
    },
}

impl Members {
    /// Assigns an incarnation to a process that asks to join; `None` if too many processes are joining.
    pub fn join(&mut self, now: Instant, index: u64, request: &NodeRequest) -> Option<u64> {
        let incarnation = self.joining.assign_incarnation(now, index, &request.name, request.sequence)?;
        self.last_incarnation = self.last_incarnation.max(incarnation);
        Some(incarnation)
    }

    /// Decides how to handle a request that was sent under an incarnation.
    pub fn receive(&mut self, now: Instant, request: &NodeRequest) -> Delivery {
        match self.by_incarnation.get_mut(&request.incarnation) {
            Some(member) => member.receive(now, request),
            None => self.receive_first(now, request),
        }
    }

    /// Handles a request from an incarnation that is not a member: its first request makes it one.
    fn receive_first(&mut self, now: Instant, request: &NodeRequest) -> Delivery {
        if self.by_name.get(&request.name).is_some_and(|current| *current > request.incarnation) {
            return Delivery::Rejected(Rejection::Replaced);
        }
        if !self.joining.claim(request.incarnation, &request.name) {
            return Delivery::Rejected(Rejection::UnknownIncarnation);
        }
        self.by_incarnation.insert(request.incarnation, Member::new(now, request));
        let replaced = self.by_name.insert(request.name.clone(), request.incarnation);
        if let Some(former) = replaced {
            self.by_incarnation.remove(&former);
        }
        Delivery::New { replaced }
    }

    /// Records the response to a new request, for duplicates of the request.
    pub fn record_response(&mut self, request: &NodeRequest, response: NodeResponse) {
        if let Some(member) = self.by_incarnation.get_mut(&request.incarnation) {
            member.last_applied = LastApplied { sequence: request.sequence, response: Some(response) };
        }
    }

    /// Sets whether the leader suspects that a member has failed. Returns whether that changed.
    pub fn set_suspected(&mut self, incarnation: u64, suspected: bool) -> bool {
        let Some(member) = self.by_incarnation.get_mut(&incarnation) else { return false };
        std::mem::replace(&mut member.suspected, suspected) != suspected
    }

    /// Removes a member. Returns whether the incarnation was a member.
    pub fn remove(&mut self, incarnation: u64) -> bool {
        let Some(member) = self.by_incarnation.remove(&incarnation) else { return false };
        if self.by_name.get(&member.name) == Some(&incarnation) {
            self.by_name.remove(&member.name);
        }
        true
    }

    /// Removes the joining processes that never sent a first request, and the members that have been suspected and
    /// silent for longer than [`SILENT_MEMBER_TIMEOUT`].
    pub fn remove_silent(&mut self, now: Instant) {
        self.joining.expire(now);
        let is_silent = |member: &Member| member.suspected && now - member.last_heard > SILENT_MEMBER_TIMEOUT;
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

    /// The members that read route documents.
    pub fn schema_readers(&self) -> Vec<SchemaReader<'_>> {
        self.by_incarnation
            .values()
            .filter(|member| !member.schema_versions.is_empty())
            .map(|member| SchemaReader { name: &member.name, versions: &member.schema_versions })
            .collect()
    }

    /// All members by incarnation, in ascending order.
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
