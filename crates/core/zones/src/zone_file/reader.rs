//! Parses the entries of a zone file: directives and records.

use super::scanner::{EntryError, LineStart, Position, Scanner};
use super::{ZoneFileError, ZoneFileLimits};
use crate::name::Name;
use crate::record::Record;
use crate::record_data::{read_time, Token};
use crate::record_type::RecordType;
use crate::soa::Soa;
use crate::zone::{RecordError, Zone};
use std::sync::Arc;

/// The owner of records that have no owner field.
#[derive(Clone)]
pub(super) enum LastOwner {
    None,
    Known(Name),
    /// The last owner was refused, so records without an owner field are refused too.
    Refused,
}

/// The state of reading one zone file and the files that it includes.
pub(super) struct Reader<'a> {
    pub(super) zone: Option<Zone>,
    /// Records before the SOA, while the apex is not known.
    pub(super) before_soa: Vec<(Record, Arc<str>, Position)>,
    pub(super) origin: Option<Name>,
    pub(super) owner: LastOwner,
    pub(super) ttl_default: Option<u32>,
    pub(super) ttl_last: Option<u32>,
    pub(super) minimum: Option<u32>,
    pub(super) limits: ZoneFileLimits,
    pub(super) faults: Vec<ZoneFileError>,
    pub(super) refused: usize,
    pub(super) unusable: Option<ZoneFileError>,
    pub(super) include: &'a mut dyn FnMut(&str) -> Result<Vec<u8>, String>,
}

