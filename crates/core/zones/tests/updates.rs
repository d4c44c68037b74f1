//! Dynamic updates (RFC 2136), and the zone store across reloads, duplicates, expired leases and power losses.

use lynxtally::{Instant, Span};
use lynxtally_test_doubles::storage::{MemoryStorage, UNSYNCED_OUTCOMES};
use lynxtally_wal::{Rotation, WriteAheadLog};
use lynxtally_zones::change::{diff, Change};
use lynxtally_zones::update::{Grant, Scope, Update, UpdateClass, UpdateError, UpdateRecord};
use lynxtally_zones::zone_file::{self, ZoneFileLimits};
use lynxtally_zones::zone_store::{self, decode, encode, FreezeReason, ReloadError, Snapshot, ZoneStore};
use lynxtally_zones::{Name, RecordType, Serial, Zone};

fn name(text: &str) -> Name {
    Name::parse(text.as_bytes(), Some(&"example.org".parse().expect("a valid name"))).expect("a valid name")
}

fn zone(serial: u32, rest: &str) -> Zone {
    let text = format!("$TTL 300\n@ SOA ns host {serial} 3600 600 86400 60\n@ NS ns\nns A 192.0.2.1\n{rest}");
    let read =
        zone_file::read("z", text.as_bytes(), Some(&name("@")), ZoneFileLimits::default(), &mut |_| {
            Err("none".into())
        });
    assert_eq!((read.faults, read.unusable), (vec![], None));
    read.zone
}

fn raw(owner: &str, kind: RecordType, class: UpdateClass, ttl: u32, data: &[u8]) -> UpdateRecord {
    UpdateRecord { name: name(owner), kind, class, ttl, data: data.to_vec() }
}

fn a(last: u8) -> [u8; 4] {
    [192, 0, 2, last]
}

fn add(owner: &str, last: u8) -> UpdateRecord {
    raw(owner, RecordType::A, UpdateClass::Zone, 60, &a(last))
}

fn read(needs: &[UpdateRecord], edits: &[UpdateRecord]) -> Result<Update, UpdateError> {
    Update::read(&name("@"), needs, edits)
}

fn grants() -> Vec<Grant> {
    vec![
        Grant { key: "all.".parse().expect("a valid name"), scope: Scope::Tree(name("@")), kinds: vec![] },
        Grant {
            key: "a.".parse().expect("a valid name"),
            scope: Scope::Below(name("pool")),
            kinds: vec![RecordType::A],
        },
    ]
}

fn evaluate(
    zone: &Zone,
    needs: &[UpdateRecord],
    edits: &[UpdateRecord],
) -> Result<Option<Zone>, UpdateError> {
    let key: Name = "all.".parse().expect("a valid name");
    Ok(read(needs, edits)?.evaluate(zone, &grants(), Some(&key))?.map(|(next, _)| next))
}

#[test]
fn an_update_with_a_failed_prerequisite_changes_nothing() {
    use UpdateError::*;
    let zone = zone(1, "www A 192.0.2.2\nwww A 192.0.2.3\na.deep A 192.0.2.4\n");
    let (any, none, own) = (UpdateClass::Any, UpdateClass::None, UpdateClass::Zone);
    let need = |owner: &str, kind: RecordType, class, data: &[u8]| raw(owner, kind, class, 0, data);
    let exactly = [need("www", RecordType::A, own, &a(3)), need("www", RecordType::A, own, &a(2))];
    let cases: Vec<(Vec<UpdateRecord>, Result<(), UpdateError>)> = vec![
        (vec![need("www", RecordType::ANY, any, &[])], Ok(())),
        (vec![need("nobody", RecordType::ANY, any, &[])], Err(NameMissing)),
        (vec![need("deep", RecordType::ANY, any, &[])], Err(NameMissing)),
        (vec![need("nobody", RecordType::ANY, none, &[])], Ok(())),
        (vec![need("www", RecordType::ANY, none, &[])], Err(NameExists)),
        (vec![need("www", RecordType::A, any, &[])], Ok(())),
        (vec![need("www", RecordType::TXT, any, &[])], Err(SetMissing)),
        (vec![need("www", RecordType::TXT, none, &[])], Ok(())),
        (vec![need("www", RecordType::A, none, &[])], Err(SetExists)),
        (exactly.to_vec(), Ok(())),
        (exactly[..1].to_vec(), Err(SetMissing)),
        (vec![need("www", RecordType::A, own, &a(9))], Err(SetMissing)),
        (vec![need("x.elsewhere.test.", RecordType::A, any, &[])], Err(OutOfZone)),
        (vec![raw("www", RecordType::A, any, 5, &[])], Err(Malformed)),
        (vec![need("www", RecordType::A, any, &a(2))], Err(Malformed)),
        (vec![need("www", RecordType::A, UpdateClass::Other, &[])], Err(Malformed)),
        (vec![need("www", RecordType::A, own, &[1, 2, 3])], Err(Malformed)),
        (vec![need("www", RecordType::ANY, own, &[])], Err(Malformed)),
    ];
    for (needs, wanted) in cases {
        let done = evaluate(&zone, &needs, &[add("new", 5)]);
        assert_eq!(done.map(|next| assert!(next.is_some())), wanted, "{needs:?}");
    }
}

