//! Parsing of zone files: RFC 1035 section 5, `$TTL` by RFC 2308 section 4, unknown types by RFC 3597. An invalid
//! record is refused on its own, with its position and the reason, and parsing continues at the next record. So
//! one pass reports all errors; whether the file is usable as a whole is decided at the end.

mod reader;
mod scanner;

use crate::name::Name;
use crate::record_type::RecordType;
use crate::zone::Zone;
use reader::{fault, LastOwner, Reader};
use scanner::Position;
use std::fmt;
use std::sync::Arc;

/// An error in a zone file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFileError {
    /// The file's name as passed to [`read`] or written in `$INCLUDE`.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: u32,
    /// The column in octets, counted from 1.
    pub column: u32,
    /// A description of the error.
    pub reason: String,
}

impl fmt::Display for ZoneFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.reason)
    }
}

/// Limits for parsing a zone file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneFileLimits {
    /// Maximum number of refused records; a file with more of them is unusable.
    pub max_refused: usize,
    /// Maximum depth of nested `$INCLUDE` directives.
    pub max_include_depth: usize,
    /// Maximum number of errors that are reported; further ones are only counted.
    pub max_reported: usize,
}

impl Default for ZoneFileLimits {
    fn default() -> Self {
        Self { max_refused: usize::MAX, max_include_depth: 8, max_reported: 10_000 }
    }
}

/// The result of parsing a zone file.
#[derive(Clone, Debug)]
pub struct ParsedZoneFile {
    /// The accepted records. They are usable only if `unusable` is none.
    pub zone: Zone,
    /// The refused records and directives, in the order of the file.
    pub faults: Vec<ZoneFileError>,
    /// The number of refused records and directives, including unreported ones.
    pub refused: usize,
    /// Why the file is unusable as a whole; none if it is usable.
    pub unusable: Option<ZoneFileError>,
}

/// Parses a zone file. Without an apex, the owner of the SOA is the apex. `include` reads the file that an
/// `$INCLUDE` directive names; its path is always within the zone's directory.
pub fn read(
    file: &str,
    text: &[u8],
    apex: Option<&Name>,
    limits: ZoneFileLimits,
    include: &mut dyn FnMut(&str) -> Result<Vec<u8>, String>,
) -> ParsedZoneFile {
    let file: Arc<str> = file.into();
    let mut reader = Reader {
        zone: apex.cloned().map(Zone::new),
        before_soa: Vec::new(),
        origin: apex.cloned(),
        owner: LastOwner::None,
        ttl_default: None,
        ttl_last: None,
        minimum: None,
        limits,
        faults: Vec::new(),
        refused: 0,
        unusable: None,
        include,
    };
    reader.text(&file, text, 0);
    let mut before_soa = std::mem::take(&mut reader.before_soa);
    for (_, file, position) in before_soa.drain(..) {
        reader.refuse(&file, position, "the zone of the record is unknown because no SOA follows".to_owned());
    }
    let Reader { zone, faults, refused, mut unusable, .. } = reader;
    let start = Position { line: 1, column: 1 };
    let zone = zone.unwrap_or_else(|| Zone::new(Name::root()));
    if unusable.is_none() && zone.soa().is_none() {
        unusable = Some(fault(&file, start, "the zone has no SOA".to_owned()));
    }
    if unusable.is_none() && refused > limits.max_refused {
        let reason = format!("{refused} records refused; {} are allowed", limits.max_refused);
        unusable = Some(fault(&file, start, reason));
    }
    ParsedZoneFile { zone, faults, refused, unusable }
}

/// Formats a version as a zone file that parses to the same records: the SOA first, then names in canonical order.
pub fn write(zone: &Zone) -> String {
    use std::fmt::Write;
    let mut all = zone.all_records();
    let soa = usize::from(all.first().is_some_and(|record| record.kind == RecordType::SOA));
    all[soa..].sort();
    let mut text = format!("$ORIGIN {}\n", zone.apex());
    for record in all {
        // Writing to a `String` can't fail.
        let _ = writeln!(text, "{record}");
    }
    text
}
