//! Power is lost at every step of a log's life, and bits flip: what was acknowledged is there.

use lynxtally_test_doubles::storage::{MemoryStorage, UNSYNCED};
use lynxtally_wal::{Storage, StorageError, WriteAheadLog};

/// Adds entries, two a batch, with a snapshot on the way; tells how many were acknowledged. A snapshot holds
/// the count of entries before it.
fn work(storage: &mut MemoryStorage) -> Result<u64, (u64, StorageError)> {
    let mut acknowledged = 0;
    let (mut log, found) = WriteAheadLog::open(storage, "z").map_err(|fault| (0, fault))?;
    assert!(found.entries.is_empty() && found.snapshot.is_none());
    for n in 0..14_u64 {
        log.append(format!("entry {}", 2 * n).as_bytes());
        log.append(&[b'x'; 100]);
        log.commit(storage).map_err(|fault| (acknowledged, fault))?;
        acknowledged = 2 * n + 2;
        if n % 4 == 3 {
            let rotation = log.rotate();
            let octets = acknowledged.to_le_bytes();
            WriteAheadLog::write_snapshot(storage, "z", rotation, &octets)
                .map_err(|fault| (acknowledged, fault))?;
        }
    }
    Ok(acknowledged)
}

/// How many entries a log holds, with those before its snapshot.
fn held(storage: &mut MemoryStorage) -> (u64, WriteAheadLog) {
    let (log, found) = WriteAheadLog::open(storage, "z").expect("it opens");
    assert!(found.damage.is_empty(), "{:?}", found.damage);
    let before = found.snapshot.map_or(0, |octets| u64::from_le_bytes(octets.try_into().expect("eight")));
    for (n, entry) in (before..).zip(&found.entries) {
        let whole = if n % 2 == 0 { format!("entry {n}").into_bytes() } else { vec![b'x'; 100] };
        assert_eq!(*entry, whole, "no half of one");
    }
    (before + found.entries.len() as u64, log)
}

/// The machine loses power while a log is written, at any step, with any part of the unsynced bytes left. What was
/// acknowledged is there, nothing half written is read, and the log goes on.
#[test]
fn whatever_was_acknowledged_is_there_after_a_loss_of_power_at_any_step() {
    let mut whole = MemoryStorage::default();
    assert_eq!(work(&mut whole).expect("the power stays"), 28);
    for step in 0..whole.steps_taken {
        for unsynced in UNSYNCED {
            let mut storage = MemoryStorage::default();
            storage.lose_power_after(step, unsynced);
            let (acknowledged, _) = work(&mut storage).expect_err("the power goes");
            let mut storage = storage.restart();
            let (count, mut log) = held(&mut storage);
            assert!(count >= acknowledged, "step {step} {unsynced:?}: {count} of {acknowledged}");
            assert!(count <= acknowledged + 2, "nothing is there that was not written");
            // It goes on from there.
            log.append(if count % 2 == 0 { b"x" } else { b"y" });
            log.commit(&mut storage).expect("it goes on");
            let (_, found) = WriteAheadLog::open(&mut storage, "z").expect("it opens");
            assert!(found.torn_tail.is_none() && found.damage.is_empty(), "what was cut off is gone");
        }
    }
}

/// One bit of a file flips on the storage. It is reported, or an older snapshot and its logs stand in for it.
#[test]
fn any_flipped_octet_is_found_and_named() {
    let mut whole = MemoryStorage::default();
    work(&mut whole).expect("the power stays");
    let logs: Vec<String> =
        whole.list().expect("it lists").into_iter().filter(|file| whole.length(file) > 8).collect();
    assert!(logs.len() >= 3, "{logs:?}");
    let (mut cuts, mut damages, mut by_older) = (0, 0, 0);
    for file in &logs {
        for at in 0..whole.length(file) {
            let mut storage = whole.restart();
            storage.flip(file, at);
            let (_, found) = WriteAheadLog::inspect(&mut storage, "z").expect("it looks");
            let before = found.snapshot.as_ref().map_or(0, |octets| octets[0]);
            let count = u64::from(before) + found.entries.len() as u64;
            if !found.damage.is_empty() {
                damages += 1;
            } else if found.torn_tail.is_some() {
                cuts += 1;
            } else {
                // An older snapshot and its logs stand in, or the file is not needed any more.
                assert_eq!(count, 28, "{file} at {at}: a flipped octet went by");
                by_older += 1;
            }
        }
    }
    assert!(by_older > 0 && damages + cuts > 0, "{by_older} {damages} {cuts}");
}

/// An acknowledged entry is damaged and others follow it. It must not pass for a write that broke off, which would drop
/// those that follow.
#[test]
fn an_entry_missing_in_the_middle_is_damage_and_not_an_end() {
    let mut storage = MemoryStorage::default();
    let (mut log, _) = WriteAheadLog::open(&mut storage, "z").expect("it opens");
    for n in 0..5_u8 {
        log.append(&[n; 10]);
        log.commit(&mut storage).expect("it is written");
    }
    storage.flip("z.0.log", 8 + 26 + 20);
    let (_, found) = WriteAheadLog::inspect(&mut storage, "z").expect("it looks");
    assert_eq!((found.entries.len(), found.torn_tail), (1, None));
    let said = found.damage[0].to_string();
    assert_eq!(said, "z.0.log: at octet 34: an entry whose checksum is wrong, with more behind it");
}