#[test]
fn operations_follow_rfc_2136_and_increase_the_serial() {
    let before = zone(u32::MAX, "www A 192.0.2.2\nwww TXT x\nalias CNAME www\n");
    let done = |edits: &[UpdateRecord]| evaluate(&before, &[], edits).expect("the update is accepted");
    let next = done(&[add("www", 7), raw("www", RecordType::TXT, UpdateClass::Any, 0, &[])])
        .expect("the update changes the zone");
    assert_eq!(next.serial(), Serial(0), "the serial wraps around");
    assert_eq!(next.set(&name("www"), RecordType::A).expect("the record set exists").count(), 2);
    assert_eq!(
        next.set(&name("www"), RecordType::A).expect("the record set exists").ttl,
        60,
        "the newest TTL applies to the set"
    );
    assert!(next.set(&name("www"), RecordType::TXT).is_none());
    assert!(done(&[raw("www", RecordType::ANY, UpdateClass::Any, 0, &[])])
        .expect("the update changes the zone")
        .node(name("www").wire())
        .is_none());
    let next =
        done(&[raw("www", RecordType::A, UpdateClass::None, 0, &a(2))]).expect("the update changes the zone");
    assert!(next.set(&name("www"), RecordType::A).is_none());
    // Operations on data that must stay are ignored, so nothing changes (RFC 2136 section 3.4.2).
    let ns = name("ns");
    for edits in [
        vec![raw("@", RecordType::NS, UpdateClass::None, 0, ns.wire())],
        vec![raw("@", RecordType::NS, UpdateClass::Any, 0, &[])],
        vec![raw("@", RecordType::ANY, UpdateClass::Any, 0, &[])],
        vec![add("alias", 1)],
        vec![raw("www", RecordType::CNAME, UpdateClass::Zone, 5, ns.wire())],
        vec![raw("nobody", RecordType::A, UpdateClass::Any, 0, &[])],
        vec![],
    ] {
        let key: Name = "all.".parse().expect("a valid name");
        let grants: Vec<Grant> = [RecordType::NS, RecordType::A, RecordType::CNAME]
            .map(|kind| Grant { key: key.clone(), scope: Scope::Tree(name("@")), kinds: vec![kind] })
            .into_iter()
            .chain(grants())
            .collect();
        let done =
            read(&[], &edits).expect("the update is well-formed").evaluate(&before, &grants, Some(&key));
        assert_eq!(done.map(|next| next.is_some()), Ok(false), "{edits:?}");
    }
    let alias = done(&[raw("alias", RecordType::CNAME, UpdateClass::Zone, 5, ns.wire())])
        .expect("the update changes the zone");
    assert_eq!(alias.set(&name("alias"), RecordType::CNAME).expect("the record set exists").count(), 1);
    for bad in [
        raw("www", RecordType::A, UpdateClass::Zone, 60, &[1, 2, 3]),
        raw("www", RecordType::AXFR, UpdateClass::Zone, 60, &[]),
        raw("www", RecordType::A, UpdateClass::Any, 60, &[]),
        raw("www", RecordType::A, UpdateClass::None, 60, &a(2)),
        raw("www", RecordType::A, UpdateClass::Other, 0, &[]),
    ] {
        assert_eq!(read(&[], std::slice::from_ref(&bad)), Err(UpdateError::Malformed), "{bad:?}");
    }
    assert_eq!(read(&[], &[add("x.elsewhere.test.", 1)]), Err(UpdateError::OutOfZone));
}

