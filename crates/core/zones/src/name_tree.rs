//! The names below a name: a hash array mapped trie by label. Versions share its nodes. A change copies the nodes
//! on the path to the changed name, or modifies them in place if no other version shares them. So building a zone
//! copies nothing, and the cost of a change does not depend on the size of the zone.
//!
//! Source: P. Bagwell, "Ideal Hash Trees" (2001), with path copying. Labels are hashed by SipHash-1-3 with a fixed
//! key, so the same names always yield the same tree and the same order.

use crate::name::Name;
use crate::record::RecordSet;
use crate::record_type::RecordType;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use std::hash::Hasher;
use std::sync::Arc;

/// Number of bits of a label's hash that select a slot on each level, and number of levels. Labels whose bits are equal
/// on all levels share a list below the last level.
const HASH_BITS_PER_LEVEL: u32 = 5;
const LEVELS: u32 = 60 / HASH_BITS_PER_LEVEL;

/// The records of one name and the names below it.
#[derive(Clone, Debug)]
pub struct Node {
    label: Box<[u8]>,
    sets: SmallVec<[RecordSet; 1]>,
    children: Children,
}

impl Node {
    pub(crate) fn new(label: &[u8]) -> Self {
        Self { label: label.into(), sets: SmallVec::new(), children: Children::default() }
    }

    /// The leftmost label of the name.
    pub fn label(&self) -> &[u8] {
        &self.label
    }

    /// The record sets, ascending by type.
    pub fn sets(&self) -> &[RecordSet] {
        &self.sets
    }

    /// The record sets for modification; callers must keep them ascending by type.
    pub(crate) fn sets_mut(&mut self) -> &mut SmallVec<[RecordSet; 1]> {
        &mut self.sets
    }

    /// The record set of a type.
    pub fn set(&self, kind: RecordType) -> Option<&RecordSet> {
        self.sets.iter().find(|set| set.kind == kind)
    }

    /// The nodes directly below.
    pub fn children(&self) -> &Children {
        &self.children
    }

    fn is_unused(&self) -> bool {
        self.sets.is_empty() && self.children.is_empty()
    }
}

#[derive(Clone, Debug)]
enum Slot {
    Leaf(Arc<Node>),
    Branch(Arc<Branch>),
}

/// One level of the trie: `map` has a bit for each slot that is present. Below the last level, `slots` is a plain
/// list of leaves and `map` is unused.
#[derive(Clone, Debug, Default)]
struct Branch {
    map: u32,
    slots: Vec<Slot>,
}

/// The nodes directly below a name.
#[derive(Clone, Debug, Default)]
pub struct Children(Option<Arc<Branch>>);

fn hash(label: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6c79_6e78_7461_6c6c, 0x791b_3f5d_7a91_c2e4);
    hasher.write(label);
    hasher.finish()
}

fn bit(hash: u64, level: u32) -> u32 {
    1 << ((hash >> (level * HASH_BITS_PER_LEVEL)) & ((1 << HASH_BITS_PER_LEVEL) - 1))
}

impl Branch {
    fn slot_index(&self, bit: u32) -> usize {
        (self.map & (bit - 1)).count_ones() as usize
    }

    fn insert(&mut self, level: u32, label_hash: u64, node: Arc<Node>) {
        if level == LEVELS {
            let same = |slot: &Slot| matches!(slot, Slot::Leaf(leaf) if leaf.label() == node.label());
            match self.slots.iter().position(same) {
                Some(at) => self.slots[at] = Slot::Leaf(node),
                None => self.slots.push(Slot::Leaf(node)),
            }
            return;
        }
        let bit = bit(label_hash, level);
        let at = self.slot_index(bit);
        if self.map & bit == 0 {
            self.map |= bit;
            self.slots.reserve_exact(1);
            self.slots.insert(at, Slot::Leaf(node));
            return;
        }
        match &mut self.slots[at] {
            Slot::Branch(branch) => Arc::make_mut(branch).insert(level + 1, label_hash, node),
            Slot::Leaf(leaf) if leaf.label() == node.label() => *leaf = node,
            Slot::Leaf(leaf) => {
                let mut branch = Branch::default();
                branch.insert(level + 1, hash(leaf.label()), leaf.clone());
                branch.insert(level + 1, label_hash, node);
                self.slots[at] = Slot::Branch(Arc::new(branch));
            }
        }
    }

