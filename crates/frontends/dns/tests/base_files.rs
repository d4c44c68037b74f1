//! Which base files are deleted after a snapshot was written.

mod test_server;

use lynxtally_dns::base_files::{remove_mentioned, remove_unreferenced_bases};
use lynxtally_dns::server::open_state_folder;
use lynxtally_zones::change::Change;
use lynxtally_zones::zone_store::{encode, Snapshot};
use std::fs::File;
use std::io::{self, Read};
use std::time::{Duration, SystemTime};
use test_server::TempFolder;

/// Far more than a log entry needs, and far less than a log may have.
const MAX_READ_BYTES: usize = 256 * 1024;

/// A log, and the longest read of it.
struct CountingLog<'a> {
    rest: &'a [u8],
    longest_read: usize,
}

impl Read for CountingLog<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.longest_read = self.longest_read.max(buffer.len());
        self.rest.read(buffer)
    }
}

/// Guards against memory without a bound: whole logs were read, and copied as text, to look for the names of base files. A
/// name must be found wherever it lies.
#[test]
fn a_name_is_found_anywhere_in_a_log_that_is_not_read_at_once() {
    const NAME: &str = "example_org.0123456789abcdef.base";
    let length = 3 * MAX_READ_BYTES;
    let near_chunk_ends = (1..=11).flat_map(|chunk: usize| {
        let end = chunk * 64 * 1024;
        (end - NAME.len() - 1..=end + NAME.len() + 1).step_by(3)
    });
    for at in near_chunk_ends.chain([0, length - NAME.len()]) {
        let mut octets = vec![0xff; length];
        octets[at..at + NAME.len()].copy_from_slice(NAME.as_bytes());
        let mut log = CountingLog { rest: &octets, longest_read: 0 };
        let mut names = vec![NAME.to_owned(), "example_org.fedcba9876543210.base".to_owned()];
        remove_mentioned(&mut log, &mut names).expect("it can be read");
        assert_eq!(names, ["example_org.fedcba9876543210.base"], "at {at}");
        assert!(log.longest_read <= MAX_READ_BYTES, "{} octets at once", log.longest_read);
    }
}

fn snapshot_of(base: &str) -> Vec<u8> {
    let snapshot = Snapshot {
        form: 0,
        base: base.to_owned(),
        overlay: Change::default(),
        history: Vec::new(),
        known_updates: Vec::new(),
        leases: Vec::new(),
    };
    lynxtally_wal::encode_checksummed_file(1, &encode(&snapshot))
}

/// Only an old file that neither a snapshot nor a log mentions is deleted, and none if a snapshot can't be read.
#[test]
fn only_old_base_files_that_nothing_mentions_are_deleted() {
    let folder = TempFolder::new();
    let write = |file: &str, octets: &[u8], age: Duration| {
        let path = folder.0.join(file);
        std::fs::write(&path, octets).expect("written");
        let modified = SystemTime::now() - age;
        File::options().append(true).open(path).and_then(|file| file.set_modified(modified)).expect("set");
    };
    let (old, recent) = (Duration::from_secs(3600), Duration::ZERO);
    for (file, age) in [("z.a.base", old), ("z.b.base", old), ("z.c.base", old), ("z.d.base", recent)] {
        write(file, b"base", age);
    }
    write("y.a.base", b"of another zone", old);
    write("z.1.snap", &snapshot_of("z.a.base"), old);
    write("z.1.log", b"entry: z.b.base follows", old);
    let remaining = || {
        let names = ["y.a", "z.a", "z.b", "z.c", "z.d"];
        names.map(|name| folder.0.join(format!("{name}.base")).exists())
    };
    let mut storage = open_state_folder(&folder.0).expect("a folder");
    write("z.2.snap", b"damaged", recent);
    assert!(remove_unreferenced_bases(&folder.0, &mut storage, "z").is_err());
    assert_eq!(remaining(), [true; 5]);
    std::fs::remove_file(folder.0.join("z.2.snap")).expect("removed");
    remove_unreferenced_bases(&folder.0, &mut storage, "z").expect("all can be read");
    assert_eq!(remaining(), [true, true, true, false, true]);
}