#[test]
fn a_key_changes_only_what_its_grants_cover() {
    let zone = zone(1, "x.pool A 192.0.2.2\n");
    let with = |key: &str, edit: UpdateRecord| {
        let key: Name = key.parse().expect("a valid name");
        read(&[], &[add("y.pool", 4), edit])
            .expect("the update is well-formed")
            .evaluate(&zone, &grants(), Some(&key))
            .map(|_| ())
    };
    assert_eq!(with("a.", add("x.pool", 3)), Ok(()));
    for edit in [add("pool", 3), add("x", 3), raw("x.pool", RecordType::TXT, UpdateClass::Zone, 1, b"\x01x")]
    {
        assert_eq!(with("a.", edit), Err(UpdateError::NotAllowed));
    }
    assert_eq!(
        with("a.", raw("x.pool", RecordType::ANY, UpdateClass::Any, 0, &[])),
        Err(UpdateError::NotAllowed)
    );
    assert_eq!(with("b.", add("x.pool", 3)), Err(UpdateError::NotAllowed));
    assert_eq!(
        with("all.", raw("@", RecordType::NS, UpdateClass::Any, 0, &[])),
        Err(UpdateError::NotAllowed),
        "NS needs a grant that names the type"
    );
}

fn at(secs: u64) -> Instant {
    Instant::from_micros(secs * 1_000_000)
}

fn update_id_from(update_id: u32) -> zone_store::UpdateId {
    let mut all = [0; 16];
    all[..4].copy_from_slice(&update_id.to_be_bytes());
    all
}

fn apply_update(
    store: &mut ZoneStore,
    secs: u64,
    edits: &[UpdateRecord],
    update_id: u32,
    lease: Option<u64>,
) -> zone_store::UpdateOutcome {
    let key: Name = "all.".parse().expect("a valid name");
    let update = read(&[], edits).expect("the update is well-formed");
    let lease = lease.map(|secs| Span::from_millis(secs * 1000));
    store.update(at(secs), &update, &grants(), Some(&key), Some(update_id_from(update_id)), lease)
}

/// Applies an update and makes its log entry durable at this position.
fn apply_durably(store: &mut ZoneStore, secs: u64, edits: &[UpdateRecord], number: u64) {
    let taken = apply_update(store, secs, edits, number as u32, None);
    store.entry_appended(number, &taken.entry.expect("the update changes the zone"));
    assert!(store.entries_durable(number));
}

fn new_store(zone: Zone) -> ZoneStore {
    ZoneStore::new(zone, "b".into(), zone_store::ZoneStoreLimits::default())
}

#[test]
fn an_update_comes_into_force_only_once_it_is_durable() {
    let mut store = new_store(zone(1, ""));
    let first = apply_update(&mut store, 0, &[add("a", 1)], 1, None);
    store.entry_appended(1, &first.entry.expect("the update changes the zone"));
    let second = apply_update(&mut store, 0, &[add("b", 2)], 2, None);
    store.entry_appended(2, &second.entry.expect("the update changes the zone"));
    assert_eq!(
        (store.current().serial(), second.result, store.respond_after()),
        (Serial(1), Ok(Serial(3)), 2)
    );
    assert!(store.entries_durable(1));
    assert!(
        store.current().node(name("a").wire()).is_some() && store.current().node(name("b").wire()).is_none()
    );
    assert!(store.entries_durable(2) && store.is_durable());
    assert_eq!(store.changes_since(Serial(1)).expect("the history reaches back to the serial").len(), 2);
    assert!(
        store.changes_since(Serial(9)).is_none()
            && store.changes_since(Serial(3)).expect("the serial in force has no later changes").is_empty()
    );
    // After a log failure, changes that were not durable never come into force and updates are refused.
    let third = apply_update(&mut store, 0, &[add("c", 3)], 3, None);
    store.entry_appended(3, &third.entry.expect("the update changes the zone"));
    store.log_failed("the disk is gone".into());
    assert!(!store.entries_durable(3) && store.current().node(name("c").wire()).is_none());
    assert_eq!(apply_update(&mut store, 0, &[add("d", 4)], 4, None).result, Err(UpdateError::Frozen));
    assert!(!store.thaw(), "an operator can't thaw a zone whose log failed");
}

