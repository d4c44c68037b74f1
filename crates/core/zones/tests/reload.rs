//! Accepted updates stay in force when the zone file is read again, whether or not they changed anything at the time.

use lynxtally::{Instant, Span};
use lynxtally_zones::update::{Grant, Scope, Update, UpdateOperation};
use lynxtally_zones::zone_store::{
    decode, encode, PreparedReload, Snapshot, ZoneLogEntry, ZoneStore, ZoneStoreLimits,
};
use lynxtally_zones::{Name, Record, RecordType, Zone};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const NAMES: u8 = 3;
const ADDRESSES: u8 = 3;
const FILE_TTL: u32 = 300;

/// An address of a name, by their numbers.
type Address = (u8, u8);

fn name(text: &str) -> Name {
    Name::parse(text.as_bytes(), Some(&"example.org".parse().expect("a valid name"))).expect("a valid name")
}

fn owner(number: u8) -> Name {
    name(&format!("n{number}"))
}

fn record(at: Address, ttl: u32) -> Record {
    Record { name: owner(at.0), kind: RecordType::A, ttl, data: vec![192, 0, 2, at.1] }
}

/// The zone file with this serial that lists these addresses.
fn zone_file(serial: u32, addresses: &BTreeSet<Address>) -> Zone {
    let mut soa = [name("ns").wire(), name("host").wire()].concat();
    for number in [serial, 3600, 600, 86_400, 60] {
        soa.extend_from_slice(&u32::to_be_bytes(number));
    }
    let mut zone = Zone::new(name("@"));
    zone.add(&Record { name: name("@"), kind: RecordType::SOA, ttl: FILE_TTL, data: soa }).expect("an SOA");
    for address in addresses {
        zone.add(&record(*address, FILE_TTL)).expect("an address");
    }
    zone
}

/// A store with the log entries since its last snapshot, as a server keeps them.
struct LoggedStore {
    store: ZoneStore,
    snapshot: Vec<u8>,
    entries: Vec<Vec<u8>>,
    bases: BTreeMap<String, Zone>,
    appended: u64,
}

impl LoggedStore {
    fn new(file: &BTreeSet<Address>) -> Self {
        let base = zone_file(1, file);
        let store = ZoneStore::new(base.clone(), "base-1".to_owned(), ZoneStoreLimits::default());
        let snapshot = encode(&store.snapshot());
        let bases = BTreeMap::from([("base-1".to_owned(), base)]);
        Self { store, snapshot, entries: Vec::new(), bases, appended: 0 }
    }

    fn append(&mut self, entry: &ZoneLogEntry) {
        self.entries.push(encode(entry));
        self.appended += 1;
        self.store.entry_appended(self.appended, entry);
        assert!(self.store.entries_durable(self.appended));
    }

    fn update(&mut self, operations: &[UpdateOperation], lease: Option<Span>) {
        let key: Name = "key.".parse().expect("a valid name");
        let grants = [Grant { key: key.clone(), scope: Scope::Tree(name("@")), kinds: vec![] }];
        let update = Update { prerequisites: Vec::new(), operations: operations.to_vec() };
        let outcome = self.store.update(Instant::from_micros(0), &update, &grants, Some(&key), None, lease);
        outcome.result.expect("the update is accepted");
        outcome.entry.iter().for_each(|entry| self.append(entry));
    }

    fn prepare(&mut self, serial: u32, file: &BTreeSet<Address>) -> Option<PreparedReload> {
        self.store.reload_input().prepare(zone_file(serial, file)).ok()
    }

    fn install(&mut self, prepared: PreparedReload) {
        let file = format!("base-{}", self.bases.len() + 1);
        self.bases.insert(file.clone(), prepared.base.clone());
        let (entry, ..) = self.store.reload(file, prepared);
        self.append(&entry);
    }

    fn write_snapshot(&mut self) {
        self.snapshot = encode(&self.store.snapshot());
        self.entries.clear();
    }

    /// The store that a restarted server reads from the log.
    fn restored(&self) -> ZoneStore {
        let start = Instant::from_micros(0);
        let snapshot: Snapshot = decode(&self.snapshot).expect("a decodable snapshot");
        let base = self.bases[&snapshot.base].clone();
        let mut store = ZoneStore::restore(start, base, snapshot, ZoneStoreLimits::default())
            .expect("the overlay applies to the base");
        for entry in &self.entries {
            let entry = decode(entry).expect("a decodable log entry");
            store.replay(start, entry, |file| self.bases.get(file).cloned()).expect("the entry applies");
        }
        store
    }

    fn restart(&mut self) {
        self.store = self.restored();
    }

    fn addresses(&self) -> BTreeSet<Address> {
        let all = (0..NAMES).flat_map(|name| (0..ADDRESSES).map(move |address| (name, address)));
        let zone = self.store.current();
        all.filter(|at| zone.set(&owner(at.0), RecordType::A).is_some_and(|set| set.has(&[192, 0, 2, at.1])))
            .collect()
    }
}

fn add(at: Address) -> UpdateOperation {
    UpdateOperation::AddRecord(record(at, FILE_TTL))
}

/// Guards against a lost update (review case 9): an update that adds an address which the old file lists too, accepted
/// while a file without it is read, made no difference between the versions, and the address was gone afterwards.
#[test]
fn an_address_registered_again_while_its_file_line_goes_stays() {
    let listed = BTreeSet::from([(0, 0), (1, 1)]);
    let mut zone = LoggedStore::new(&listed);
    let prepared = zone.prepare(2, &BTreeSet::from([(1, 1)])).expect("a newer file");
    zone.update(&[add((0, 0))], None);
    zone.install(prepared);
    assert_eq!(zone.addresses(), listed);
    zone.restart();
    assert_eq!(zone.addresses(), listed, "after a restart");
}

