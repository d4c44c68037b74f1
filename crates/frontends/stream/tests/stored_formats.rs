//! Compatibility of the upload archive with the files in the fixtures, which an earlier version has written.
//!
//! A server that is upgraded reads what the earlier version wrote, and one that is rolled back reads what the
//! newer version wrote. So the fixtures must be read to the same uploads, and the same uploads be written
//! byte for byte.

#[path = "harness/directory.rs"]
mod directory;

use directory::TestDirectory;
use lynxtally_flow::uploads::lifecycle::{ForwardOutcome, UploadPhase};
use lynxtally_flow::uploads::{Entry, Upload, UploadId, UploadLimits};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_stream::upload_archive::{PendingOperation, UploadArchive};
use lynxtally_wal::WriteAheadLog;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LIMITS: UploadLimits =
    UploadLimits { tenant_bytes: 1 << 20, total_bytes: 1 << 20, record_bytes: 1 << 20, expiry_secs: 60 };

/// The bytes of the uploads.
const UPLOAD_BYTES: &[u8] = b"the hour meter of tractor 17 stands at 4211.5\n";

/// A directory with a copy of the files of a fixture.
fn directory_with(name: &str, fixture: &str) -> TestDirectory {
    let directory = TestDirectory::new(name);
    std::fs::create_dir_all(&directory.0).expect("a directory");
    for (file, bytes) in files(&fixture_directory(fixture)) {
        std::fs::write(directory.0.join(file), bytes).expect("a file");
    }
    directory
}

fn fixture_directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The contents of all files of a directory, by file name.
fn files(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(directory).expect("a directory").map(|entry| entry.expect("an entry"));
    entries
        .map(|entry| {
            let name = entry.file_name().into_string().expect("UTF-8");
            (name, std::fs::read(entry.path()).expect("a file"))
        })
        .collect()
}

/// An upload that was just created, without any bytes.
fn new_upload(tenant: &str, length: Option<u64>) -> Upload {
    Upload {
        tenant: tenant.to_owned(),
        request_head: b"PUT /logs/17 HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        length,
        offset: 0,
        checksum: 0,
        updated_secs: 1_700_000_000,
        is_complete: false,
    }
}

fn advanced(id: UploadId, bytes: &[u8], is_complete: bool) -> Entry {
    Entry::Advanced {
        id,
        offset: bytes.len() as u64,
        checksum: crc32c::crc32c(bytes),
        updated_secs: 1_700_000_060,
        is_complete,
    }
}

/// The uploads in the fixture, by id.
fn expected_uploads() -> BTreeMap<UploadId, Upload> {
    let partial = Upload {
        offset: 20,
        checksum: crc32c::crc32c(&UPLOAD_BYTES[..20]),
        updated_secs: 1_700_000_060,
        ..new_upload("acme", Some(UPLOAD_BYTES.len() as u64))
    };
    let complete = Upload {
        offset: UPLOAD_BYTES.len() as u64,
        checksum: crc32c::crc32c(UPLOAD_BYTES),
        updated_secs: 1_700_000_060,
        is_complete: true,
        ..new_upload("", None)
    };
    BTreeMap::from([(0x17, partial), (0xfeed_0000_0000_0001, complete)])
}

