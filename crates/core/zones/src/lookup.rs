//! What a version answers to a question: RFC 1034 section 4.3.2, wildcards by RFC 4592, DNAME by RFC 6672,
//! names that are not there by RFC 2308. All of an answer comes from one version.

use crate::name::Starts;
use crate::name_tree::Node;
use crate::record::{unpack, Set};
use crate::record_type::{replace_end, Kind};
use crate::zone::Zone;
use smallvec::SmallVec;
use std::borrow::Cow;

/// How many aliases one answer follows.
const CHAIN_MOST: usize = 16;
/// How many targets' addresses go along at most.
const TARGETS_MOST: usize = 16;

/// Records of one owner and kind as they go out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The owner, in wire form.
    pub owner: Cow<'a, [u8]>,
    /// The kind.
    pub kind: Kind,
    /// The time to live.
    pub ttl: u32,
    /// The records' data, packed as a [`Set`] has it.
    pub packed: Cow<'a, [u8]>,
}

impl<'a> Entry<'a> {
    fn of(owner: Cow<'a, [u8]>, set: &'a Set) -> Self {
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
    /// The name is there, or names below it, but nothing of the kind.
    NoData,
    /// The name is not there.
    NoName,
    /// Others answer for the name; the authority section names them.
    Referral,
    /// An alias leads to a name that is too long (RFC 6672 section 2.2).
    TooLong,
}

/// The sections of an answer.
#[derive(Clone, Debug, Default)]
pub struct Found<'a> {
    /// What became of it.
    pub outcome: Outcome,
    /// The aliases on the way, and the records.
    pub answer: SmallVec<[Entry<'a>; 2]>,
    /// The SOA of what is not there, or the servers of a referral.
    pub authority: SmallVec<[Entry<'a>; 1]>,
    /// Addresses that go along.
    pub additional: SmallVec<[Entry<'a>; 2]>,
}

/// Where the way to a name ends.
enum Way<'a> {
    /// At its node, or at the wildcard that stands for it.
    At(&'a Node),
    /// At a cut: from this octet of the name on, others answer.
    Cut(usize, &'a Set),
    /// At a DNAME: this end of the name is replaced.
    Moved(usize, &'a Set),
    Nowhere,
}

fn way<'a>(zone: &'a Zone, name: &[u8], kind: Kind) -> Way<'a> {
    let starts = Starts::of(name);
    let below = starts.count() - zone.apex().labels().count();
    let mut node: &Node = zone.root();
    for n in (0..below).rev() {
        if let Some(moved) = node.set(Kind::DNAME) {
            return Way::Moved(starts.at(n) + 1 + name[starts.at(n)] as usize, moved);
        }
        let at = starts.at(n);
        match node.below().get(&name[at + 1..][..name[at] as usize]) {
            Some(child) => node = child,
            // The closest encloser's wildcard stands for whatever is not there below it.
            None => return node.below().get(b"*").map_or(Way::Nowhere, |wild| Way::At(wild)),
        }
        if let Some(servers) = node.set(Kind::NS) {
            // What the parent says of a cut is asked of the parent (RFC 4035 section 3.1.4.1).
            if n > 0 || kind != Kind::DS {
                return Way::Cut(at, servers);
            }
        }
    }
    Way::At(node)
}

/// Answers a question about a name in wire form and lower case; one that is not in the zone is not there.
pub fn lookup<'a>(zone: &'a Zone, name: &'a [u8], kind: Kind) -> Found<'a> {
    let mut found = Found::default();
    if !crate::name::within(name, zone.apex().wire()) {
        found.outcome = Outcome::NoName;
        return found;
    }
    let mut at: Cow<'a, [u8]> = Cow::Borrowed(name);
    for _ in 0..CHAIN_MOST {
        match way(zone, &at, kind) {
            Way::Nowhere => {
                found.outcome = Outcome::NoName;
                not_there(zone, &mut found);
                return found;
            }
            Way::Cut(from, servers) => {
                if found.answer.is_empty() {
                    found.outcome = Outcome::Referral;
                }
                let owner = match &at {
                    Cow::Borrowed(name) => Cow::Borrowed(&name[from..]),
                    Cow::Owned(name) => Cow::Owned(name[from..].to_vec()),
                };
                found.authority.push(Entry::of(owner, servers));
                addresses(zone, servers, &mut found);
                return found;
            }
            Way::Moved(from, set) => {
                let Some(by) = set.records().next() else { return found };
                let end = at[from..].to_vec();
                found.answer.push(Entry::of(Cow::Owned(end.clone()), set));
                let Some(next) = replace_end(&at, &end, by) else {
                    found.outcome = Outcome::TooLong;
                    return found;
                };
                let packed = crate::record::pack([&next[..]]);
                let (kind, ttl) = (Kind::CNAME, set.ttl);
                found.answer.push(Entry { owner: at, kind, ttl, packed: Cow::Owned(packed) });
                at = Cow::Owned(next);
            }
            Way::At(node) => {
                let alias = node.set(Kind::CNAME).filter(|_| kind != Kind::CNAME && kind != Kind::ANY);
                if let Some((set, next)) = alias.and_then(|set| Some((set, set.records().next()?))) {
                    found.answer.push(Entry::of(at, set));
                    at = Cow::Borrowed(next);
                } else {
                    // Of all kinds one is enough (RFC 8482 section 4.1).
                    let set = if kind == Kind::ANY { node.sets().first() } else { node.set(kind) };
                    let Some(set) = set else {
                        found.outcome = Outcome::NoData;
                        not_there(zone, &mut found);
                        return found;
                    };
                    found.answer.push(Entry::of(at, set));
                    addresses(zone, set, &mut found);
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
fn not_there<'a>(zone: &'a Zone, found: &mut Found<'a>) {
    if let (Some(set), Some(soa)) = (zone.soa_set(), zone.soa()) {
        let mut entry = Entry::of(Cow::Borrowed(zone.apex().wire()), set);
        entry.ttl = entry.ttl.min(soa.minimum);
        found.authority.push(entry);
    }
}

/// Adds the addresses of the names in a set, glue included.
fn addresses<'a>(zone: &'a Zone, set: &'a Set, found: &mut Found<'a>) {
    for target in set.records().filter_map(|data| set.kind.target(data)).take(TARGETS_MOST) {
        if set.kind == Kind::CNAME || set.kind == Kind::PTR {
            return;
        }
        let Some(node) = zone.node(target) else { continue };
        for kind in [Kind::A, Kind::AAAA] {
            if let Some(set) = node.set(kind) {
                found.additional.push(Entry::of(Cow::Borrowed(target), set));
            }
        }
    }
}