/// The same before the file is read, and across a restart and a snapshot in between.
#[test]
fn an_address_registered_again_before_its_file_line_goes_stays() {
    let listed = BTreeSet::from([(0, 0), (1, 1)]);
    let mut zone = LoggedStore::new(&listed);
    zone.update(&[add((0, 0))], None);
    zone.restart();
    zone.write_snapshot();
    zone.restart();
    let prepared = zone.prepare(2, &BTreeSet::from([(1, 1)])).expect("a newer file");
    zone.install(prepared);
    assert_eq!(zone.addresses(), listed);
}

/// Guards against the same loss for a deletion: the old file does not list the address, the new one does.
#[test]
fn an_address_deleted_while_a_file_that_lists_it_is_read_stays_deleted() {
    let mut zone = LoggedStore::new(&BTreeSet::from([(1, 1)]));
    let prepared = zone.prepare(2, &BTreeSet::from([(0, 0), (0, 1), (1, 1)])).expect("a newer file");
    zone.update(&[UpdateOperation::DeleteSet(owner(0), RecordType::A), add((0, 1))], None);
    zone.install(prepared);
    assert_eq!(zone.addresses(), BTreeSet::from([(0, 1), (1, 1)]));
    zone.restart();
    assert_eq!(zone.addresses(), BTreeSet::from([(0, 1), (1, 1)]), "after a restart");
}

#[derive(Clone, Debug)]
enum Step {
    Add { at: Address, ttl: u32, leased: bool },
    Delete(Address),
    DeleteSet(u8),
    StartReading(BTreeSet<Address>),
    Install,
    WriteSnapshot,
    Restart,
}

fn address() -> impl Strategy<Value = Address> {
    (0..NAMES, 0..ADDRESSES)
}

fn step() -> impl Strategy<Value = Step> {
    let file = proptest::collection::btree_set(address(), 0..9);
    prop_oneof![
        6 => (address(), prop_oneof![Just(60), Just(FILE_TTL)], any::<bool>())
            .prop_map(|(at, ttl, leased)| Step::Add { at, ttl, leased }),
        3 => address().prop_map(Step::Delete),
        1 => (0..NAMES).prop_map(Step::DeleteSet),
        3 => file.prop_map(Step::StartReading),
        3 => Just(Step::Install),
        1 => Just(Step::WriteSnapshot),
        1 => Just(Step::Restart),
    ]
}

/// What an accepted update last asked for an address.
#[derive(Clone, Copy, PartialEq)]
enum Wanted {
    Present,
    Absent,
}

/// The expected addresses: those of the file, changed by what accepted updates asked for.
#[derive(Default)]
struct Model {
    file: BTreeSet<Address>,
    wanted: BTreeMap<Address, Wanted>,
}

impl Model {
    /// A deletion overrides the file in force and a file that is being read, but no later one.
    fn delete(&mut self, at: Address, is_reading: bool) {
        if self.file.contains(&at) || is_reading {
            self.wanted.insert(at, Wanted::Absent);
        } else {
            self.wanted.remove(&at);
        }
    }

    fn install(&mut self, file: BTreeSet<Address>) {
        self.wanted.retain(|at, wanted| *wanted == Wanted::Present || file.contains(at));
        self.file = file;
    }

    fn addresses(&self) -> BTreeSet<Address> {
        let mut expected = self.file.clone();
        for (at, wanted) in &self.wanted {
            match wanted {
                Wanted::Present => expected.insert(*at),
                Wanted::Absent => expected.remove(at),
            };
        }
        expected
    }
}

proptest! {
    /// Whatever the order of updates, reloads, snapshots and restarts: the answers reflect the last accepted update of
    /// each address, and the log restores exactly the version in force.
    #[test]
    fn answers_reflect_every_accepted_update(steps in proptest::collection::vec(step(), 1..40)) {
        let mut zone = LoggedStore::new(&BTreeSet::new());
        let mut model = Model::default();
        let mut reading: Option<(PreparedReload, BTreeSet<Address>)> = None;
        for (serial, step) in (2..).zip(&steps) {
            match step {
                Step::Add { at, ttl, leased } => {
                    let lease = leased.then(|| Span::from_secs(3600.0));
                    zone.update(&[UpdateOperation::AddRecord(record(*at, *ttl))], lease);
                    model.wanted.insert(*at, Wanted::Present);
                }
                Step::Delete(at) => {
                    let data = record(*at, FILE_TTL).data;
                    zone.update(&[UpdateOperation::DeleteRecord(owner(at.0), RecordType::A, data)], None);
                    model.delete(*at, reading.is_some());
                }
                Step::DeleteSet(of) => {
                    zone.update(&[UpdateOperation::DeleteSet(owner(*of), RecordType::A)], None);
                    (0..ADDRESSES).for_each(|address| model.delete((*of, address), reading.is_some()));
                }
                Step::StartReading(file) if reading.is_none() => {
                    reading = zone.prepare(serial, file).map(|prepared| (prepared, file.clone()));
                }
                Step::Install => {
                    if let Some((prepared, file)) = reading.take() {
                        zone.install(prepared);
                        model.install(file);
                    }
                }
                Step::WriteSnapshot => zone.write_snapshot(),
                Step::Restart if reading.is_none() => zone.restart(),
                Step::StartReading(_) | Step::Restart => {}
            }
            prop_assert_eq!(zone.addresses(), model.addresses(), "after {:?}", step);
            let restored = zone.restored();
            prop_assert_eq!(restored.current().all_records(), zone.store.current().all_records());
            prop_assert_eq!(restored.snapshot().overlay, zone.store.snapshot().overlay);
        }
    }
}