fn wait_for(operation: &PendingOperation) {
    let start = Instant::now();
    loop {
        if let Some(result) = operation.take() {
            result.expect("a successful operation");
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "the archive did not complete the operation");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Writes at least one entry of each kind, a partial upload and a complete one to a new archive.
fn write_uploads(archive: &Arc<UploadArchive>) {
    let (partial, complete, removed) = (0x17, 0xfeed_0000_0000_0001, 0x18);
    let record = |entry: Entry| wait_for(&archive.record(entry, || ()));
    let append = |id: UploadId, bytes: &[u8]| wait_for(&archive.append(id, bytes.to_vec(), || ()));
    record(Entry::Created(partial, new_upload("acme", Some(UPLOAD_BYTES.len() as u64))));
    record(Entry::Created(complete, new_upload("", None)));
    record(Entry::Created(removed, new_upload("acme", None)));
    append(partial, &UPLOAD_BYTES[..20]);
    record(advanced(partial, &UPLOAD_BYTES[..20], false));
    append(complete, UPLOAD_BYTES);
    record(advanced(complete, UPLOAD_BYTES, true));
    record(Entry::Removed(removed));
}

fn recovered_uploads(archive: &UploadArchive) -> BTreeMap<UploadId, Upload> {
    archive.uploads.with(|uploads| {
        uploads.ids().into_iter().filter_map(|id| Some((id, uploads.get(id)?.clone()))).collect()
    })
}

#[test]
fn the_same_uploads_are_written_byte_for_byte() {
    let directory = TestDirectory::new("written");
    let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
    write_uploads(&archive);
    assert_eq!(files(&directory.0), files(&fixture_directory("archive")));
}

#[test]
fn a_stored_archive_is_read_to_the_same_uploads_and_rewritten_byte_for_byte() {
    let directory = directory_with("read", "archive");
    let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
    assert_eq!(recovered_uploads(&archive), expected_uploads());
    drop(archive);
    assert_eq!(files(&directory.0), files(&fixture_directory("archive-reopened")));
    // The snapshot holds the same uploads as the log.
    let directory = directory_with("again", "archive-reopened");
    assert_eq!(
        recovered_uploads(&UploadArchive::open(&directory.0, LIMITS).expect("an archive")),
        expected_uploads()
    );
}

/// Uploads in each phase that follows a forward, by their ids.
const EXECUTED: UploadId = 0x21;
const INTERRUPTED: UploadId = 0x22;
const NOT_REACHED: UploadId = 0x23;

/// Writes at least one entry of each kind about forwards to a new archive.
fn write_forwards(archive: &Arc<UploadArchive>) {
    let record = |entry: Entry| wait_for(&archive.record(entry, || ()));
    for id in [EXECUTED, INTERRUPTED, NOT_REACHED] {
        record(Entry::Created(id, new_upload("acme", None)));
        wait_for(&archive.append(id, UPLOAD_BYTES.to_vec(), || ()));
        record(advanced(id, UPLOAD_BYTES, true));
        record(Entry::ForwardBegun(id));
    }
    record(Entry::ForwardEnded {
        id: EXECUTED,
        outcome: ForwardOutcome::Answered,
        ended_secs: 1_700_000_120,
        protected_until_secs: 1_700_000_180,
    });
    record(Entry::ForwardReset(NOT_REACHED));
}

#[test]
fn the_same_forwards_are_written_byte_for_byte() {
    let directory = TestDirectory::new("forwards-written");
    write_forwards(&UploadArchive::open(&directory.0, LIMITS).expect("an archive"));
    assert_eq!(files(&directory.0), files(&fixture_directory("archive-forwards")));
}

/// Guards against a second execution after a crash: an upload whose forward had begun may have been executed.
#[test]
fn a_stored_forward_that_did_not_end_may_have_been_executed() {
    let directory = directory_with("forwards-read", "archive-forwards");
    let phases = |archive: &UploadArchive| {
        [EXECUTED, INTERRUPTED, NOT_REACHED].map(|id| archive.uploads.with(|uploads| uploads.phase(id)))
    };
    let expected = [
        Some(UploadPhase::Executed(ForwardOutcome::Answered)),
        Some(UploadPhase::Executed(ForwardOutcome::Unknown)),
        Some(UploadPhase::Complete),
    ];
    // The second time, the phases come from the snapshot that the first start wrote.
    for _ in 0..2 {
        let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
        assert_eq!(phases(&archive), expected);
        let stored: Vec<String> =
            files(&directory.0).into_keys().filter(|name| name.ends_with(".upload")).collect();
        assert_eq!(stored, ["0000000000000023.upload"], "only the upload that may be executed has bytes");
    }
}

/// The entries that versions without records of forwards can read.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum EarlierEntry {
    Created(UploadId, Upload),
    Advanced { id: UploadId, offset: u64, checksum: u32, updated_secs: u64, is_complete: bool },
    Removed(UploadId),
}

/// Guards against a second execution after a rollback: an earlier version skips entries of the log that it can't read, but
/// it must not serve uploads whose execution it does not know. It refuses a snapshot with such an entry, and starts again
/// once no upload is remembered as executed.
#[test]
fn an_earlier_version_refuses_an_archive_with_forwards_and_reads_one_without() {
    let reads_snapshot = |directory: &TestDirectory| {
        let mut storage = DirectoryStorage::new(&directory.0).expect("a directory");
        let (_, recovered) = WriteAheadLog::inspect(&mut storage, "uploads").expect("a log");
        let snapshot = recovered.snapshot.expect("a snapshot");
        postcard::from_bytes::<Vec<EarlierEntry>>(&snapshot).is_ok()
    };
    let directory = TestDirectory::new("rollback");
    let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
    write_uploads(&archive);
    assert!(reads_snapshot(&directory), "no upload was executed yet");
    write_forwards(&archive);
    assert!(!reads_snapshot(&directory));
    for id in [EXECUTED, INTERRUPTED] {
        wait_for(&archive.record(Entry::Removed(id), || ()));
    }
    drop(archive);
    drop(UploadArchive::open(&directory.0, LIMITS).expect("an archive"));
    assert!(reads_snapshot(&directory), "no upload is remembered as executed");
}
