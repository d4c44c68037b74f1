//! The stored format, byte for byte, against files from an earlier version of the program. A change of the format would
//! make a log unreadable after an upgrade or a rollback.

use lynxtally_test_doubles::storage::MemoryStorage;
use lynxtally_wal::{Storage, WriteAheadLog};

/// The files of a log called `zone` with a snapshot and entries in two generations, in hexadecimal.
const FILES: [(&str, &str); 3] = [
    (
        "zone.0.log",
        "4c58544c4f47003105000000817217730000000000000000666972737400000000adcf14c50100000000000000140000\
         00cbd86b580200000000000000ffffffffffffffffffffffffffffffffffffffff",
    ),
    (
        "zone.1.log",
        "4c58544c4f470031060000006383a3190300000000000000666f75727468050000007f8b537904000000000000006669\
         667468",
    ),
    ("zone.1.snap", "4c5854534e500031090000002eaaeef10300000000000000616c6c207468726565"),
];

fn write_files() -> MemoryStorage {
    let mut storage = MemoryStorage::default();
    let (mut log, _) = WriteAheadLog::open(&mut storage, "zone").expect("the log is opened");
    for bytes in [&b"first"[..], b"", &[0xff; 20]] {
        log.append(bytes);
    }
    log.commit(&mut storage).expect("the write succeeds");
    let rotation = log.rotate();
    WriteAheadLog::write_snapshot(&mut storage, "zone", rotation, b"all three").expect("the write succeeds");
    log.append(b"fourth");
    log.commit(&mut storage).expect("the write succeeds");
    log.append(b"fifth");
    log.commit(&mut storage).expect("the write succeeds");
    storage
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).expect("hex")).collect()
}

#[test]
fn written_files_have_the_same_bytes_as_the_recorded_ones() {
    let mut storage = write_files();
    let files: Vec<(String, String)> = storage
        .list()
        .expect("the files are listed")
        .into_iter()
        .map(|file| {
            let bytes = storage.read(&file).expect("the file is read").expect("the file exists");
            (file, to_hex(&bytes))
        })
        .collect();
    let expected: Vec<(String, String)> =
        FILES.iter().map(|(file, bytes)| ((*file).to_owned(), (*bytes).to_owned())).collect();
    assert_eq!(files, expected);
}

#[test]
fn recorded_files_can_be_read() {
    let mut storage = MemoryStorage::default();
    for (file, hex) in FILES {
        storage.replace(file, &from_hex(hex)).expect("the write succeeds");
    }
    let (log, recovered) = WriteAheadLog::open(&mut storage, "zone").expect("the log is opened");
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"all three"[..]));
    assert_eq!(recovered.entries, [b"fourth".to_vec(), b"fifth".to_vec()]);
    assert!(recovered.torn_tail.is_none() && recovered.damage.is_empty());
    assert_eq!(log.next_number(), 5);
}