/// Guards against memory without a bound: a client replaces one large record again and again, and the change history holds
/// each of its versions until there are 100,000 records.
#[test]
fn the_change_history_is_limited_by_its_memory() {
    const UPDATES: u32 = 400;
    let text = |number: u32| -> Vec<u8> {
        let part = [&[255], &number.to_be_bytes().repeat(64)[..255]].concat();
        part.repeat(200)
    };
    let mut store = new_store(zone(1, ""));
    for number in 1..=UPDATES {
        let delete = raw("a", RecordType::TXT, UpdateClass::Any, 0, &[]);
        let add = raw("a", RecordType::TXT, UpdateClass::Zone, 60, &text(number));
        apply_durably(&mut store, 0, &[delete, add], number.into());
    }
    let last = store.current().serial();
    let max_bytes = zone_store::ZoneStoreLimits::default().max_history_bytes;
    let reachable = (0..UPDATES).map_while(|back| store.changes_since(Serial(last.0 - back)));
    let changes = reachable.last().expect("the newest version is known");
    let data_bytes = |change: &Change| -> usize {
        change.removed.iter().chain(&change.added).map(|record| record.data.len()).sum()
    };
    let bytes: usize = changes.iter().map(|change| data_bytes(change)).sum();
    assert!(bytes <= max_bytes && bytes > max_bytes * 9 / 10, "{bytes} bytes in {} changes", changes.len());
}

/// Guards against memory without a bound: the number of records is limited, but not what each of them takes. A zone that is
/// too large can still be made smaller, and what was deleted may be added again.
#[test]
fn an_update_that_makes_a_zone_take_too_much_memory_is_refused() {
    const MAX_BYTES: usize = 100_000;
    let limits =
        zone_store::ZoneStoreLimits { max_zone_bytes: MAX_BYTES, ..zone_store::ZoneStoreLimits::default() };
    let mut store = ZoneStore::new(zone(1, ""), "b".into(), limits);
    let empty_bytes = store.current().memory_bytes();
    let text = [&[255][..], &[b'x'; 255]].concat().repeat(40);
    let add_text = |owner: &str| raw(owner, RecordType::TXT, UpdateClass::Zone, 60, &text);
    let delete_text = |owner: &str| raw(owner, RecordType::TXT, UpdateClass::Any, 0, &[]);
    let fitting = (MAX_BYTES - empty_bytes) / (text.len() + 400);
    for number in 0..fitting {
        apply_durably(&mut store, 0, &[add_text(&format!("t{number}"))], number as u64 + 1);
    }
    let refused = apply_update(&mut store, 0, &[add_text("last"), add("a", 1)], 1000, None);
    assert_eq!((refused.result, refused.entry.is_none()), (Err(UpdateError::NotAllowed), true));
    assert!(store.current().memory_bytes() <= MAX_BYTES);
    apply_durably(&mut store, 0, &[delete_text("t0"), add_text("last")], 1001);
    let mut deletions: Vec<UpdateRecord> = (1..fitting).map(|n| delete_text(&format!("t{n}"))).collect();
    deletions.push(delete_text("last"));
    apply_durably(&mut store, 0, &deletions, 1002);
    assert_eq!(store.current().memory_bytes(), empty_bytes);
}

#[test]
fn a_duplicate_gets_the_result_of_the_first_attempt() {
    let mut store = new_store(zone(1, ""));
    let need = [raw("a", RecordType::ANY, UpdateClass::None, 0, &[])];
    let key: Name = "all.".parse().expect("a valid name");
    let once = read(&need, &[add("a", 1)]).expect("the update is well-formed");
    let mut apply_update = |secs: u64, update_id: u32| {
        store.update(at(secs), &once, &grants(), Some(&key), Some(update_id_from(update_id)), None)
    };
    let first = apply_update(0, 1);
    assert!(first.entry.is_some() && first.result == Ok(Serial(2)));
    for secs in [0, 1, 299] {
        let again = apply_update(secs, 1);
        assert!(again.duplicate && again.entry.is_none() && again.result == Ok(Serial(2)));
    }
    assert_eq!(
        apply_update(5, 2).result,
        Err(UpdateError::NameExists),
        "another identifier is evaluated anew"
    );
    assert_eq!(apply_update(301, 1).result, Err(UpdateError::NameExists), "the identifier expired");
}

