//! State of resumable uploads (draft-ietf-httpbis-resumable-upload-05): the offset of each upload, which connection may
//! write to it, whether it may be forwarded to an upstream ([`lifecycle`]), the storage quotas, and when an upload expires.
//! Changes that must survive a restart are returned as [`Entry`] values for a log, and [`Uploads::replay`] restores the
//! state from them.

mod entry;
mod forwards;
pub mod lifecycle;

pub use entry::{Entry, Upload};
pub use forwards::{BegunForward, ForwardRefusal, UploadCounts};
use lifecycle::{Forward, UploadPhase};
use lynxtally::Effect;
use std::collections::BTreeMap;

/// Identifies an upload.
pub type UploadId = u64;

/// A digest of the content of an upload.
pub type Fingerprint = [u8; 32];

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
    /// A forward of the upload has begun, so its bytes are final.
    AlreadyForwarded,
}

#[derive(Clone, Debug)]
struct State {
    upload: Upload,
    /// The number of the connection that took the upload over last. Only this writer may append.
    writer: u64,
    forward: Forward,
    /// The fingerprint of the content, once it was calculated in the life of this process.
    fingerprint: Option<Fingerprint>,
}

impl State {
    fn phase(&self) -> UploadPhase {
        self.forward.phase(self.upload.is_complete)
    }

    /// About how much memory the record takes.
    fn record_bytes(&self) -> u64 {
        let open_bytes = open_record_bytes(&self.upload);
        match self.phase() {
            UploadPhase::Executed(_) => open_bytes - RECORD_OVERHEAD_BYTES + EXECUTED_OVERHEAD_BYTES,
            UploadPhase::Receiving | UploadPhase::Complete | UploadPhase::Forwarding => open_bytes,
        }
    }

    /// Whether a forward is under way or has ended and no other one may begin.
    fn is_forwarded(&self) -> bool {
        matches!(self.phase(), UploadPhase::Forwarding | UploadPhase::Executed(_))
    }

    /// The bytes that the upload counts for in the quotas: those received, or the announced length if that is larger. An
    /// upload that was executed has no bytes any more.
    fn quota_bytes(&self) -> u64 {
        if matches!(self.phase(), UploadPhase::Executed(_)) {
            return 0;
        }
        self.upload.offset.max(self.upload.length.unwrap_or(0))
    }
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
    last_forward: u64,
}

/// What the record of an upload takes in memory besides the names and the head in it: the record, its entries in tables,
/// and what an operation on it holds.
const RECORD_OVERHEAD_BYTES: u64 = 512;
/// The same for an upload that was executed, on which there are no operations any more.
const EXECUTED_OVERHEAD_BYTES: u64 = 400;

