//! Stored formats of a zone's log, snapshot and base file. The fixtures were written before the types were renamed.
//!
//! An upgraded server reads what the older one wrote, and after a rollback the older one reads what the newer one wrote.
//! So each kind of entry, the snapshot and the base file must decode to the same values and encode to the same octets.
//! The format contains no names: it depends on the order of fields and variants.

use lynxtally::{Instant, Span};
use lynxtally_zones::change::Change;
use lynxtally_zones::update::UpdateError;
use lynxtally_zones::zone_store::{
    decode, decode_base, encode, encode_base, Snapshot, ZoneLogEntry, ZoneStore, ZoneStoreLimits,
    FORMAT_VERSION,
};
use lynxtally_zones::{Name, Record, RecordType, Serial, Zone};

/// Reads a fixture: each line is one encoded value in hexadecimal digits.
fn fixture(file: &str) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the fixture is readable");
    let octet = |pair: &[u8]| {
        u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hexadecimal digits")
    };
    text.lines().map(|line| line.as_bytes().chunks(2).map(octet).collect()).collect()
}

fn name(text: &str) -> Name {
    Name::parse(text.as_bytes(), Some(&"example.org".parse().expect("a valid name"))).expect("a valid name")
}

fn address(owner: &str, ttl: u32, last: u8) -> Record {
    Record { name: name(owner), kind: RecordType::A, ttl, data: vec![192, 0, 2, last] }
}

/// The SOA record with this serial.
fn soa(serial: u32) -> Record {
    let mut data = [name("ns").wire(), name("host").wire()].concat();
    for number in [serial, 3600, 600, 86_400, 60] {
        data.extend_from_slice(&u32::to_be_bytes(number));
    }
    Record { name: name("@"), kind: RecordType::SOA, ttl: 300, data }
}

fn base() -> Zone {
    let mut zone = Zone::new(name("@"));
    let server = Record { name: name("@"), kind: RecordType::NS, ttl: 300, data: name("ns").wire().to_vec() };
    let text = Record { name: name("www"), kind: RecordType::TXT, ttl: 77, data: b"\x05hello".to_vec() };
    for record in [soa(1), server, address("ns", 300, 1), address("www", 300, 2), text] {
        zone.add(&record).expect("the change applies");
    }
    zone
}

/// A change that increments the serial and replaces one address by another.
fn change(from: u32, gone: u8, fresh: u8) -> Change {
    Change {
        from: Serial(from),
        to: Serial(from + 1),
        removed: vec![soa(from), address("www", 300, gone)],
        added: vec![soa(from + 1), address("www", 60, fresh)],
    }
}

/// Entries of every kind, with optional parts present and absent.
fn entries() -> Vec<ZoneLogEntry> {
    let held = (name("n7.pool"), RecordType::A, vec![192, 0, 2, 7]);
    vec![
        ZoneLogEntry::Changed {
            change: change(1, 2, 3),
            update_id: Some([0xa5; 16]),
            lease: 600,
            kept: vec![held.clone()],
        },
        ZoneLogEntry::Changed { change: change(2, 3, 4), update_id: None, lease: 0, kept: vec![] },
        ZoneLogEntry::Kept(vec![held]),
        ZoneLogEntry::Based {
            base: "example.org.2.base".to_owned(),
            serial: Serial(9),
            since: change(3, 4, 5),
        },
        ZoneLogEntry::Followed { base: "example.org.3.base".to_owned() },
    ]
}

/// A snapshot with every field filled and with every refusal among the known updates.
fn snapshot() -> Snapshot {
    use UpdateError::*;
    let refusals =
        [Malformed, OutOfZone, NameMissing, NameExists, SetMissing, SetExists, NotAllowed, Frozen].map(Err);
    let results = std::iter::once(Ok(Serial(2))).chain(refusals);
    Snapshot {
        form: FORMAT_VERSION,
        base: "example.org.1.base".to_owned(),
        overlay: change(1, 2, 3),
        history: vec![change(0, 1, 2), change(1, 2, 3)],
        known_updates: (1..).zip(results).map(|(update_id, result)| ([update_id; 16], result)).collect(),
        leases: vec![(name("www"), RecordType::A, vec![192, 0, 2, 3], 600)],
    }
}

#[test]
fn the_encoding_of_log_entries_is_stable() {
    let stored = fixture("entries.hex");
    assert_eq!(stored.len(), entries().len());
    for (octets, entry) in stored.iter().zip(entries()) {
        assert_eq!(decode::<ZoneLogEntry>(octets).expect("a decodable log entry"), entry);
        assert_eq!(encode(&entry), *octets, "{entry:?}");
    }
}

#[test]
fn the_encoding_of_the_snapshot_is_stable() {
    let stored = fixture("snapshot.hex").remove(0);
    assert_eq!(decode::<Snapshot>(&stored).expect("a decodable snapshot"), snapshot());
    assert_eq!(encode(&snapshot()), stored);
    // A store that is restored from the snapshot encodes the same snapshot again.
    let start = Instant::from_micros(0);
    let store = ZoneStore::restore(start, base(), snapshot(), ZoneStoreLimits::default())
        .expect("the change applies");
    assert_eq!(store.current().serial(), Serial(2));
    assert_eq!(encode(&store.snapshot()), stored);
}

#[test]
fn the_encoding_of_the_base_file_is_stable() {
    let stored = fixture("base.hex").remove(0);
    let read = decode_base(&stored).expect("a decodable base");
    assert_eq!(read.all_records(), base().all_records());
    assert_eq!(encode_base(&read), stored);
}

/// Guards the effect of each entry on the restored state: a server continues from its log after a restart.
#[test]
fn replaying_the_log_restores_the_same_state() {
    let start = Instant::from_micros(0);
    let mut store = ZoneStore::restore(start, base(), snapshot(), ZoneStoreLimits::default())
        .expect("the change applies");
    let mut log = vec![
        ZoneLogEntry::Changed {
            change: change(2, 3, 4),
            update_id: Some([0xa5; 16]),
            lease: 600,
            kept: vec![],
        },
        ZoneLogEntry::Kept(vec![(name("www"), RecordType::A, vec![192, 0, 2, 4])]),
    ];
    for entry in log.drain(..) {
        let octets = encode(&entry);
        store
            .replay(start, decode(&octets).expect("a decodable log entry"), |_| None)
            .expect("the change applies");
    }
    assert_eq!(encode(&store.snapshot()), fixture("replayed.hex").remove(0));
    let first = fixture("entries.hex").remove(0);
    let misfit =
        store.replay(start + Span::from_millis(1), decode(&first).expect("a decodable log entry"), |_| None);
    assert!(misfit.is_err(), "an entry that starts from another serial is rejected");
}