    fn get_mut(&mut self, level: u32, label_hash: u64, label: &[u8]) -> Option<&mut Arc<Node>> {
        let at = if level == LEVELS {
            self.slots.iter().position(|slot| matches!(slot, Slot::Leaf(leaf) if leaf.label() == label))?
        } else {
            let bit = bit(label_hash, level);
            if self.map & bit == 0 {
                return None;
            }
            self.slot_index(bit)
        };
        match &mut self.slots[at] {
            Slot::Branch(branch) => Arc::make_mut(branch).get_mut(level + 1, label_hash, label),
            Slot::Leaf(leaf) => (leaf.label() == label).then_some(leaf),
        }
    }

    /// Removes a label; returns whether this branch is empty afterwards.
    fn remove(&mut self, level: u32, label_hash: u64, label: &[u8]) -> bool {
        if level == LEVELS {
            self.slots.retain(|slot| !matches!(slot, Slot::Leaf(leaf) if leaf.label() == label));
            return self.slots.is_empty();
        }
        let bit = bit(label_hash, level);
        if self.map & bit == 0 {
            return false;
        }
        let at = self.slot_index(bit);
        let gone = match &mut self.slots[at] {
            Slot::Leaf(leaf) => leaf.label() == label,
            Slot::Branch(branch) => {
                let below = Arc::make_mut(branch);
                let empty = below.remove(level + 1, label_hash, label);
                // A branch with a single leaf is replaced by the leaf.
                if let [Slot::Leaf(last)] = &below.slots[..] {
                    let last = last.clone();
                    self.slots[at] = Slot::Leaf(last);
                }
                empty
            }
        };
        if gone {
            self.slots.remove(at);
            self.map &= !bit;
        }
        self.slots.is_empty()
    }

    fn each<'a>(&'a self, visit: &mut impl FnMut(&'a Arc<Node>)) {
        for slot in &self.slots {
            match slot {
                Slot::Leaf(leaf) => visit(leaf),
                Slot::Branch(branch) => branch.each(visit),
            }
        }
    }
}

impl Children {
    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.0.is_none()
    }

    /// The node with this label, which must be in lower case.
    pub fn get(&self, label: &[u8]) -> Option<&Arc<Node>> {
        let (hash, mut level) = (hash(label), 0);
        let mut branch = self.0.as_ref()?;
        while level < LEVELS {
            let bit = bit(hash, level);
            if branch.map & bit == 0 {
                return None;
            }
            match &branch.slots[branch.slot_index(bit)] {
                Slot::Branch(below) => branch = below,
                Slot::Leaf(leaf) => return (leaf.label() == label).then_some(leaf),
            }
            level += 1;
        }
        branch.slots.iter().find_map(|slot| match slot {
            Slot::Leaf(leaf) if leaf.label() == label => Some(leaf),
            _ => None,
        })
    }

    /// The node with this label for modification. Nodes that other versions share are copied.
    pub fn get_mut(&mut self, label: &[u8]) -> Option<&mut Arc<Node>> {
        // Checked first, so that nothing is copied for a label that does not exist.
        self.get(label)?;
        Arc::make_mut(self.0.as_mut()?).get_mut(0, hash(label), label)
    }

    /// Inserts a node; it replaces one with the same label.
    pub fn insert(&mut self, node: Arc<Node>) {
        let hash = hash(node.label());
        Arc::make_mut(self.0.get_or_insert_with(Arc::default)).insert(0, hash, node);
    }

    /// Removes the node with this label.
    pub fn remove(&mut self, label: &[u8]) {
        if self.get(label).is_some() {
            let empty =
                self.0.as_mut().is_some_and(|branch| Arc::make_mut(branch).remove(0, hash(label), label));
            if empty {
                self.0 = None;
            }
        }
    }

    /// Calls `visit` for each node, in an order that depends on the labels alone.
    pub fn for_each<'a>(&'a self, mut visit: impl FnMut(&'a Arc<Node>)) {
        if let Some(branch) = &self.0 {
            branch.each(&mut visit);
        }
    }

    /// Calls `visit` for each pair of nodes in which two versions differ; shared subtrees are skipped. If only one
    /// version has a label, the other side is none.
    pub fn diff<'a>(
        &'a self,
        other: &'a Self,
        visit: &mut impl FnMut(Option<&'a Arc<Node>>, Option<&'a Arc<Node>>),
    ) {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => diff_branches(a, b, 0, visit),
            (Some(a), None) => a.each(&mut |node| visit(Some(node), None)),
            (None, Some(b)) => b.each(&mut |node| visit(None, Some(node))),
            (None, None) => {}
        }
    }
}

/// Iterates over nodes one at a time, so that a long walk can be interrupted. Keeps the visited version alive.
#[derive(Clone, Debug, Default)]
pub struct Cursor(Vec<(Arc<Branch>, usize)>);

