//! Uploads that are gone on with after their connection dropped (draft-ietf-httpbis-resumable-upload-05): how far each
//! is, who holds it, what a customer may keep, and when one is forgotten. What is to last comes out as entries for a
//! log, and goes in again after a restart.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An upload's name.
pub type UploadId = u64;

/// What uploads are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadLimits {
    /// Octets that one customer keeps here.
    pub each: u64,
    /// And all together.
    pub all: u64,
    /// One that nobody goes on with is forgotten after so many seconds.
    pub keep: u64,
}

/// An upload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Whose it is, by name; empty where that is not known.
    pub customer: String,
    /// What it is, as the front keeps it.
    pub what: Vec<u8>,
    /// How long it will be, where told.
    pub length: Option<u64>,
    /// How far it is, in octets.
    pub offset: u64,
    /// The checksum of these octets.
    pub sum: u32,
    /// When it last moved, in Unix seconds.
    pub touched: u64,
    /// Whether all of it is here.
    pub whole: bool,
}

/// What is to last of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// One began.
    Begun(UploadId, Upload),
    /// One is this far.
    Moved {
        /// Which.
        id: UploadId,
        /// How far.
        offset: u64,
        /// The checksum of these octets.
        sum: u32,
        /// When.
        touched: u64,
        /// Whether that is all.
        whole: bool,
    },
    /// One is over.
    Gone(UploadId),
}

/// Why something can't be done with an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is none by this name.
    Unknown,
    /// It stands here, not there.
    Offset(u64),
    /// Another took it over.
    Taken,
    /// It becomes longer than was told.
    Long,
    /// The customer, or all together, keep as much as may be.
    Quota,
}

#[derive(Clone, Debug)]
struct State {
    upload: Upload,
    /// Who took it last; whoever took it before can't move it any more.
    holder: u64,
}

/// All uploads.
#[derive(Clone, Debug)]
pub struct Uploads {
    limits: UploadLimits,
    all: BTreeMap<UploadId, State>,
    kept: BTreeMap<String, u64>,
    sum: u64,
    holders: u64,
}

/// What an upload counts for: what is here, or what was told to come.
fn weight(upload: &Upload) -> u64 {
    upload.offset.max(upload.length.unwrap_or(0))
}

impl Uploads {
    /// None yet.
    pub fn new(limits: UploadLimits) -> Self {
        Self { limits, all: BTreeMap::new(), kept: BTreeMap::new(), sum: 0, holders: 0 }
    }

    fn count(&mut self, customer: &str, more: u64, fewer: u64) {
        self.sum = (self.sum + more).saturating_sub(fewer);
        let kept = self.kept.entry(customer.to_owned()).or_default();
        *kept = (*kept + more).saturating_sub(fewer);
        if *kept == 0 {
            self.kept.remove(customer);
        }
    }

    fn fits(&self, customer: &str, more: u64) -> bool {
        let own = self.kept.get(customer).copied().unwrap_or(0);
        own.saturating_add(more) <= self.limits.each && self.sum.saturating_add(more) <= self.limits.all
    }

    /// One begins; tells what is to last, and by what its holder is known.
    pub fn begin(&mut self, id: UploadId, upload: Upload) -> Result<(Entry, u64), Refused> {
        if self.all.contains_key(&id) {
            return Err(Refused::Taken);
        }
        if !self.fits(&upload.customer, weight(&upload)) {
            return Err(Refused::Quota);
        }
        self.holders += 1;
        let entry = Entry::Begun(id, upload.clone());
        self.put(id, upload);
        Ok((entry, self.holders))
    }

    fn put(&mut self, id: UploadId, upload: Upload) {
        let (customer, more) = (upload.customer.clone(), weight(&upload));
        self.count(&customer, more, 0);
        self.all.insert(id, State { upload, holder: self.holders });
    }

    /// How one stands.
    pub fn get(&self, id: UploadId) -> Option<&Upload> {
        self.all.get(&id).map(|state| &state.upload)
    }

    /// Takes one over, from whoever had it: a connection that dropped may not be known to have dropped yet, and what it
    /// still brings must not move what its client was told since. Tells by what the holder is known.
    pub fn hold(&mut self, id: UploadId) -> Result<u64, Refused> {
        let state = self.all.get_mut(&id).ok_or(Refused::Unknown)?;
        self.holders += 1;
        state.holder = self.holders;
        Ok(state.holder)
    }