impl Reader<'_> {
    pub(super) fn refuse(&mut self, file: &Arc<str>, position: Position, reason: String) {
        self.refused += 1;
        if self.faults.len() < self.limits.max_reported {
            self.faults.push(fault(file, position, reason));
        }
    }

    pub(super) fn text(&mut self, file: &Arc<str>, text: &[u8], depth: usize) {
        let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
        let mut scanner = Scanner::new(text);
        let (mut tokens, mut positions) = (Vec::new(), Vec::new());
        while let Some(entry) = scanner.entry(&mut tokens, &mut positions) {
            let result = match entry {
                Ok(LineStart::Owner) if tokens[0].text.first() == Some(&b'$') && !tokens[0].quoted => {
                    self.directive(&tokens, &positions, depth)
                }
                Ok(line_start) => self.record(file, line_start, &tokens, &positions),
                Err(fault) => Err(fault),
            };
            if let Err(fault) = result {
                self.refuse(file, fault.position, fault.reason);
            }
        }
    }

    fn directive(
        &mut self,
        tokens: &[Token],
        positions: &[Position],
        depth: usize,
    ) -> Result<(), EntryError> {
        let position_of = |n: usize| positions.get(n).or(positions.last()).copied().unwrap_or(positions[0]);
        let token = |n: usize, what: &str| {
            tokens
                .get(n)
                .map(|token| token.text)
                .ok_or_else(|| EntryError::new(position_of(n), format!("{what} is missing")))
        };
        let too_many = |most: usize| match tokens.len() > most {
            true => {
                Err(EntryError::new(position_of(most), "too many arguments for the directive".to_owned()))
            }
            false => Ok(()),
        };
        match tokens[0].text.to_ascii_uppercase().as_slice() {
            b"$ORIGIN" => {
                too_many(2)?;
                let name = Name::parse(token(1, "the origin")?, self.origin.as_ref());
                self.origin = Some(name.map_err(|error| EntryError::new(position_of(1), error.to_string()))?);
            }
            b"$TTL" => {
                too_many(2)?;
                let ttl = read_time(token(1, "the time")?);
                self.ttl_default = Some(ttl.ok_or_else(|| {
                    EntryError::new(position_of(1), "not a valid time in seconds".to_owned())
                })?);
            }
            b"$INCLUDE" => {
                too_many(3)?;
                let path = String::from_utf8_lossy(token(1, "the file")?).into_owned();
                let outside = path.starts_with('/') || path.split('/').any(|part| part == "..");
                if outside {
                    return Err(EntryError::new(
                        position_of(1),
                        format!("{path:?} is not within the zone's folder"),
                    ));
                }
                if depth >= self.limits.max_include_depth {
                    return Err(EntryError::new(
                        position_of(0),
                        format!("$INCLUDE directives are nested more than {depth} deep"),
                    ));
                }
                let origin_before = self.origin.clone();
                let owner_before = self.owner.clone();
                if let Some(origin) = tokens.get(2) {
                    let name = Name::parse(origin.text, self.origin.as_ref());
                    self.origin =
                        Some(name.map_err(|error| EntryError::new(position_of(2), error.to_string()))?);
                }
                let text = (self.include)(&path)
                    .map_err(|why| EntryError::new(position_of(1), format!("{path:?}: {why}")));
                if let Ok(text) = &text {
                    self.text(&path.as_str().into(), text, depth + 1);
                }
                self.origin = origin_before;
                self.owner = owner_before;
                text?;
            }
            other => {
                return Err(EntryError::new(
                    position_of(0),
                    format!("{} is not a known directive", String::from_utf8_lossy(other)),
                ));
            }
        }
        Ok(())
    }

    fn record(
        &mut self,
        file: &Arc<str>,
        line_start: LineStart,
        tokens: &[Token],
        positions: &[Position],
    ) -> Result<(), EntryError> {
        let position_of = |n: usize| positions.get(n).or(positions.last()).copied().unwrap_or(positions[0]);
        let mut n = 0;
        let name = if line_start == LineStart::Blank {
            match &self.owner {
                LastOwner::Known(name) => name.clone(),
                LastOwner::None => {
                    return Err(EntryError::new(
                        position_of(0),
                        "the owner is missing and no record precedes it".to_owned(),
                    ))
                }
                LastOwner::Refused => {
                    return Err(EntryError::new(
                        position_of(0),
                        "the owner is missing and the owner before it was refused".to_owned(),
                    ))
                }
            }
        } else {
            n = 1;
            let name = Name::parse(tokens[0].text, self.origin.as_ref());
            self.owner = name.as_ref().map_or(LastOwner::Refused, |name| LastOwner::Known(name.clone()));
            name.map_err(|error| EntryError::new(position_of(0), error.to_string()))?
        };
        let (mut ttl, mut class) = (None, false);
        let kind = loop {
            let Some(token) = tokens.get(n) else {
                return Err(EntryError::new(position_of(n), "the record type is missing".to_owned()));
            };
            if ttl.is_none() && token.text.first().is_some_and(u8::is_ascii_digit) {
                let time = read_time(token.text);
                ttl = Some(time.ok_or_else(|| {
                    EntryError::new(position_of(n), "not a valid time in seconds".to_owned())
                })?);
            } else if !class && is_class(token.text) {
                if !token.text.eq_ignore_ascii_case(b"IN") {
                    return Err(EntryError::new(position_of(n), "the class is not IN".to_owned()));
                }
                class = true;
            } else {
                let text = String::from_utf8_lossy(token.text);
                break RecordType::parse(&text).ok_or_else(|| {
                    EntryError::new(position_of(n), format!("{text:?} is not a record type"))
                })?;
            }
            n += 1;
        };
        n += 1;
        if kind.is_meta() {
            return Err(EntryError::new(position_of(n - 1), RecordError::Meta(kind).to_string()));
        }
        let data = kind
            .parse_data(&tokens[n..], self.origin.as_ref())
            .map_err(|error| EntryError::new(position_of(n + error.token_index), error.reason))?;
        if kind == RecordType::SOA {
            self.minimum = Soa::parse(&data).map(|soa| soa.minimum);
        }
        self.ttl_last = ttl.or(self.ttl_last);
        let ttl = ttl.or(self.ttl_default).or(self.ttl_last).or(self.minimum);
        let ttl = ttl.ok_or_else(|| {
            EntryError::new(
                position_of(n - 1),
                "the TTL is missing and no $TTL precedes the record".to_owned(),
            )
        })?;
        let record = Record { name, kind, ttl, data };
        if self.zone.is_none() {
            if kind != RecordType::SOA {
                self.before_soa.push((record, file.clone(), position_of(0)));
                return Ok(());
            }
            self.zone = Some(Zone::new(record.name.clone()));
            let added = self.add(file, position_of(0), &record);
            for (record, file, position) in std::mem::take(&mut self.before_soa) {
                if let Err(fault) = self.add(&file, position, &record) {
                    self.refuse(&file, fault.position, fault.reason);
                }
            }
            return added;
        }
        self.add(file, position_of(0), &record)
    }

    fn add(&mut self, file: &Arc<str>, position: Position, record: &Record) -> Result<(), EntryError> {
        let Some(zone) = &mut self.zone else { return Ok(()) };
        // All records of a set must share one TTL (RFC 2181 section 5.2); the first one applies.
        let ttl = zone.set(&record.name, record.kind).map_or(record.ttl, |set| set.ttl);
        match zone.add(&Record { ttl, ..record.clone() }) {
            Ok(_) => Ok(()),
            Err(unfit) => {
                let reason = format!("{} {}: {unfit}", record.name, record.kind);
                if record.kind == RecordType::SOA && self.unusable.is_none() {
                    self.unusable = Some(fault(file, position, reason.clone()));
                }
                Err(EntryError::new(position, reason))
            }
        }
    }
}

fn is_class(text: &[u8]) -> bool {
    [&b"IN"[..], b"CH", b"HS", b"CS"].iter().any(|class| text.eq_ignore_ascii_case(class))
}

pub(super) fn fault(file: &Arc<str>, position: Position, reason: String) -> ZoneFileError {
    ZoneFileError { file: file.clone(), line: position.line, column: position.column, reason }
}
