//! The stored format, octet for octet: files as the program wrote them before its parts were renamed.

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

fn write() -> MemoryStorage {
    let mut storage = MemoryStorage::default();
    let (mut log, _) = WriteAheadLog::open(&mut storage, "zone").expect("it opens");
    for octets in [&b"first"[..], b"", &[0xff; 20]] {
        log.append(octets);
    }
    log.commit(&mut storage).expect("it is written");
    let rotation = log.rotate();
    WriteAheadLog::write_snapshot(&mut storage, "zone", rotation, b"all three").expect("it is written");
    log.append(b"fourth");
    log.commit(&mut storage).expect("it is written");
    log.append(b"fifth");
    log.commit(&mut storage).expect("it is written");
    storage
}

fn hex(octets: &[u8]) -> String {
    octets.iter().map(|octet| format!("{octet:02x}")).collect()
}

fn octets(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).expect("hex")).collect()
}

#[test]
fn what_is_written_has_the_same_octets_as_ever() {
    let mut storage = write();
    let files: Vec<(String, String)> = storage
        .list()
        .expect("it lists")
        .into_iter()
        .map(|file| {
            let octets = storage.read(&file).expect("it reads").expect("it is there");
            (file, hex(&octets))
        })
        .collect();
    let expected: Vec<(String, String)> =
        FILES.iter().map(|(file, octets)| ((*file).to_owned(), (*octets).to_owned())).collect();
    assert_eq!(files, expected);
}

#[test]
fn what_was_written_before_is_read() {
    let mut storage = MemoryStorage::default();
    for (file, hex) in FILES {
        storage.replace(file, &octets(hex)).expect("it is written");
    }
    let (log, found) = WriteAheadLog::open(&mut storage, "zone").expect("it opens");
    assert_eq!(found.snapshot.as_deref(), Some(&b"all three"[..]));
    assert_eq!(found.entries, [b"fourth".to_vec(), b"fifth".to_vec()]);
    assert!(found.torn_tail.is_none() && found.damage.is_empty());
    assert_eq!(log.next_number(), 5);
}