#[test]
fn updates_accepted_during_a_reload_are_kept() {
    let mut store = new_store(zone(10, "a A 192.0.2.2\nb A 192.0.2.3\n"));
    apply_durably(&mut store, 0, &[add("dyn", 7), add("a", 8)], 1);
    // While the reload is prepared, the zone accepts more updates. The file drops b, adds c and changes a.
    let ready = store
        .reload_input()
        .prepare(zone(11, "a A 192.0.2.9\nc A 192.0.2.4\n"))
        .expect("the file's serial is newer");
    apply_durably(&mut store, 1, &[add("late", 5), raw("dyn", RecordType::A, UpdateClass::Any, 0, &[])], 2);
    let before = store.current().clone();
    let (entry, conflicts, _) = store.reload("b2".into(), ready);
    store.entry_appended(3, &entry);
    assert!(store.entries_durable(3));
    let live = store.current().clone();
    let there = |owner: &str| {
        live.set(&name(owner), RecordType::A).map(|set| set.records().map(<[u8]>::to_vec).collect())
    };
    assert_eq!(there("late"), Some(vec![a(5).to_vec()]));
    assert_eq!((there("dyn"), there("b")), (None::<Vec<Vec<u8>>>, None));
    assert_eq!(
        there("a"),
        Some(vec![a(8).to_vec(), a(9).to_vec()]),
        "the update is applied to the file's records"
    );
    assert_eq!(there("c"), Some(vec![a(4).to_vec()]));
    assert_eq!(conflicts.iter().map(|c| c.name.clone()).collect::<Vec<_>>(), [name("a")]);
    assert_eq!(live.serial(), Serial(13), "the serial never decreases, even if the file has a lower one");
    // Applying the changes since the version before the reload yields the same version.
    let steps = store.changes_since(before.serial()).expect("the history reaches back to the serial");
    let followed = steps
        .iter()
        .try_fold((*before).clone(), |zone, change| change.apply(&zone))
        .expect("the changes apply");
    assert!(diff(&followed, &live).is_empty());
    // A file with a lower serial is rejected and the error has both serials; an unchanged file is rejected too.
    let lower = store.reload_input().prepare(zone(9, "")).expect_err("it is older");
    assert_eq!(lower, ReloadError::SerialNotNewer { file: Serial(9), before: Serial(11) });
    assert!(lower.to_string().contains("serial 9") && lower.to_string().contains("than 11"));
    assert_eq!(
        store.reload_input().prepare(store.base().clone()).expect_err("the same"),
        ReloadError::Unchanged
    );
}

/// A zone store with its log on a simulated disk.
struct StoreOnDisk {
    store: ZoneStore,
    journal: WriteAheadLog,
    disk: MemoryStorage,
}

type StorageError = lynxtally_wal::StorageError;

impl StoreOnDisk {
    fn base(disk: &mut MemoryStorage, file: &str) -> Option<Zone> {
        use lynxtally_wal::Storage;
        let octets = disk.read(file).ok()??;
        zone_store::decode_base(lynxtally_wal::decode_checksummed_file(&octets)?.content)
    }

