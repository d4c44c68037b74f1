//! Recovery of the uploads at startup: the log is replayed, and an upload is kept only if its file holds the
//! bytes that the log records.

use super::error::{Mismatch, OpenErrorCause};
use super::{file_name, unix_seconds, FILE_SUFFIX, LOG_NAME, MAX_READ_BYTES};
use lynxtally_flow::uploads::lifecycle::UploadPhase;
use lynxtally_flow::uploads::{Entry, Upload, UploadId, UploadLimits, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_wal::{Recovered, Storage, WriteAheadLog};
use tracing::warn;

/// The log of uploads, ready for appending, and the uploads that were recovered.
pub(super) struct RecoveredArchive {
    pub log: WriteAheadLog,
    pub uploads: Uploads,
}

/// Reads the log, and removes the files of uploads that are not recovered.
pub(super) fn recover(
    storage: &mut DirectoryStorage,
    limits: UploadLimits,
) -> Result<RecoveredArchive, OpenErrorCause> {
    let (log, recovered) = WriteAheadLog::open(storage, LOG_NAME).map_err(OpenErrorCause::Log)?;
    for damage in &recovered.damage {
        warn!(%damage, "the log of uploads is damaged; uploads that it does not record are discarded");
    }
    let mut uploads = replay(&recovered, limits)?;
    for id in uploads.end_interrupted_forwards(unix_seconds()) {
        warn!(
            upload = file_name(id),
            "upload was being forwarded when the process ended; it is not forwarded again, as it may have been executed"
        );
    }
    discard_mismatched(storage, &mut uploads);
    remove_orphans(storage, &uploads)?;
    Ok(RecoveredArchive { log, uploads })
}

fn replay(recovered: &Recovered, limits: UploadLimits) -> Result<Uploads, OpenErrorCause> {
    let mut uploads = Uploads::new(limits);
    if let Some(snapshot) = &recovered.snapshot {
        let entries: Vec<Entry> = postcard::from_bytes(snapshot).map_err(OpenErrorCause::Snapshot)?;
        for entry in entries {
            uploads.replay(entry);
        }
    }
    for entry in &recovered.entries {
        match postcard::from_bytes(entry) {
            Ok(entry) => uploads.replay(entry),
            Err(error) => warn!(%error, "an entry in the log of uploads cannot be decoded and is skipped"),
        }
    }
    Ok(uploads)
}

fn discard_mismatched(storage: &mut DirectoryStorage, uploads: &mut Uploads) {
    for id in uploads.ids() {
        let Some(upload) = uploads.get(id) else { continue };
        if matches!(uploads.phase(id), Some(UploadPhase::Executed(_))) {
            // The process may have ended before the file was removed, so it may or may not exist.
            let _ = storage.remove(&file_name(id));
            continue;
        }
        if let Err(reason) = verify(storage, id, upload) {
            warn!(upload = file_name(id), %reason, "upload discarded: its file differs from the log of uploads");
            uploads.remove(id);
            // The file may not exist, so an error of removing it is ignored.
            let _ = storage.remove(&file_name(id));
        }
    }
}

/// Compares the file of an upload with the log. Bytes behind the recorded offset were never reported to the
/// client as durable, and are cut off.
fn verify(storage: &mut DirectoryStorage, id: UploadId, upload: &Upload) -> Result<(), Mismatch> {
    let name = file_name(id);
    let mut offset = 0;
    let mut checksum = 0;
    while offset < upload.offset {
        let max_bytes = (upload.offset - offset).min(MAX_READ_BYTES as u64) as usize;
        let bytes = storage.read_at(&name, offset, max_bytes)?;
        if bytes.is_empty() {
            return Err(Mismatch::Short { present: offset, recorded: upload.offset });
        }
        checksum = crc32c::crc32c_append(checksum, &bytes);
        offset += bytes.len() as u64;
    }
    if checksum != upload.checksum {
        return Err(Mismatch::Checksum);
    }
    if upload.offset > 0 {
        storage.truncate(&name, upload.offset)?;
    }
    Ok(())
}

/// Removes files of uploads that are not in the log.
fn remove_orphans(storage: &mut DirectoryStorage, uploads: &Uploads) -> Result<(), OpenErrorCause> {
    let known_files: Vec<String> = uploads.ids().into_iter().map(file_name).collect();
    let listed = storage.list().map_err(OpenErrorCause::Directory)?;
    for file in listed.into_iter().filter(|file| file.ends_with(FILE_SUFFIX)) {
        if known_files.contains(&file) {
            continue;
        }
        if let Err(source) = storage.remove(&file) {
            return Err(OpenErrorCause::RemoveOrphan { file, source });
        }
    }
    Ok(())
}
