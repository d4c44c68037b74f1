//! Who is there: lives of processes under names.

mod asking;

use crate::schemas::Reader;
use crate::time::micros;
use asking::Asking;
use lynxtally::{Instant, Span};
use lynxtally_messages::{AppliedDocument, NodeRequest, NodeResponse, Rejection};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process that spoke, and how it stands.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// Its program's version.
    pub program: String,
    /// The versions of schemas that it reads.
    pub schemas: Vec<u32>,
    /// When it was last heard of, in the register's time.
    #[serde(with = "micros")]
    pub heard: Instant,
    /// The route document that it has applied.
    pub applied: Option<AppliedDocument>,
    /// Whether the leader hears nothing of it.
    pub suspect: bool,
    /// The last message that was applied, and what was said to it.
    last: (u64, Option<NodeResponse>),
}

/// The processes that are there. One is there until it says that it is over, another takes its name, or it has
/// been silent for so long that nothing it held can be in use.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Members {
    all: BTreeMap<u64, Standing>,
    by_name: BTreeMap<String, u64>,
    asking: Asking,
    /// Every incarnation up to this was given out.
    given: u64,
}

/// What a message is.
pub(crate) enum Heard {
    /// One that was applied before, with what was said then.
    Again(NodeResponse),
    /// One that can't be applied.
    Refused(Rejection),
    /// A new one; perhaps the first of a life that takes the name from another.
    New {
        /// The one that had it.
        replaced: Option<u64>,
    },
}

/// Silent and suspect for so long, a process is not listed any more.
const FORGET: Span = Span::from_millis(3_600_000);

impl Members {
    /// A process asks for an incarnation; none where too many ask at once.
    pub fn ask(&mut self, now: Instant, number: u64, say: &NodeRequest) -> Option<u64> {
        let incarnation = self.asking.ask(now, number, &say.name, say.sequence)?;
        self.given = self.given.max(incarnation);
        Some(incarnation)
    }

    /// A process speaks under its incarnation.
    pub fn hear(&mut self, now: Instant, say: &NodeRequest) -> Heard {
        if let Some(member) = self.all.get_mut(&say.incarnation) {
            let (number, reply) = &member.last;
            return match (say.sequence.cmp(number), reply) {
                (std::cmp::Ordering::Equal, Some(reply)) => Heard::Again(reply.clone()),
                (std::cmp::Ordering::Greater, _) => {
                    member.take(now, say);
                    Heard::New { replaced: None }
                }
                _ => Heard::Refused(Rejection::OutOfOrder),
            };
        }
        match self.by_name.get(&say.name) {
            Some(own) if *own > say.incarnation => return Heard::Refused(Rejection::Replaced),
            _ if !self.asking.take(say.incarnation, &say.name) => {
                return Heard::Refused(Rejection::UnknownIncarnation)
            }
            _ => {}
        }
        let mut member = Standing {
            name: say.name.clone(),
            program: String::new(),
            schemas: Vec::new(),
            heard: now,
            applied: None,
            suspect: false,
            last: (0, None),
        };
        member.take(now, say);
        self.all.insert(say.incarnation, member);
        let replaced = self.by_name.insert(say.name.clone(), say.incarnation);
        if let Some(former) = replaced {
            self.all.remove(&former);
        }
        Heard::New { replaced }
    }

    /// What was said to a new message.
    pub fn replied(&mut self, say: &NodeRequest, reply: NodeResponse) {
        if let Some(member) = self.all.get_mut(&say.incarnation) {
            member.last = (say.sequence, Some(reply));
        }
    }

    /// The leader hears nothing of a process, or hears it again; false where nothing changes.
    pub fn suspect(&mut self, incarnation: u64, suspect: bool) -> bool {
        let Some(member) = self.all.get_mut(&incarnation) else { return false };
        std::mem::replace(&mut member.suspect, suspect) != suspect
    }

    /// A process is over; false where it was not there.
    pub fn over(&mut self, incarnation: u64) -> bool {
        let Some(member) = self.all.remove(&incarnation) else { return false };
        if self.by_name.get(&member.name) == Some(&incarnation) {
            self.by_name.remove(&member.name);
        }
        true
    }

    /// Those who asked and never spoke, and those silent for very long, are forgotten.
    pub fn tick(&mut self, now: Instant) {
        self.asking.tick(now);
        let silent = |member: &Standing| member.suspect && now - member.heard > FORGET;
        let gone: Vec<u64> = self.all.iter().filter(|(_, m)| silent(m)).map(|(at, _)| *at).collect();
        gone.into_iter().for_each(|incarnation| {
            self.over(incarnation);
        });
    }

    /// Those who read route documents.
    pub fn readers(&self) -> Vec<Reader<'_>> {
        let own = |member: &'_ Standing| !member.schemas.is_empty();
        let all = self.all.values().filter(|member| own(member));
        all.map(|member| Reader { name: &member.name, versions: &member.schemas }).collect()
    }

    pub fn all(&self) -> impl Iterator<Item = (u64, &Standing)> {
        self.all.iter().map(|(incarnation, member)| (*incarnation, member))
    }
}

impl Standing {
    fn take(&mut self, now: Instant, say: &NodeRequest) {
        (self.heard, self.suspect) = (now, false);
        self.program.clone_from(&say.program_version);
        self.schemas.clone_from(&say.schema_versions);
        self.applied.clone_from(&say.applied_document);
    }
}