    fn open(mut disk: MemoryStorage) -> Result<Self, (StorageError, MemoryStorage)> {
        let (mut journal, found) = match WriteAheadLog::open(&mut disk, "z") {
            Ok(opened) => opened,
            Err(fault) => return Err((fault, disk)),
        };
        assert!(found.damage.is_empty(), "{:?}", found.damage);
        let store = match found.snapshot {
            Some(octets) => {
                let snapshot: Snapshot = decode(&octets).expect("a decodable snapshot");
                let base = Self::base(&mut disk, &snapshot.base).expect("the base file is valid");
                let mut store =
                    ZoneStore::restore(at(0), base, snapshot, zone_store::ZoneStoreLimits::default())
                        .expect("the change applies");
                for entry in &found.entries {
                    let base = |file: &str| Self::base(&mut disk, file);
                    store
                        .replay(at(0), decode(entry).expect("a decodable log entry"), base)
                        .expect("the change applies");
                }
                store
            }
            None => {
                assert!(found.entries.is_empty(), "nothing is added before the first snapshot");
                let store = new_store(zone(1, "a A 192.0.2.2\nb A 192.0.2.3\n"));
                let rotation = journal.rotate();
                let written = Self::write_base(&mut disk, "b", store.base()).and_then(|()| {
                    WriteAheadLog::write_snapshot(&mut disk, "z", rotation, &encode(&store.snapshot()))
                });
                if let Err(fault) = written {
                    return Err((fault, disk));
                }
                store
            }
        };
        Ok(Self { store, journal, disk })
    }

    fn write_base(disk: &mut MemoryStorage, file: &str, zone: &Zone) -> Result<(), StorageError> {
        use lynxtally_wal::Storage;
        let octets = lynxtally_wal::encode_checksummed_file(0, &zone_store::encode_base(zone));
        disk.replace(file, &octets).map_err(|why| StorageError { file: file.into(), source: why })
    }

    fn log(&mut self, entry: &zone_store::ZoneLogEntry) -> Result<(), StorageError> {
        let number = self.journal.append(&encode(entry));
        self.store.entry_appended(number + 1, entry);
        self.journal.commit(&mut self.disk)?;
        assert!(self.store.entries_durable(number + 1));
        Ok(())
    }

    fn update(&mut self, n: u8) -> Result<(), StorageError> {
        let taken = apply_update(
            &mut self.store,
            0,
            &[add(&format!("n{n}"), n)],
            n.into(),
            n.is_multiple_of(3).then_some(60),
        );
        if let Some(entry) = taken.entry {
            self.log(&entry)?;
        }
        Ok(())
    }

    fn reread(&mut self, file: &str, new: Zone) -> Result<(), StorageError> {
        let Ok(ready) = self.store.reload_input().prepare(new) else { return Ok(()) };
        Self::write_base(&mut self.disk, file, &ready.base)?;
        let (entry, ..) = self.store.reload(file.into(), ready);
        self.log(&entry)
    }

    fn compact(&mut self) -> Result<(), StorageError> {
        let rotation: Rotation = self.journal.rotate();
        WriteAheadLog::write_snapshot(&mut self.disk, "z", rotation, &encode(&self.store.snapshot()))
    }

    /// Applies twelve updates with two snapshots and a reload in between; collects the acknowledged updates.
    fn run_updates(&mut self, acknowledged: &mut Vec<u8>) -> Result<(), StorageError> {
        for n in 1..=12 {
            match n {
                4 | 9 => self.compact()?,
                6 => self.reread("b2", zone(50, "a A 192.0.2.9\nc A 192.0.2.4\n"))?,
                _ => {}
            }
            self.update(n)?;
            acknowledged.push(n);
        }
        Ok(())
    }
}

#[test]
fn a_power_loss_at_any_write_loses_no_acknowledged_update() {
    let mut whole =
        StoreOnDisk::open(MemoryStorage::default()).map_err(|(fault, _)| fault).expect("no power loss");
    whole.run_updates(&mut Vec::new()).expect("no power loss");
    let steps = whole.disk.steps_taken;
    assert!(steps > 30, "{steps}");
    for step in 0..steps {
        for left in UNSYNCED_OUTCOMES {
            let mut disk = MemoryStorage::default();
            disk.lose_power_after(step, left);
            let mut acknowledged = Vec::new();
            let disk = match StoreOnDisk::open(disk) {
                Ok(mut kept) => {
                    kept.run_updates(&mut acknowledged).expect_err("a power loss");
                    kept.disk
                }
                Err((_, disk)) => disk,
            };
            let mut back = StoreOnDisk::open(disk.restart())
                .map_err(|(fault, _)| fault)
                .expect("the log opens after a power loss");
            let there = |kept: &StoreOnDisk, n: u8| {
                kept.store.current().node(name(&format!("n{n}")).wire()).is_some()
            };
            for n in &acknowledged {
                assert!(there(&back, *n), "step {step} {left:?}: update {n} is lost");
            }
            let next = acknowledged.len() as u8 + 1;
            assert!((next + 1..13).all(|n| !there(&back, n)), "an update that was not sent must not exist");
            assert!(next < 7 || there(&back, 12) || back.store.current().node(name("c").wire()).is_some());
            // The last acknowledged update is recognized as a duplicate, and the remaining updates yield the same zone.
            if let Some(n) = acknowledged.last() {
                assert!(
                    apply_update(&mut back.store, 1, &[add(&format!("n{n}"), *n)], (*n).into(), None)
                        .duplicate
                );
            }
            back.run_updates(&mut Vec::new()).expect("no power loss");
            let (one, other) = (whole.store.current(), back.store.current());
            let differ = diff(one, other);
            let but_serial =
                differ.added.iter().chain(&differ.removed).filter(|record| record.kind != RecordType::SOA);
            assert_eq!(
                but_serial.collect::<Vec<_>>(),
                Vec::<&lynxtally_zones::Record>::new(),
                "step {step} {left:?}"
            );
        }
    }
}

