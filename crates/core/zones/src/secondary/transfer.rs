//! Parsing of zone transfers: AXFR (RFC 5936) and IXFR (RFC 1995).

use crate::change::Change;
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::Soa;
use crate::zone::Zone;
use std::fmt;

/// The content of a completed transfer.
#[derive(Clone, Debug, PartialEq)]
pub enum TransferResult {
    /// The primary sent its serial and no changes. The secondary is up to date, unless this serial is newer than its
    /// own; then the full zone has to be requested.
    UpToDate(Serial),
    /// All records of the zone (AXFR, or an IXFR that the primary answered with the full zone).
    Full(Vec<Record>),
    /// The changes from the requested serial on, in order (IXFR).
    Incremental(Vec<Change>),
}

/// Why a transfer is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// The first record is not the zone's SOA.
    NoLeadingSoa,
    /// A change does not start from the serial at which the one before ends.
    OutOfOrder,
    /// Records follow the end of the transfer.
    TrailingRecords,
    /// The transferred version is not newer than the current one.
    NotNewer {
        /// The serial of the transferred version.
        received: Serial,
        /// The serial of the current version.
        current: Serial,
    },
    /// A record is outside the zone or violates a rule of the zone.
    Rejected(String),
    /// The transfer has too many records.
    TooManyRecords,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NoLeadingSoa => f.write_str("the transfer does not begin with the zone's SOA"),
            Self::OutOfOrder => {
                f.write_str("a change in the transfer does not start from the serial of the change before it")
            }
            Self::TrailingRecords => f.write_str("records follow the end of the transfer"),
            Self::NotNewer { received, current } => {
                write!(f, "the transferred serial {received} is not newer than the current serial {current}")
            }
            Self::Rejected(what) => {
                write!(f, "the transfer has a record that is not valid in the zone: {what}")
            }
            Self::TooManyRecords => f.write_str("the transfer has more records than a zone may have"),
        }
    }
}

#[derive(Clone, Debug)]
enum TransferState {
    Start,
    /// After the first SOA.
    First,
    /// In the records of the full zone, until the SOA is repeated (RFC 5936 section 2.2).
    FullZone,
    /// In the removed records of a change (RFC 1995 section 4).
    Removed,
    /// In the added records of a change.
    Added,
    End,
}

/// Parses the records of an AXFR or IXFR response in the order in which they arrive.
#[derive(Clone, Debug)]
pub struct TransferReader {
    apex: Name,
    asked_from: Option<Serial>,
    max_records: usize,
    state: TransferState,
    newest: Option<Record>,
    full_zone: Vec<Record>,
    changes: Vec<Change>,
    count: usize,
}

impl TransferReader {
    /// Starts the parsing of a transfer: an IXFR from the serial `asked_from`, or an AXFR if there is none. `max_records`
    /// is the maximum number of records in the zone; a transfer may have twice as many.
    pub fn new(apex: Name, asked_from: Option<Serial>, max_records: usize) -> Self {
        Self {
            apex,
            asked_from,
            max_records,
            state: TransferState::Start,
            newest: None,
            full_zone: Vec::new(),
            changes: Vec::new(),
            count: 0,
        }
    }

    /// Whether the last record of the transfer arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, TransferState::End)
    }

    fn serial(record: &Record) -> Serial {
        Soa::parse(&record.data).map_or(Serial(0), |soa| soa.serial)
    }

    /// Parses the next record.
    pub fn push(&mut self, record: Record) -> Result<(), TransferError> {
        self.count += 1;
        if self.count > self.max_records.saturating_mul(2) {
            return Err(TransferError::TooManyRecords);
        }
        if !record.name.is_within(&self.apex) {
            return Err(TransferError::Rejected(record.to_string()));
        }
        let soa = record.kind == RecordType::SOA;
        let newest = self.newest.as_ref().map(Self::serial);
        match self.state {
            TransferState::Start => {
                if !soa || record.name != self.apex {
                    return Err(TransferError::NoLeadingSoa);
                }
                self.newest = Some(record);
                self.state = TransferState::First;
            }
            TransferState::First if soa && self.asked_from == Some(Self::serial(&record)) => {
                // The SOA of the requested serial comes second, so the response is incremental.
                self.begin_change(record);
            }
            TransferState::First if soa && newest == Some(Self::serial(&record)) => {
                // A full zone that contains nothing but its SOA.
                self.full_zone.extend(self.newest.clone());
                self.state = TransferState::End;
            }
            TransferState::First if soa => return Err(TransferError::OutOfOrder),
            TransferState::First => {
                self.full_zone.extend(self.newest.clone());
                self.full_zone.push(record);
                self.state = TransferState::FullZone;
            }
            TransferState::FullZone if soa => self.state = TransferState::End,
            TransferState::FullZone => self.full_zone.push(record),
            TransferState::Removed if soa => {
                if let Some(change) = self.changes.last_mut() {
                    change.to = Self::serial(&record);
                    change.added.push(record);
                }
                self.state = TransferState::Added;
            }
            TransferState::Removed => {
                if let Some(change) = self.changes.last_mut() {
                    change.removed.push(record);
                }
            }
            TransferState::Added if soa => {
                let last = self.changes.last().map(|change| change.to);
                if last == newest && newest == Some(Self::serial(&record)) {
                    self.state = TransferState::End;
                } else if last == Some(Self::serial(&record)) {
                    self.begin_change(record);
                } else {
                    return Err(TransferError::OutOfOrder);
                }
            }
            TransferState::Added => {
                if let Some(change) = self.changes.last_mut() {
                    change.added.push(record);
                }
            }
            TransferState::End => return Err(TransferError::TrailingRecords),
        }
        Ok(())
    }

    fn begin_change(&mut self, record: Record) {
        let from = Self::serial(&record);
        self.changes.push(Change { from, removed: vec![record], ..Change::default() });
        self.state = TransferState::Removed;
    }

    /// Handles the end of a message. If the first message of an IXFR response holds nothing but one SOA, the primary
    /// sends no changes (RFC 1995 section 2). The caller compares the returned serial with its own: if it is newer,
    /// the caller has to request the full zone.
    pub fn message_ended(&mut self) -> Option<TransferResult> {
        if matches!(self.state, TransferState::First) && self.asked_from.is_some() {
            let serial = self.newest.as_ref().map(Self::serial)?;
            return Some(TransferResult::UpToDate(serial));
        }
        None
    }

    /// The content of the transfer; none if it is not complete.
    pub fn finish(self) -> Option<TransferResult> {
        if !self.is_complete() {
            return None;
        }
        Some(if self.changes.is_empty() {
            TransferResult::Full(self.full_zone)
        } else {
            TransferResult::Incremental(self.changes)
        })
    }
}

/// Builds a version from the records of a full transfer. It must be newer than `current`.
pub fn zone_from_records(
    apex: &Name,
    current: Option<Serial>,
    records: &[Record],
) -> Result<Zone, TransferError> {
    let mut zone = Zone::new(apex.clone());
    for record in records {
        zone.add(record).map_err(|error| TransferError::Rejected(format!("{record}: {error}")))?;
    }
    let received = zone.soa().ok_or(TransferError::NoLeadingSoa)?.serial;
    match current {
        Some(current) if !received.newer_than(current) => Err(TransferError::NotNewer { received, current }),
        _ => Ok(zone),
    }
}
