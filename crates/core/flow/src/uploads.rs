//! State of resumable uploads (draft-ietf-httpbis-resumable-upload-05): the offset of each upload, which connection may
//! write to it, the storage quotas, and when an upload expires. Changes that must survive a restart are returned as
//! [`Entry`] values for a log, and [`Uploads::replay`] restores the state from them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies an upload.
pub type UploadId = u64;

/// Limits of resumable uploads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadLimits {
    /// The most bytes that the uploads of one tenant may have.
    pub tenant_bytes: u64,
    /// The most bytes that all uploads together may have.
    pub total_bytes: u64,
    /// The most memory that the records of all uploads together may take, in bytes. It limits how many uploads can be
    /// open, as an upload without any bytes counts for no quota.
    pub record_bytes: u64,
    /// Seconds after which an upload expires if it receives no bytes.
    pub expiry_secs: u64,
}

/// A resumable upload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// The name of the tenant; empty if the request named none.
    #[serde(rename = "customer")]
    pub tenant: String,
    /// The head of the request that is sent to the upstream once the upload is complete.
    #[serde(rename = "what")]
    pub request_head: Vec<u8>,
    /// The length of the whole upload, if the client has announced it.
    pub length: Option<u64>,
    /// The number of bytes received so far.
    pub offset: u64,
    /// CRC-32C of the bytes received so far.
    #[serde(rename = "sum")]
    pub checksum: u32,
    /// When bytes were last received, in Unix seconds.
    #[serde(rename = "touched")]
    pub updated_secs: u64,
    /// Whether all bytes were received.
    #[serde(rename = "whole")]
    pub is_complete: bool,
}

/// A change that must survive a restart. Stored in the log of uploads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An upload was created.
    #[serde(rename = "Begun")]
    Created(UploadId, Upload),
    /// An upload received bytes.
    #[serde(rename = "Moved")]
    Advanced {
        /// Identifies the upload.
        id: UploadId,
        /// The number of bytes received so far.
        offset: u64,
        /// CRC-32C of the bytes received so far.
        #[serde(rename = "sum")]
        checksum: u32,
        /// When bytes were last received, in Unix seconds.
        #[serde(rename = "touched")]
        updated_secs: u64,
        /// Whether all bytes were received.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// An upload was removed.
    #[serde(rename = "Gone")]
    Removed(UploadId),
}

/// Why an operation on an upload is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadError {
    /// No upload has this id.
    Unknown,
    /// The given offset is not the current offset of the upload, which is this one.
    WrongOffset(u64),
    /// The id is in use, or another connection has taken the upload over.
    TakenOver,
    /// The upload would be longer than announced, or its announced length changed.
    WrongLength,
    /// A storage quota would be exceeded.
    QuotaExceeded,
}

#[derive(Clone, Debug)]
struct State {
    upload: Upload,
    /// The number of the connection that took the upload over last. Only this writer may append.
    writer: u64,
}

/// All resumable uploads.
#[derive(Clone, Debug)]
pub struct Uploads {
    limits: UploadLimits,
    uploads: BTreeMap<UploadId, State>,
    bytes_by_tenant: BTreeMap<String, u64>,
    total_bytes: u64,
    record_bytes: u64,
    last_writer: u64,
}

/// What the record of an upload takes in memory besides the names and the head in it: the record, its entries in tables,
/// and what an operation on it holds.
const RECORD_OVERHEAD_BYTES: u64 = 512;

/// About how much memory the record of an upload takes.
fn record_bytes(upload: &Upload) -> u64 {
    RECORD_OVERHEAD_BYTES + (upload.tenant.len() + upload.request_head.len()) as u64
}

/// The bytes that an upload counts for in the quotas: those received, or the announced length if that is larger.
fn quota_bytes(upload: &Upload) -> u64 {
    upload.offset.max(upload.length.unwrap_or(0))
}

impl Uploads {
    /// Creates the state without uploads.
    pub fn new(limits: UploadLimits) -> Self {
        Self {
            limits,
            uploads: BTreeMap::new(),
            bytes_by_tenant: BTreeMap::new(),
            total_bytes: 0,
            record_bytes: 0,
            last_writer: 0,
        }
    }

