//! The folder of uploads that can be gone on with, written by the program before its types were renamed.
//!
//! A server that is upgraded reads what the one before it wrote, and one that is rolled back reads what the newer one
//! wrote: its files are read to the same uploads and written again octet for octet.

use lynxtally_flow::uploads::{Entry, Upload, UploadId, UploadLimits};
use lynxtally_net::sync::lock;
use lynxtally_stream::upload_archive::{PendingOperation, UploadArchive};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMITS: UploadLimits = UploadLimits { each: 1 << 20, all: 1 << 20, keep: 60 };

/// The octets of an upload, as far as they are here.
const OCTETS: &[u8] = b"the hour meter of tractor 17 stands at 4211.5\n";

/// A folder that goes with its test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lynxtally-stored-{}-{name}", std::process::id()));
        // One may be left of a test that failed.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    /// One with a copy of a fixture's files.
    fn with(name: &str, fixture: &str) -> Self {
        let folder = Self::new(name);
        for (file, octets) in files(&fixture_folder(fixture)) {
            std::fs::write(folder.0.join(file), octets).expect("a file");
        }
        folder
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fixture_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// All files of a folder, by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry"));
    entries
        .map(|entry| {
            let name = entry.file_name().into_string().expect("UTF-8");
            (name, std::fs::read(entry.path()).expect("a file"))
        })
        .collect()
}

/// An upload that begins: nothing of it is here yet.
fn begun(customer: &str, length: Option<u64>) -> Upload {
    Upload {
        customer: customer.to_owned(),
        what: b"PUT /logs/17 HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        length,
        offset: 0,
        sum: 0,
        touched: 1_700_000_000,
        whole: false,
    }
}

fn moved(id: UploadId, octets: &[u8], whole: bool) -> Entry {
    Entry::Moved {
        id,
        offset: octets.len() as u64,
        sum: crc32c::crc32c(octets),
        touched: 1_700_000_060,
        whole,
    }
}

/// The uploads that the fixture holds, by name.
fn uploads() -> BTreeMap<UploadId, Upload> {
    let part = Upload {
        offset: 20,
        sum: crc32c::crc32c(&OCTETS[..20]),
        touched: 1_700_000_060,
        ..begun("acme", Some(OCTETS.len() as u64))
    };
    let whole = Upload {
        offset: OCTETS.len() as u64,
        sum: crc32c::crc32c(OCTETS),
        touched: 1_700_000_060,
        whole: true,
        ..begun("", None)
    };
    BTreeMap::from([(0x17, part), (0xfeed_0000_0000_0001, whole)])
}

fn done(job: &PendingOperation) {
    let since = Instant::now();
    loop {
        if let Some(done) = job.take() {
            done.expect("it lasts");
            return;
        }
        assert!(since.elapsed() < Duration::from_secs(20), "the archive does not answer");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Fills a new archive: one entry at least of each kind, and uploads that are in part and wholly here.
fn fill(archive: &Arc<UploadArchive>) {
    let (part, whole, gone) = (0x17, 0xfeed_0000_0000_0001, 0x18);
    let note = |entry: Entry| done(&archive.record(entry, || ()));
    let append = |id: UploadId, octets: &[u8]| done(&archive.append(id, octets.to_vec(), || ()));
    note(Entry::Begun(part, begun("acme", Some(OCTETS.len() as u64))));
    note(Entry::Begun(whole, begun("", None)));
    note(Entry::Begun(gone, begun("acme", None)));
    append(part, &OCTETS[..20]);
    note(moved(part, &OCTETS[..20], false));
    append(whole, OCTETS);
    note(moved(whole, OCTETS, true));
    note(Entry::Gone(gone));
}

fn known(archive: &UploadArchive) -> BTreeMap<UploadId, Upload> {
    let uploads = lock(&archive.uploads);
    uploads.ids().into_iter().filter_map(|id| Some((id, uploads.get(id)?.clone()))).collect()
}

#[test]
fn the_same_uploads_are_written_octet_for_octet() {
    let folder = Folder::new("written");
    let archive = UploadArchive::open(&folder.0, LIMITS).expect("an archive");
    fill(&archive);
    assert_eq!(files(&folder.0), files(&fixture_folder("archive")));
}

#[test]
fn a_folder_is_read_to_the_same_uploads_and_its_snapshot_keeps_its_octets() {
    let folder = Folder::with("read", "archive");
    let archive = UploadArchive::open(&folder.0, LIMITS).expect("an archive");
    assert_eq!(known(&archive), uploads());
    drop(archive);
    assert_eq!(files(&folder.0), files(&fixture_folder("archive-reopened")));
    // What the snapshot holds is the same as what the log held.
    let folder = Folder::with("again", "archive-reopened");
    assert_eq!(known(&UploadArchive::open(&folder.0, LIMITS).expect("an archive")), uploads());
}
