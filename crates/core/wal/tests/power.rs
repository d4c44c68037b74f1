//! Loss of power at every step and bit flips at every byte: acknowledged entries survive, or the damage is reported.

use lynxtally_test_doubles::storage::{MemoryStorage, UNSYNCED_OUTCOMES};
use lynxtally_wal::{Storage, StorageError, WriteAheadLog};

/// Appends 28 entries in batches of two, with a snapshot after every fourth batch, and returns how many were acknowledged.
/// The content of a snapshot is the number of entries before it.
fn write_entries(storage: &mut MemoryStorage) -> Result<u64, (u64, StorageError)> {
    let mut acknowledged = 0;
    let (mut log, recovered) = WriteAheadLog::open(storage, "z").map_err(|error| (0, error))?;
    assert!(recovered.entries.is_empty() && recovered.snapshot.is_none());
    for n in 0..14_u64 {
        log.append(format!("entry {}", 2 * n).as_bytes());
        log.append(&[b'x'; 100]);
        log.commit(storage).map_err(|error| (acknowledged, error))?;
        acknowledged = 2 * n + 2;
        if n % 4 == 3 {
            let rotation = log.rotate();
            let bytes = acknowledged.to_le_bytes();
            WriteAheadLog::write_snapshot(storage, "z", rotation, &bytes)
                .map_err(|error| (acknowledged, error))?;
        }
    }
    Ok(acknowledged)
}

/// Opens a log, checks its entries and returns their number, including those before the snapshot.
fn count_entries(storage: &mut MemoryStorage) -> (u64, WriteAheadLog) {
    let (log, recovered) = WriteAheadLog::open(storage, "z").expect("the log is opened");
    assert!(recovered.damage.is_empty(), "{:?}", recovered.damage);
    let snapshot_entries =
        recovered.snapshot.map_or(0, |bytes| u64::from_le_bytes(bytes.try_into().expect("8 bytes")));
    for (n, entry) in (snapshot_entries..).zip(&recovered.entries) {
        let expected = if n % 2 == 0 { format!("entry {n}").into_bytes() } else { vec![b'x'; 100] };
        assert_eq!(*entry, expected, "entry {n} is complete");
    }
    (snapshot_entries + recovered.entries.len() as u64, log)
}

/// The machine loses power at any step of writing, and any part of the unsynced bytes remains. All acknowledged entries
/// must be readable, no partial entry may be read, and the log must accept new entries.
#[test]
fn acknowledged_entries_survive_a_loss_of_power_at_any_step() {
    let mut intact = MemoryStorage::default();
    assert_eq!(write_entries(&mut intact).expect("no loss of power"), 28);
    for step in 0..intact.steps_taken {
        for unsynced in UNSYNCED_OUTCOMES {
            let mut storage = MemoryStorage::default();
            storage.lose_power_after(step, unsynced);
            let (acknowledged, _) = write_entries(&mut storage).expect_err("the power is lost");
            let mut storage = storage.restart();
            let (count, mut log) = count_entries(&mut storage);
            assert!(count >= acknowledged, "step {step} {unsynced:?}: {count} of {acknowledged}");
            assert!(count <= acknowledged + 2, "at most the batch in progress is there besides");
            // Appending continues after the recovered entries.
            log.append(if count % 2 == 0 { b"x" } else { b"y" });
            log.commit(&mut storage).expect("the entry is written");
            let (_, recovered) = WriteAheadLog::open(&mut storage, "z").expect("the log is opened");
            assert!(
                recovered.torn_tail.is_none() && recovered.damage.is_empty(),
                "the torn tail was truncated"
            );
        }
    }
}

/// A byte of a stored file changes. It must be reported as damage or as a torn tail, unless an older snapshot and its log
/// files replace the file, or the file is not needed any more.
#[test]
fn a_changed_byte_is_reported_or_replaced_by_an_older_snapshot() {
    let mut intact = MemoryStorage::default();
    write_entries(&mut intact).expect("no loss of power");
    let files: Vec<String> = intact
        .list()
        .expect("the files are listed")
        .into_iter()
        .filter(|file| intact.length(file) > 8)
        .collect();
    assert!(files.len() >= 3, "{files:?}");
    let (mut torn_tails, mut damages, mut replaced) = (0, 0, 0);
    for file in &files {
        for at in 0..intact.length(file) {
            let mut storage = intact.restart();
            storage.flip_bit(file, at);
            let (_, recovered) = WriteAheadLog::inspect(&mut storage, "z").expect("the log is read");
            let snapshot_entries = recovered.snapshot.as_ref().map_or(0, |bytes| bytes[0]);
            let count = u64::from(snapshot_entries) + recovered.entries.len() as u64;
            if !recovered.damage.is_empty() {
                damages += 1;
            } else if recovered.torn_tail.is_some() {
                torn_tails += 1;
            } else {
                // An older snapshot and its log files were used, or the file is not needed any more.
                assert_eq!(count, 28, "{file} at {at}: the changed byte was not detected");
                replaced += 1;
            }
        }
    }
    assert!(replaced > 0 && damages + torn_tails > 0, "{replaced} {damages} {torn_tails}");
}

/// A damaged entry that other entries follow must not be treated as a torn tail: truncating it would drop the acknowledged
/// entries after it.
#[test]
fn a_damaged_entry_in_the_middle_is_not_a_torn_tail() {
    let mut storage = MemoryStorage::default();
    let (mut log, _) = WriteAheadLog::open(&mut storage, "z").expect("the log is opened");
    for n in 0..5_u8 {
        log.append(&[n; 10]);
        log.commit(&mut storage).expect("the entry is written");
    }
    storage.flip_bit("z.0.log", 8 + 26 + 20);
    let (_, recovered) = WriteAheadLog::inspect(&mut storage, "z").expect("the log is read");
    assert_eq!((recovered.entries.len(), recovered.torn_tail), (1, None));
    let message = recovered.damage[0].to_string();
    assert_eq!(
        message,
        "z.0.log: at octet 34: the entry's checksum does not match, and later entries or log files follow"
    );
}