    fn adjust_usage(&mut self, tenant: &str, added: u64, removed: u64) {
        self.total_bytes = (self.total_bytes + added).saturating_sub(removed);
        let tenant_bytes = self.bytes_by_tenant.entry(tenant.to_owned()).or_default();
        *tenant_bytes = (*tenant_bytes + added).saturating_sub(removed);
        if *tenant_bytes == 0 {
            self.bytes_by_tenant.remove(tenant);
        }
    }

    fn fits_quotas(&self, tenant: &str, added: u64) -> bool {
        let tenant_bytes = self.bytes_by_tenant.get(tenant).copied().unwrap_or(0);
        tenant_bytes.saturating_add(added) <= self.limits.tenant_bytes
            && self.total_bytes.saturating_add(added) <= self.limits.total_bytes
    }

    /// Creates an upload. Returns the log entry and the number of its writer.
    ///
    /// # Errors
    /// [`UploadError::TakenOver`] if the id is in use, [`UploadError::QuotaExceeded`] if a quota or the
    /// memory for records has no room for it.
    pub fn create(&mut self, id: UploadId, upload: Upload) -> Result<(Entry, u64), UploadError> {
        if self.uploads.contains_key(&id) {
            return Err(UploadError::TakenOver);
        }
        let has_room = self.record_bytes + record_bytes(&upload) <= self.limits.record_bytes;
        if !has_room || !self.fits_quotas(&upload.tenant, quota_bytes(&upload)) {
            return Err(UploadError::QuotaExceeded);
        }
        self.last_writer += 1;
        let entry = Entry::Created(id, upload.clone());
        self.insert(id, upload);
        Ok((entry, self.last_writer))
    }

    fn insert(&mut self, id: UploadId, upload: Upload) {
        let (tenant, added) = (upload.tenant.clone(), quota_bytes(&upload));
        self.adjust_usage(&tenant, added, 0);
        self.record_bytes += record_bytes(&upload);
        self.uploads.insert(id, State { upload, writer: self.last_writer });
    }

    /// The upload with this id.
    pub fn get(&self, id: UploadId) -> Option<&Upload> {
        self.uploads.get(&id).map(|state| &state.upload)
    }

    /// Takes an upload over from its current writer, and returns the number of the new writer. The server may not have
    /// noticed yet that the connection of the old writer has dropped. Bytes that still arrive on that connection must not
    /// move the offset that was reported to the client in the meantime.
    ///
    /// # Errors
    /// [`UploadError::Unknown`] if no upload has this id.
    pub fn take_over(&mut self, id: UploadId) -> Result<u64, UploadError> {
        let state = self.uploads.get_mut(&id).ok_or(UploadError::Unknown)?;
        self.last_writer += 1;
        state.writer = self.last_writer;
        Ok(state.writer)
    }

    /// Takes an upload over to append to it from `offset` on, and returns the number of the new writer.
    ///
    /// # Errors
    /// [`UploadError::Unknown`] if no upload has this id, [`UploadError::WrongOffset`] if its offset is another.
    pub fn resume(&mut self, id: UploadId, offset: u64) -> Result<u64, UploadError> {
        let upload = self.get(id).ok_or(UploadError::Unknown)?;
        if upload.offset != offset {
            return Err(UploadError::WrongOffset(upload.offset));
        }
        self.take_over(id)
    }

    /// Sets the length of the whole upload as the client announces it.
    ///
    /// # Errors
    /// [`UploadError::WrongLength`] if another length was announced before or more bytes have been received, and
    /// [`UploadError::QuotaExceeded`] if the length alone exceeds the quota of a tenant.
    pub fn set_length(&mut self, id: UploadId, length: u64) -> Result<(), UploadError> {
        let limits = self.limits;
        let state = self.uploads.get_mut(&id).ok_or(UploadError::Unknown)?;
        match state.upload.length {
            Some(announced) if announced != length => Err(UploadError::WrongLength),
            _ if length < state.upload.offset => Err(UploadError::WrongLength),
            Some(_) => Ok(()),
            None if length > limits.tenant_bytes => Err(UploadError::QuotaExceeded),
            None => {
                let (tenant, before) = (state.upload.tenant.clone(), quota_bytes(&state.upload));
                state.upload.length = Some(length);
                let added = quota_bytes(&state.upload) - before;
                self.adjust_usage(&tenant, added, 0);
                Ok(())
            }
        }
    }