#[test]
fn expired_leases_remove_a_fraction_at_a_time_and_never_the_last_address() {
    let mut store = new_store(zone(1, ""));
    for n in 1..=9 {
        let taken = apply_update(&mut store, 0, &[add("pool", n)], n.into(), Some(100));
        assert_eq!(taken.lease, Some(Span::from_millis(100_000)));
    }
    // Leases of other names are renewed throughout, so the path to the clients is not suspected.
    let mut update_id = 10;
    let mut counts = Vec::new();
    for secs in (0..2000).step_by(10) {
        for n in 0..20 {
            update_id += 1;
            apply_update(&mut store, secs, &[add(&format!("well{n}"), 1)], update_id, Some(100));
        }
        store.expire_leases(at(secs));
        counts.push(
            store
                .latest()
                .set(&name("pool"), RecordType::A)
                .expect("the last address is never removed")
                .count(),
        );
    }
    assert_eq!((counts[9], counts[10]), (9, 6), "a third of the addresses is removed first");
    assert!(counts.windows(2).all(|two| two[1] <= two[0] && two[0] - two[1] <= 3), "{counts:?}");
    assert_eq!(counts.last(), Some(&1), "{counts:?}");
    assert_eq!(
        store.latest().set(&name("well3"), RecordType::A).expect("the renewed record exists").count(),
        1
    );
}

#[test]
fn no_record_is_removed_while_the_path_to_the_clients_is_suspect() {
    let mut store = new_store(zone(1, ""));
    let renew = |store: &mut ZoneStore, secs: u64| {
        for n in 0..20_u8 {
            apply_update(
                store,
                secs,
                &[add(&format!("n{n}"), 1)],
                secs as u32 * 20 + u32::from(n),
                Some(100),
            );
        }
    };
    (0..10).for_each(|turn| renew(&mut store, turn * 10));
    let names = store.latest().name_count();
    let turned: Vec<bool> =
        (100..1000).step_by(10).filter_map(|secs| store.expire_leases(at(secs)).1.suspect_changed).collect();
    assert_eq!((turned, store.latest().name_count()), (vec![true], names));
    assert!(store.leases().suspect_since().is_some());
    // All but three leases are renewed again, so the path is trusted. The three records stay: each is the last
    // address of its name.
    let mut turned = Vec::new();
    for secs in (1000..2600).step_by(10) {
        for n in 3..20_u8 {
            apply_update(
                &mut store,
                secs,
                &[add(&format!("n{n}"), 1)],
                secs as u32 * 20 + u32::from(n),
                Some(100),
            );
        }
        turned.extend(store.expire_leases(at(secs)).1.suspect_changed);
    }
    assert_eq!(turned, [false]);
    assert!((0..20).all(|n| store.latest().node(name(&format!("n{n}")).wire()).is_some()));
    // A frozen zone expires no leases. A leased record that is added without a lease becomes permanent.
    store.freeze(FreezeReason::Operator);
    assert_eq!(store.expire_leases(at(9000)).0, None);
    assert!(store.thaw());
    let taken = apply_update(&mut store, 2600, &[add("n5", 1)], 9, None);
    assert!(matches!(taken.entry, Some(zone_store::ZoneLogEntry::Kept(_))));
}