impl Cursor {
    /// Starts before the first node.
    pub fn new(children: &Children) -> Self {
        Self(children.0.iter().map(|branch| (branch.clone(), 0)).collect())
    }
}

impl Iterator for Cursor {
    type Item = Arc<Node>;

    fn next(&mut self) -> Option<Arc<Node>> {
        loop {
            let (branch, at) = self.0.last_mut()?;
            let Some(slot) = branch.slots.get(*at).cloned() else {
                self.0.pop();
                continue;
            };
            *at += 1;
            match slot {
                Slot::Leaf(leaf) => return Some(leaf),
                Slot::Branch(below) => self.0.push((below, 0)),
            }
        }
    }
}

fn diff_branches<'a>(
    a: &'a Arc<Branch>,
    b: &'a Arc<Branch>,
    level: u32,
    visit: &mut impl FnMut(Option<&'a Arc<Node>>, Option<&'a Arc<Node>>),
) {
    if Arc::ptr_eq(a, b) {
        return;
    }
    if level == LEVELS {
        return diff_leaves(&leaves(a), &leaves(b), visit);
    }
    let mut bits = a.map | b.map;
    while bits != 0 {
        let bit = bits & bits.wrapping_neg();
        bits &= bits - 1;
        let at = |branch: &'a Branch| (branch.map & bit != 0).then(|| &branch.slots[branch.slot_index(bit)]);
        match (at(a), at(b)) {
            (Some(Slot::Branch(a)), Some(Slot::Branch(b))) => diff_branches(a, b, level + 1, visit),
            (Some(Slot::Leaf(a)), Some(Slot::Leaf(b))) if a.label() == b.label() => {
                if !Arc::ptr_eq(a, b) {
                    visit(Some(a), Some(b));
                }
            }
            (a, b) => diff_leaves(&leaves_below(a), &leaves_below(b), visit),
        }
    }
}

fn leaves(branch: &Branch) -> Vec<&Arc<Node>> {
    let mut all = Vec::new();
    branch.each(&mut |node| all.push(node));
    all
}

fn leaves_below(slot: Option<&Slot>) -> Vec<&Arc<Node>> {
    match slot {
        Some(Slot::Leaf(leaf)) => vec![leaf],
        Some(Slot::Branch(branch)) => leaves(branch),
        None => Vec::new(),
    }
}

fn diff_leaves<'a>(
    a: &[&'a Arc<Node>],
    b: &[&'a Arc<Node>],
    visit: &mut impl FnMut(Option<&'a Arc<Node>>, Option<&'a Arc<Node>>),
) {
    for &one in a {
        let other = b.iter().find(|other| other.label() == one.label()).copied();
        if other.is_none_or(|other| !Arc::ptr_eq(one, other)) {
            visit(Some(one), other);
        }
    }
    for &other in b {
        if !a.iter().any(|one| one.label() == other.label()) {
            visit(None, Some(other));
        }
    }
}

/// Calls `change` with the node at the end of `path`, whose labels come outermost first, and `before` with the same node
/// before it. Missing nodes on the path are created first; nodes without records and children are removed afterwards.
pub(crate) fn edit<R>(
    node: &mut Arc<Node>,
    path: &[&[u8]],
    before: &mut dyn FnMut(&Node),
    change: impl FnOnce(&mut Node) -> R,
) -> R {
    let own = Arc::make_mut(node);
    let Some((label, rest)) = path.split_first() else {
        before(own);
        return change(own);
    };
    if own.children.get(label).is_none() {
        own.children.insert(Arc::new(Node::new(label)));
    }
    // The child existed or was inserted above.
    let child = own.children.get_mut(label).expect("the child exists or was just inserted");
    let changed = edit(child, rest, before, change);
    if child.is_unused() {
        own.children.remove(label);
    }
    changed
}

/// Calls `visit` for a node and all nodes below that have records, in an order that depends on the names alone.
pub(crate) fn each<'a>(node: &'a Node, name: &Name, visit: &mut impl FnMut(&Name, &'a [RecordSet])) {
    if !node.sets.is_empty() {
        visit(name, &node.sets);
    }
    node.children.for_each(|child| {
        // Names were checked when they were added, so their length is valid.
        if let Ok(below) = name.child(child.label()) {
            each_dyn(child, &below, visit);
        }
    });
}

fn each_dyn<'a>(node: &'a Node, name: &Name, visit: &mut dyn FnMut(&Name, &'a [RecordSet])) {
    each(node, name, &mut |name: &Name, sets: &'a [RecordSet]| visit(name, sets));
}