    /// Records that the writer appended `bytes`; `checksum` is that of the whole upload so far.
    ///
    /// # Errors
    /// The upload is unknown or taken over by another writer, or would exceed its announced length or a quota.
    pub fn append(
        &mut self,
        id: UploadId,
        writer: u64,
        bytes: u64,
        checksum: u32,
        now_secs: u64,
    ) -> Result<(), UploadError> {
        let state = self.uploads.get(&id).ok_or(UploadError::Unknown)?;
        if state.writer != writer {
            return Err(UploadError::TakenOver);
        }
        let offset = state.upload.offset + bytes;
        if state.upload.length.is_some_and(|length| offset > length) {
            return Err(UploadError::WrongLength);
        }
        let (tenant, before) = (state.upload.tenant.clone(), quota_bytes(&state.upload));
        let added = offset.saturating_sub(before);
        if !self.fits_quotas(&tenant, added) {
            return Err(UploadError::QuotaExceeded);
        }
        self.adjust_usage(&tenant, added, 0);
        let upload = &mut self.uploads.get_mut(&id).ok_or(UploadError::Unknown)?.upload;
        (upload.offset, upload.checksum, upload.updated_secs) = (offset, checksum, now_secs);
        Ok(())
    }

    /// Marks an upload as complete. Returns false if fewer bytes were received than announced.
    ///
    /// # Errors
    /// The upload is unknown, or taken over by another writer.
    pub fn complete(&mut self, id: UploadId, writer: u64) -> Result<bool, UploadError> {
        let state = self.uploads.get_mut(&id).ok_or(UploadError::Unknown)?;
        if state.writer != writer {
            return Err(UploadError::TakenOver);
        }
        let is_complete = state.upload.length.is_none_or(|length| length == state.upload.offset);
        state.upload.is_complete = is_complete;
        Ok(is_complete)
    }

    /// The log entry for the current offset of an upload.
    pub fn progress_entry(&self, id: UploadId) -> Option<Entry> {
        let Upload { offset, checksum, updated_secs, is_complete, .. } = *self.get(id)?;
        Some(Entry::Advanced { id, offset, checksum, updated_secs, is_complete })
    }

    /// Removes an upload, and returns the log entry. Returns `None` if the upload is unknown.
    pub fn remove(&mut self, id: UploadId) -> Option<Entry> {
        let state = self.uploads.remove(&id)?;
        self.adjust_usage(&state.upload.tenant, 0, quota_bytes(&state.upload));
        self.record_bytes -= record_bytes(&state.upload);
        Some(Entry::Removed(id))
    }

    /// The uploads that have received no bytes within the expiry time.
    pub fn expired(&self, now_secs: u64) -> Vec<UploadId> {
        let is_expired =
            |state: &State| state.upload.updated_secs.saturating_add(self.limits.expiry_secs) < now_secs;
        self.uploads.iter().filter(|(_, state)| is_expired(state)).map(|(id, _)| *id).collect()
    }

    /// Applies an entry of the log.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Created(id, upload) => {
                self.remove(id);
                self.insert(id, upload);
            }
            Entry::Advanced { id, offset, checksum, updated_secs, is_complete } => {
                let Some(mut upload) = self.get(id).cloned() else { return };
                (upload.offset, upload.checksum, upload.updated_secs, upload.is_complete) =
                    (offset, checksum, updated_secs, is_complete);
                self.remove(id);
                self.insert(id, upload);
            }
            Entry::Removed(id) => {
                self.remove(id);
            }
        }
    }

    /// Entries from which [`replay`](Self::replay) restores the current uploads.
    pub fn snapshot(&self) -> Vec<Entry> {
        self.uploads.iter().map(|(id, state)| Entry::Created(*id, state.upload.clone())).collect()
    }

    /// The ids of all uploads.
    pub fn ids(&self) -> Vec<UploadId> {
        self.uploads.keys().copied().collect()
    }

    /// The bytes that all uploads together count for in the quotas.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }
}
