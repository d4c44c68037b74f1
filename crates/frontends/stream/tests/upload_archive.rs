//! Tests of the upload archive on its own: the memory for records of uploads.

#[path = "harness/directory.rs"]
mod directory;

use directory::TestDirectory;
use lynxtally::Effect;
use lynxtally_flow::uploads::lifecycle::ForwardEnd;
use lynxtally_flow::uploads::{Upload, UploadError, UploadId, UploadLimits};
use lynxtally_stream::upload_archive::{unix_seconds, UploadArchive};
use std::time::Duration;

/// A record takes 1,000 bytes, and 888 once its upload was executed: there is room for three of these and an open one.
const LIMITS: UploadLimits = UploadLimits {
    tenant_bytes: 1 << 20,
    total_bytes: 1 << 20,
    record_bytes: 3 * 888 + 1000,
    expiry_secs: 60,
};
/// How long executed uploads must be remembered.
const PROTECTED_SECS: u64 = 3600;

fn create(archive: &UploadArchive, id: UploadId) -> Result<(), UploadError> {
    let upload = Upload {
        tenant: String::new(),
        request_head: vec![b'x'; 488],
        length: Some(0),
        offset: 0,
        checksum: 0,
        updated_secs: unix_seconds(),
        is_complete: false,
    };
    let (_, writer) = archive.create(id, upload, || ())?;
    archive.uploads.with(|uploads| uploads.complete(id, writer)).map(drop)
}

fn execute(archive: &UploadArchive, id: UploadId, protected_secs: u64) {
    let begun = archive.uploads.with(|uploads| uploads.begin_forward(id, Effect::Deduplicated));
    let number = begun.expect("a complete upload").number;
    let end = ForwardEnd::Answered { is_server_error: false, is_delivered: true };
    assert!(archive.end_forward(id, number, Effect::Deduplicated, end, protected_secs).is_some());
}

/// Guards against memory and a log that grow with every upload that was executed, and against a full memory that makes an
/// upload be forgotten while it may still be repeated.
#[test]
fn executed_uploads_make_room_for_new_ones_once_they_need_not_be_remembered() {
    let directory = TestDirectory::new("records");
    let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
    for id in 0..4 {
        assert_eq!(create(&archive, id), Ok(()));
        execute(&archive, id, if id < 2 { 0 } else { PROTECTED_SECS });
    }
    let known = || archive.uploads.with(|uploads| uploads.ids());
    assert_eq!(create(&archive, 4), Ok(()), "two need not be remembered");
    assert_eq!(known(), [2, 3, 4]);
    assert_eq!(
        create(&archive, 5),
        Err(UploadError::QuotaExceeded),
        "the others must be remembered, or are open"
    );
    assert_eq!(known(), [2, 3, 4]);
    assert!(archive.wait_until_idle(Duration::from_secs(20)));
    // The next process remembers the same.
    drop(archive);
    let archive = UploadArchive::open(&directory.0, LIMITS).expect("an archive");
    assert_eq!(archive.uploads.with(|uploads| uploads.counts().executed), 2);
    assert_eq!(create(&archive, 5), Err(UploadError::QuotaExceeded));
}