/// About how much memory the record of an upload takes that can receive bytes.
fn open_record_bytes(upload: &Upload) -> u64 {
    RECORD_OVERHEAD_BYTES + (upload.tenant.len() + upload.request_head.len()) as u64
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
            last_forward: 0,
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
        let state =
            State { upload, writer: self.last_writer + 1, forward: Forward::NotBegun, fingerprint: None };
        if !self.has_record_room(&state.upload)
            || !self.fits_quotas(&state.upload.tenant, state.quota_bytes())
        {
            return Err(UploadError::QuotaExceeded);
        }
        self.last_writer += 1;
        let entry = Entry::Created(id, state.upload.clone());
        self.insert(id, state);
        Ok((entry, self.last_writer))
    }

    /// Whether there is memory for the record of another upload.
    pub fn has_record_room(&self, upload: &Upload) -> bool {
        self.record_bytes + open_record_bytes(upload) <= self.limits.record_bytes
    }

    fn insert(&mut self, id: UploadId, state: State) {
        self.adjust_usage(&state.upload.tenant, state.quota_bytes(), 0);
        self.record_bytes += state.record_bytes();
        self.uploads.insert(id, state);
    }

    /// Changes an upload and the sums that depend on it. Returns `None` if the upload is unknown.
    fn update<T>(&mut self, id: UploadId, change: impl FnOnce(&mut State) -> T) -> Option<T> {
        let state = self.uploads.get_mut(&id)?;
        let (quota_before, record_before) = (state.quota_bytes(), state.record_bytes());
        let result = change(state);
        let (tenant, quota_after) = (state.upload.tenant.clone(), state.quota_bytes());
        self.record_bytes = self.record_bytes + state.record_bytes() - record_before;
        self.adjust_usage(&tenant, quota_after, quota_before);
        Some(result)
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
    /// [`UploadError::Unknown`] if no upload has this id, [`UploadError::WrongOffset`] if its offset is another,
    /// [`UploadError::AlreadyForwarded`] if a forward of it has begun.
    pub fn resume(&mut self, id: UploadId, offset: u64) -> Result<u64, UploadError> {
        let state = self.uploads.get(&id).ok_or(UploadError::Unknown)?;
        if state.upload.offset != offset {
            return Err(UploadError::WrongOffset(state.upload.offset));
        }
        if state.is_forwarded() {
            return Err(UploadError::AlreadyForwarded);
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
        let state = self.uploads.get(&id).ok_or(UploadError::Unknown)?;
        match state.upload.length {
            Some(announced) if announced != length => Err(UploadError::WrongLength),
            _ if length < state.upload.offset => Err(UploadError::WrongLength),
            Some(_) => Ok(()),
            None if length > limits.tenant_bytes => Err(UploadError::QuotaExceeded),
            None => {
                self.update(id, |state| state.upload.length = Some(length));
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
        if state.is_forwarded() {
            return Err(UploadError::AlreadyForwarded);
        }
        let is_too_long = state.upload.length.is_some_and(|length| offset > length);
        if is_too_long || (state.upload.is_complete && bytes > 0) {
            return Err(UploadError::WrongLength);
        }
        let added = offset.saturating_sub(state.quota_bytes());
        if !self.fits_quotas(&state.upload.tenant, added) {
            return Err(UploadError::QuotaExceeded);
        }
        self.update(id, |State { upload, .. }| {
            (upload.offset, upload.checksum, upload.updated_secs) = (offset, checksum, now_secs);
        });
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
        if state.is_forwarded() {
            return Err(UploadError::AlreadyForwarded);
        }
        let is_complete = state.upload.length.is_none_or(|length| length == state.upload.offset);
        state.upload.is_complete = is_complete;
        Ok(is_complete)
    }

    /// The log entry for the current offset of an upload; none once a forward has begun, as the offset is recorded by then.
    pub fn progress_entry(&self, id: UploadId) -> Option<Entry> {
        let state = self.uploads.get(&id).filter(|state| !state.is_forwarded())?;
        let Upload { offset, checksum, updated_secs, is_complete, .. } = state.upload;
        Some(Entry::Advanced { id, offset, checksum, updated_secs, is_complete })
    }

    /// Removes an upload that its client no longer wants, and returns the log entry. `effect` is that of executing the upload
    /// twice.
    ///
    /// # Errors
    /// [`UploadError::Unknown`] if no upload has this id, [`UploadError::AlreadyForwarded`] if its execution has begun and
    /// can't be undone.
    pub fn discard(&mut self, id: UploadId, effect: Effect) -> Result<Entry, UploadError> {
        let is_harmless = match self.phase(id).ok_or(UploadError::Unknown)? {
            UploadPhase::Receiving | UploadPhase::Complete => true,
            UploadPhase::Forwarding => effect == Effect::Idempotent,
            UploadPhase::Executed(_) => false,
        };
        if !is_harmless {
            return Err(UploadError::AlreadyForwarded);
        }
        self.remove(id).ok_or(UploadError::Unknown)
    }

    /// Removes an upload, and returns the log entry. Returns `None` if the upload is unknown.
    pub fn remove(&mut self, id: UploadId) -> Option<Entry> {
        let state = self.uploads.remove(&id)?;
        self.adjust_usage(&state.upload.tenant, 0, state.quota_bytes());
        self.record_bytes -= state.record_bytes();
        Some(Entry::Removed(id))
    }

    /// The uploads that have received no bytes within the expiry time. One whose forward is under way does not expire, and
    /// one that was executed is remembered for the expiry time from then on.
    pub fn expired(&self, now_secs: u64) -> Vec<UploadId> {
        let is_expired = |state: &State| {
            let has_no_forward = state.phase() != UploadPhase::Forwarding;
            let is_protected = state.is_protected(now_secs);
            let expires_secs = state.upload.updated_secs.saturating_add(self.limits.expiry_secs);
            has_no_forward && !is_protected && expires_secs < now_secs
        };
        self.uploads.iter().filter(|(_, state)| is_expired(state)).map(|(id, _)| *id).collect()
    }

    /// Applies an entry of the log.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Created(id, upload) => {
                self.remove(id);
                self.insert(
                    id,
                    State { upload, writer: self.last_writer, forward: Forward::NotBegun, fingerprint: None },
                );
            }
            Entry::Advanced { id, offset, checksum, updated_secs, is_complete } => {
                self.update(id, |State { upload, .. }| {
                    (upload.offset, upload.checksum, upload.updated_secs, upload.is_complete) =
                        (offset, checksum, updated_secs, is_complete);
                });
            }
            Entry::Removed(id) => {
                self.remove(id);
            }
            Entry::ForwardBegun(_) | Entry::ForwardReset(_) | Entry::ForwardEnded { .. } => {
                self.replay_forward(entry);
            }
        }
    }

    /// Entries from which [`replay`](Self::replay) restores the current uploads.
    pub fn snapshot(&self) -> Vec<Entry> {
        let entries = |(id, state): (&UploadId, &State)| {
            let created = Entry::Created(*id, state.upload.clone());
            std::iter::once(created).chain(state.forward_entry(*id))
        };
        self.uploads.iter().flat_map(entries).collect()
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
