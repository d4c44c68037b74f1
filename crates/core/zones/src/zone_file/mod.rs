//! Zone files: RFC 1035 section 5, `$TTL` by RFC 2308 section 4, unknown types by RFC 3597. What can't be taken
//! is refused by itself with its place and reason, all of it in one pass, and reading goes on at the next
//! record. Whether the file as a whole can be used is judged at the end.

mod reader;
mod scanner;

use crate::name::Name;
use crate::record_type::RecordType;
use crate::zone::Zone;
use reader::{fault, LastOwner, Reader};
use scanner::Position;
use std::fmt;
use std::sync::Arc;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFileError {
    /// The file's name as it was given.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: u32,
    /// The column in octets, from 1.
    pub column: u32,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ZoneFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.reason)
    }
}

/// What a file is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneFileLimits {
    /// With more refused records than this the file is of no use.
    pub max_refused: usize,
    /// How deep files may include one another.
    pub max_include_depth: usize,
    /// So many faults are told at most; the others are only counted.
    pub max_reported: usize,
}

impl Default for ZoneFileLimits {
    fn default() -> Self {
        Self { max_refused: usize::MAX, max_include_depth: 8, max_reported: 10_000 }
    }
}

/// What came of a file.
#[derive(Clone, Debug)]
pub struct ParsedZoneFile {
    /// What was kept; it can be used only where `unusable` is none.
    pub zone: Zone,
    /// What was refused, in the order of the file.
    pub faults: Vec<ZoneFileError>,
    /// How many were refused, told or not.
    pub refused: usize,
    /// Why the file as a whole can't be used.
    pub unusable: Option<ZoneFileError>,
}

/// Reads a zone file. Without an apex the SOA's owner is it. `include` gives the text of a file that the text
/// names; its path is within the zone's folder.
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
        early: Vec::new(),
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
    let mut early = std::mem::take(&mut reader.early);
    for (_, file, position) in early.drain(..) {
        reader.refuse(&file, position, "no SOA says which zone this belongs to".to_owned());
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

/// Writes a version as a zone file that reads back as the same; the apex first, names in canonical order.
pub fn write(zone: &Zone) -> String {
    use std::fmt::Write;
    let mut all = zone.all_records();
    let soa = usize::from(all.first().is_some_and(|record| record.kind == RecordType::SOA));
    all[soa..].sort();
    let mut text = format!("$ORIGIN {}\n", zone.apex());
    for record in all {
        // A string takes whatever is written to it.
        let _ = writeln!(text, "{record}");
    }
    text
}
