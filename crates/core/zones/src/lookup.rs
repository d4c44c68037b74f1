//! What a version answers to a question: RFC 1034 section 4.3.2, wildcards by RFC 4592, DNAME by RFC 6672,
//! names that are not there by RFC 2308. All of an answer comes from one version.

use crate::name::{replace_suffix, LabelOffsets};
use crate::name_tree::Node;
use crate::record::{unpack, RecordSet};
use crate::record_type::RecordType;
use crate::zone::Zone;
use smallvec::SmallVec;
use std::borrow::Cow;

/// How many aliases one answer follows.
const MAX_ALIASES: usize = 16;
/// How many targets' addresses go along at most.
const MAX_TARGETS: usize = 16;

/// Records of one owner and type as they go out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSet<'a> {
    /// The owner, in wire form.
    pub owner: Cow<'a, [u8]>,
    /// The type.
    pub kind: RecordType,
    /// The time to live.
    pub ttl: u32,
    /// The records' data, packed as a [`RecordSet`] has it.
    pub packed: Cow<'a, [u8]>,
}

impl<'a> ResponseSet<'a> {
    fn of(owner: Cow<'a, [u8]>, set: &'a RecordSet) -> Self {
        Self { owner, kind: set.kind, ttl: set.ttl, packed: Cow::Borrowed(set.packed()) }
    }

    /// The data of each record.
    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        unpack(&self.packed)
    }
}

/// What became of a question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// There are records.
    #[default]
    Found,
    /// The name is there, or names below it, but nothing of the type.
    NoData,
    /// The name is not there.
    NxDomain,
    /// Others answer for the name; the authority section names them.
    Referral,
    /// An alias leads to a name that is too long (RFC 6672 section 2.2).
    TooLong,
}

/// The sections of an answer.
#[derive(Clone, Debug, Default)]
pub struct LookupResult<'a> {
    /// What became of it.
    pub outcome: Outcome,
    /// The aliases on the way, and the records.
    pub answer: SmallVec<[ResponseSet<'a>; 2]>,
    /// The SOA of what is not there, or the servers of a referral.
    pub authority: SmallVec<[ResponseSet<'a>; 1]>,
    /// Addresses that go along.
    pub additional: SmallVec<[ResponseSet<'a>; 2]>,
}

/// Where the way to a name ends.
enum NameMatch<'a> {
    /// At its node, or at the wildcard that stands for it.
    Node(&'a Node),
    /// At a cut: from this octet of the name on, others answer.
    Delegation(usize, &'a RecordSet),
    /// At a DNAME: this end of the name is replaced.
    Redirection(usize, &'a RecordSet),
    NotFound,
}

fn find_name<'a>(zone: &'a Zone, name: &[u8], kind: RecordType) -> NameMatch<'a> {
    let starts = LabelOffsets::of(name);
    let below = starts.count() - zone.apex().labels().count();
    let mut node: &Node = zone.root();
    for n in (0..below).rev() {
        if let Some(moved) = node.set(RecordType::DNAME) {
            return NameMatch::Redirection(starts.at(n) + 1 + name[starts.at(n)] as usize, moved);
        }
        let at = starts.at(n);
        match node.children().get(&name[at + 1..][..name[at] as usize]) {
            Some(child) => node = child,
            // The closest encloser's wildcard stands for whatever is not there below it.
            None => {
                return node.children().get(b"*").map_or(NameMatch::NotFound, |wild| NameMatch::Node(wild))
            }
        }
        if let Some(servers) = node.set(RecordType::NS) {
            // What the parent says of a cut is asked of the parent (RFC 4035 section 3.1.4.1).
            if n > 0 || kind != RecordType::DS {
                return NameMatch::Delegation(at, servers);
            }
        }
    }
    NameMatch::Node(node)
}

/// Answers a question about a name in wire form and lower case; one that is not in the zone is not there.
pub fn lookup<'a>(zone: &'a Zone, name: &'a [u8], kind: RecordType) -> LookupResult<'a> {
    let mut found = LookupResult::default();
    if !crate::name::within(name, zone.apex().wire()) {
        found.outcome = Outcome::NxDomain;
        return found;
    }
    let mut at: Cow<'a, [u8]> = Cow::Borrowed(name);
    for _ in 0..MAX_ALIASES {
        match find_name(zone, &at, kind) {
            NameMatch::NotFound => {
                found.outcome = Outcome::NxDomain;
                add_negative_soa(zone, &mut found);
                return found;
            }
            NameMatch::Delegation(from, servers) => {
                if found.answer.is_empty() {
                    found.outcome = Outcome::Referral;
                }
                let owner = match &at {
                    Cow::Borrowed(name) => Cow::Borrowed(&name[from..]),
                    Cow::Owned(name) => Cow::Owned(name[from..].to_vec()),
                };
                found.authority.push(ResponseSet::of(owner, servers));
                add_target_addresses(zone, servers, &mut found);
                return found;
            }
            NameMatch::Redirection(from, set) => {
                let Some(by) = set.records().next() else { return found };
                let end = at[from..].to_vec();
                found.answer.push(ResponseSet::of(Cow::Owned(end.clone()), set));
                let Some(next) = replace_suffix(&at, &end, by) else {
                    found.outcome = Outcome::TooLong;
                    return found;
                };
                let packed = crate::record::pack([&next[..]]);
                let (kind, ttl) = (RecordType::CNAME, set.ttl);
                found.answer.push(ResponseSet { owner: at, kind, ttl, packed: Cow::Owned(packed) });
                at = Cow::Owned(next);
            }
            NameMatch::Node(node) => {
                let alias = node
                    .set(RecordType::CNAME)
                    .filter(|_| kind != RecordType::CNAME && kind != RecordType::ANY);
                if let Some((set, next)) = alias.and_then(|set| Some((set, set.records().next()?))) {
                    found.answer.push(ResponseSet::of(at, set));
                    at = Cow::Borrowed(next);
                } else {
                    // Of all types one is enough (RFC 8482 section 4.1).
                    let set = if kind == RecordType::ANY { node.sets().first() } else { node.set(kind) };
                    let Some(set) = set else {
                        found.outcome = Outcome::NoData;
                        add_negative_soa(zone, &mut found);
                        return found;
                    };
                    found.answer.push(ResponseSet::of(at, set));
                    add_target_addresses(zone, set, &mut found);
                    return found;
                }
            }
        }
        if !crate::name::within(&at, zone.apex().wire()) {
            return found;
        }
    }
    found
}

/// Adds the SOA, kept for no longer than it says (RFC 2308 section 3).
fn add_negative_soa<'a>(zone: &'a Zone, found: &mut LookupResult<'a>) {
    if let (Some(set), Some(soa)) = (zone.soa_set(), zone.soa()) {
        let mut entry = ResponseSet::of(Cow::Borrowed(zone.apex().wire()), set);
        entry.ttl = entry.ttl.min(soa.minimum);
        found.authority.push(entry);
    }
}

/// Adds the addresses of the names in a set, glue included.
fn add_target_addresses<'a>(zone: &'a Zone, set: &'a RecordSet, found: &mut LookupResult<'a>) {
    for target in set.records().filter_map(|data| set.kind.additional_name(data)).take(MAX_TARGETS) {
        if set.kind == RecordType::CNAME || set.kind == RecordType::PTR {
            return;
        }
        let Some(node) = zone.node(target) else { continue };
        for kind in [RecordType::A, RecordType::AAAA] {
            if let Some(set) = node.set(kind) {
                found.additional.push(ResponseSet::of(Cow::Borrowed(target), set));
            }
        }
    }
}