    /// Takes one over so as to go on with it from this place.
    pub fn go_on(&mut self, id: UploadId, offset: u64) -> Result<u64, Refused> {
        let upload = self.get(id).ok_or(Refused::Unknown)?;
        if upload.offset != offset {
            return Err(Refused::Offset(upload.offset));
        }
        self.hold(id)
    }

    /// The length that a holder tells of one; it can't be another than was told before.
    pub fn tell_length(&mut self, id: UploadId, length: u64) -> Result<(), Refused> {
        let limits = self.limits;
        let state = self.all.get_mut(&id).ok_or(Refused::Unknown)?;
        match state.upload.length {
            Some(own) if own != length => Err(Refused::Long),
            _ if length < state.upload.offset => Err(Refused::Long),
            Some(_) => Ok(()),
            None if length > limits.each => Err(Refused::Quota),
            None => {
                let (customer, before) = (state.upload.customer.clone(), weight(&state.upload));
                state.upload.length = Some(length);
                let more = weight(&state.upload) - before;
                self.count(&customer, more, 0);
                Ok(())
            }
        }
    }

    /// Its holder has so many more octets of it; `sum` is the checksum of all.
    pub fn grow(
        &mut self,
        id: UploadId,
        holder: u64,
        octets: u64,
        sum: u32,
        now: u64,
    ) -> Result<(), Refused> {
        let state = self.all.get(&id).ok_or(Refused::Unknown)?;
        if state.holder != holder {
            return Err(Refused::Taken);
        }
        let offset = state.upload.offset + octets;
        if state.upload.length.is_some_and(|length| offset > length) {
            return Err(Refused::Long);
        }
        let (customer, before) = (state.upload.customer.clone(), weight(&state.upload));
        let more = offset.saturating_sub(before);
        if !self.fits(&customer, more) {
            return Err(Refused::Quota);
        }
        self.count(&customer, more, 0);
        let upload = &mut self.all.get_mut(&id).ok_or(Refused::Unknown)?.upload;
        (upload.offset, upload.sum, upload.touched) = (offset, sum, now);
        Ok(())
    }

    /// Its holder says that all of it is here; false where fewer octets came than were told.
    pub fn complete(&mut self, id: UploadId, holder: u64) -> Result<bool, Refused> {
        let state = self.all.get_mut(&id).ok_or(Refused::Unknown)?;
        if state.holder != holder {
            return Err(Refused::Taken);
        }
        let whole = state.upload.length.is_none_or(|length| length == state.upload.offset);
        state.upload.whole = whole;
        Ok(whole)
    }

    /// What is to last of how far one is.
    pub fn moved(&self, id: UploadId) -> Option<Entry> {
        let Upload { offset, sum, touched, whole, .. } = *self.get(id)?;
        Some(Entry::Moved { id, offset, sum, touched, whole })
    }

    /// One is over; tells what is to last.
    pub fn gone(&mut self, id: UploadId) -> Option<Entry> {
        let state = self.all.remove(&id)?;
        self.count(&state.upload.customer, 0, weight(&state.upload));
        Some(Entry::Gone(id))
    }

    /// Those that nobody went on with for too long.
    pub fn aged(&self, now: u64) -> Vec<UploadId> {
        let old = |state: &State| state.upload.touched.saturating_add(self.limits.keep) < now;
        self.all.iter().filter(|(_, state)| old(state)).map(|(id, _)| *id).collect()
    }

    /// Takes an entry of the log in.
    pub fn replay(&mut self, entry: Entry) {
        match entry {
            Entry::Begun(id, upload) => {
                self.gone(id);
                self.put(id, upload);
            }
            Entry::Moved { id, offset, sum, touched, whole } => {
                let Some(mut upload) = self.get(id).cloned() else { return };
                (upload.offset, upload.sum, upload.touched, upload.whole) = (offset, sum, touched, whole);
                self.gone(id);
                self.put(id, upload);
            }
            Entry::Gone(id) => {
                self.gone(id);
            }
        }
    }

    /// All that is to last, as entries.
    pub fn snapshot(&self) -> Vec<Entry> {
        self.all.iter().map(|(id, state)| Entry::Begun(*id, state.upload.clone())).collect()
    }

    /// The names of all.
    pub fn ids(&self) -> Vec<UploadId> {
        self.all.keys().copied().collect()
    }

    /// What all keep together.
    pub fn sum(&self) -> u64 {
        self.sum
    }
}
