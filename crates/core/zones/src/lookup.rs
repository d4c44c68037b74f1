//! Answers queries from one version of a zone: RFC 1034 section 4.3.2, wildcards by RFC 4592, DNAME by RFC 6672,
//! negative answers by RFC 2308.

use crate::name::{replace_suffix, LabelOffsets};
use crate::name_tree::Node;
use crate::record::{unpack, RecordSet};
use crate::record_type::RecordType;
use crate::zone::Zone;
use smallvec::SmallVec;
use std::borrow::Cow;

/// Maximum number of CNAME and DNAME steps that one response follows.
const MAX_ALIASES: usize = 16;
/// Maximum number of names in a record set, such as the servers in an NS, MX or SRV set, whose addresses are added
/// to the additional section.
const MAX_TARGETS: usize = 16;

/// A record set in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSet<'a> {
    /// The owner, in wire form.
    pub owner: Cow<'a, [u8]>,
    /// The type.
    pub kind: RecordType,
    /// The time to live.
    pub ttl: u32,
    /// The records' data in the packed form of [`RecordSet::packed`].
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

/// The kind of response to a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The answer section has records.
    #[default]
    Found,
    /// The name exists, or names below it do, but it has no records of the type.
    NoData,
    /// The name does not exist.
    NxDomain,
    /// The name is in a delegated zone; the authority section has its name servers.
    Referral,
    /// DNAME substitution yields a name that is too long (RFC 6672 section 2.2).
    TooLong,
}

/// The sections of a response.
#[derive(Clone, Debug, Default)]
pub struct LookupResult<'a> {
    /// The kind of response.
    pub outcome: Outcome,
    /// The aliases that were followed and the records of the last name.
    pub answer: SmallVec<[ResponseSet<'a>; 2]>,
    /// The SOA in a negative response, or the name servers of a referral.
    pub authority: SmallVec<[ResponseSet<'a>; 1]>,
    /// Addresses of names in the other sections.
    pub additional: SmallVec<[ResponseSet<'a>; 2]>,
}

/// The result of searching the zone for a name.
enum NameMatch<'a> {
    /// The name's node, or that of the wildcard that matches it.
    Node(&'a Node),
    /// A delegation: the offset of the delegated name within the name, and its NS set.
    Delegation(usize, &'a RecordSet),
    /// A DNAME: the offset of its owner within the name, and its set.
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
            // The wildcard below the closest encloser matches all names that do not exist below it.
            None => {
                return node.children().get(b"*").map_or(NameMatch::NotFound, |wild| NameMatch::Node(wild))
            }
        }
        if let Some(servers) = node.set(RecordType::NS) {
            // The DS set of a delegated zone belongs to the parent zone (RFC 4035 section 3.1.4.1).
            if n > 0 || kind != RecordType::DS {
                return NameMatch::Delegation(at, servers);
            }
        }
    }
    NameMatch::Node(node)
}

/// Answers a query for a name in lower-case wire form. A name outside the zone does not exist.
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
                    // One record set is a sufficient answer to ANY (RFC 8482 section 4.1).
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

/// Adds the SOA of a negative response, with the TTL limited by its MINIMUM field (RFC 2308 section 3).
fn add_negative_soa<'a>(zone: &'a Zone, found: &mut LookupResult<'a>) {
    if let (Some(set), Some(soa)) = (zone.soa_set(), zone.soa()) {
        let mut entry = ResponseSet::of(Cow::Borrowed(zone.apex().wire()), set);
        entry.ttl = entry.ttl.min(soa.minimum);
        found.authority.push(entry);
    }
}

/// Adds the addresses, including glue, of the names that a record set such as NS, MX or SRV refers to.
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
