//! Zone files: RFC 1035 section 5, `$TTL` by RFC 2308 section 4, unknown kinds by RFC 3597. What can't be taken
//! is refused by itself with its place and reason, all of it in one pass, and reading goes on at the next
//! record. Whether the file as a whole can be used is judged at the end.

use crate::name::Name;
use crate::record::Record;
use crate::record_type::{read_time, RecordType, Token};
use crate::soa::Soa;
use crate::zone::{RecordError, Zone};
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
    pub refused: usize,
    /// How deep files may include one another.
    pub depth: usize,
    /// So many faults are told at most; the others are only counted.
    pub told: usize,
}

impl Default for ZoneFileLimits {
    fn default() -> Self {
        Self { refused: usize::MAX, depth: 8, told: 10_000 }
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

#[derive(Clone, Copy, Debug)]
struct Position {
    line: u32,
    column: u32,
}

/// Splits a text into entries: the words of a line, or of several within parentheses.
struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
    line: u32,
    line_start: usize,
}

/// Where an open parenthesis stands, and where the line after it begins.
#[derive(Clone, Copy)]
struct Paren {
    spot: Position,
    resume: (usize, u32),
}

impl<'a> Scanner<'a> {
    fn spot(&self) -> Position {
        Position { line: self.line, column: (self.at - self.line_start) as u32 + 1 }
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn newline(&mut self) {
        self.at += 1;
        self.line += 1;
        self.line_start = self.at;
    }

    fn skip_line(&mut self) {
        while self.peek().is_some_and(|octet| octet != b'\n') {
            self.at += 1;
        }
        if self.peek().is_some() {
            self.newline();
        }
    }

    /// After a fault: to the next record. An entry in parentheses is left behind its end, or, where that is
    /// missing, behind the line on which it began, so that it does not swallow the good ones after it.
    fn recover(&mut self, paren: Option<Paren>) {
        let Some(Paren { resume, .. }) = paren else { return self.skip_line() };
        loop {
            match self.peek() {
                Some(b')') => return self.skip_line(),
                Some(b'(') | None => {
                    (self.at, self.line) = resume;
                    self.line_start = self.at;
                    return;
                }
                Some(b'\n') => self.newline(),
                Some(b';') => self.skip_line(),
                Some(_) => self.at += 1,
            }
        }
    }

    /// The next entry's words; whether it began with a blank. None at the end of the text.
    fn entry(
        &mut self,
        words: &mut Vec<Token<'a>>,
        spots: &mut Vec<Position>,
    ) -> Option<Result<bool, (Position, &'static str)>> {
        words.clear();
        spots.clear();
        let mut blank = matches!(self.peek(), Some(b' ' | b'\t'));
        let mut paren: Option<Paren> = None;
        loop {
            let spot = self.spot();
            let Some(octet) = self.peek() else {
                if let Some(open) = paren {
                    self.recover(paren);
                    return Some(Err((open.spot, "a parenthesis that is not closed")));
                }
                return (!words.is_empty()).then_some(Ok(blank));
            };
            match octet {
                b' ' | b'\t' | b'\r' => self.at += 1,
                b';' => {
                    while self.peek().is_some_and(|octet| octet != b'\n') {
                        self.at += 1;
                    }
                }
                b'\n' => {
                    self.newline();
                    if paren.is_none() {
                        if !words.is_empty() {
                            return Some(Ok(blank));
                        }
                        blank = matches!(self.peek(), Some(b' ' | b'\t'));
                    }
                }
                b'(' => {
                    if let Some(open) = paren {
                        self.recover(paren);
                        return Some(Err((
                            open.spot,
                            "a parenthesis that is not closed before the next one",
                        )));
                    }
                    let end = self.text[self.at..].iter().position(|octet| *octet == b'\n');
                    let resume = (end.map_or(self.text.len(), |end| self.at + end + 1), self.line + 1);
                    paren = Some(Paren { spot, resume });
                    self.at += 1;
                }
                b')' => {
                    if paren.take().is_none() {
                        self.recover(None);
                        return Some(Err((spot, "a parenthesis that was not opened")));
                    }
                    self.at += 1;
                }
                b'"' => {
                    let start = self.at + 1;
                    self.at = start;
                    loop {
                        match self.peek() {
                            Some(b'"') => break,
                            Some(b'\\') if self.text.get(self.at + 1).is_some_and(|o| *o != b'\n') => {
                                self.at += 2
                            }
                            None | Some(b'\n') => {
                                self.recover(paren);
                                return Some(Err((spot, "a quote that is not closed on its line")));
                            }
                            Some(_) => self.at += 1,
                        }
                    }
                    words.push(Token { text: &self.text[start..self.at], quoted: true });
                    spots.push(spot);
                    self.at += 1;
                }
                _ => {
                    let start = self.at;
                    while let Some(octet) = self.peek() {
                        match octet {
                            b' ' | b'\t' | b'\r' | b'\n' | b';' | b'(' | b')' | b'"' => break,
                            b'\\' if self.text.get(self.at + 1).is_some_and(|o| *o != b'\n') => self.at += 2,
                            _ => self.at += 1,
                        }
                    }
                    words.push(Token { text: &self.text[start..self.at], quoted: false });
                    spots.push(spot);
                }
            }
        }
    }
}

/// The owner that a line without one takes over.
#[derive(Clone)]
enum LastOwner {
    None,
    Known(Name),
    /// Its record was refused for its owner: what follows without one is refused too.
    Refused,
}

struct Reader<'a> {
    zone: Option<Zone>,
    /// Records that came before the SOA told the apex.
    early: Vec<(Record, Arc<str>, Position)>,
    origin: Option<Name>,
    owner: LastOwner,
    ttl_default: Option<u32>,
    ttl_last: Option<u32>,
    minimum: Option<u32>,
    limits: ZoneFileLimits,
    faults: Vec<ZoneFileError>,
    refused: usize,
    unusable: Option<ZoneFileError>,
    include: &'a mut dyn FnMut(&str) -> Result<Vec<u8>, String>,
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
    for (_, file, spot) in early.drain(..) {
        reader.refuse(&file, spot, "no SOA says which zone this belongs to".to_owned());
    }
    let Reader { zone, faults, refused, mut unusable, .. } = reader;
    let start = Position { line: 1, column: 1 };
    let zone = zone.unwrap_or_else(|| Zone::new(Name::root()));
    if unusable.is_none() && zone.soa().is_none() {
        unusable = Some(fault(&file, start, "the zone has no SOA".to_owned()));
    }
    if unusable.is_none() && refused > limits.refused {
        let reason = format!("{refused} records refused; {} are allowed", limits.refused);
        unusable = Some(fault(&file, start, reason));
    }
    ParsedZoneFile { zone, faults, refused, unusable }
}

fn fault(file: &Arc<str>, spot: Position, reason: String) -> ZoneFileError {
    ZoneFileError { file: file.clone(), line: spot.line, column: spot.column, reason }
}

impl Reader<'_> {
    fn refuse(&mut self, file: &Arc<str>, spot: Position, reason: String) {
        self.refused += 1;
        if self.faults.len() < self.limits.told {
            self.faults.push(fault(file, spot, reason));
        }
    }

    fn text(&mut self, file: &Arc<str>, text: &[u8], depth: usize) {
        let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
        let mut scanner = Scanner { text, at: 0, line: 1, line_start: 0 };
        let (mut words, mut spots) = (Vec::new(), Vec::new());
        while let Some(entry) = scanner.entry(&mut words, &mut spots) {
            let taken = match entry {
                Ok(false) if words[0].text.first() == Some(&b'$') && !words[0].quoted => {
                    self.directive(&words, &spots, depth)
                }
                Ok(blank) => self.record(file, blank, &words, &spots),
                Err((spot, reason)) => Err((spot, reason.to_owned())),
            };
            if let Err((spot, reason)) = taken {
                self.refuse(file, spot, reason);
            }
        }
    }

    fn directive(
        &mut self,
        words: &[Token],
        spots: &[Position],
        depth: usize,
    ) -> Result<(), (Position, String)> {
        let at = |n: usize| spots.get(n).or(spots.last()).copied().unwrap_or(spots[0]);
        let word = |n: usize, what: &str| {
            words.get(n).map(|word| word.text).ok_or_else(|| (at(n), format!("{what} is missing")))
        };
        let too_many = |most: usize| match words.len() > most {
            true => Err((at(most), "more than the directive takes".to_owned())),
            false => Ok(()),
        };
        match words[0].text.to_ascii_uppercase().as_slice() {
            b"$ORIGIN" => {
                too_many(2)?;
                let name = Name::parse(word(1, "the origin")?, self.origin.as_ref());
                self.origin = Some(name.map_err(|bad| (at(1), bad.to_string()))?);
            }
            b"$TTL" => {
                too_many(2)?;
                let ttl = read_time(word(1, "the time")?);
                self.ttl_default = Some(ttl.ok_or_else(|| (at(1), "no time in seconds".to_owned()))?);
            }
            b"$INCLUDE" => {
                too_many(3)?;
                let path = String::from_utf8_lossy(word(1, "the file")?).into_owned();
                let outside = path.starts_with('/') || path.split('/').any(|part| part == "..");
                if outside {
                    return Err((at(1), format!("{path:?} is not within the zone's folder")));
                }
                if depth >= self.limits.depth {
                    return Err((at(0), format!("files include one another over {depth} deep")));
                }
                let before = (self.origin.clone(), self.owner.clone());
                if let Some(origin) = words.get(2) {
                    let name = Name::parse(origin.text, self.origin.as_ref());
                    self.origin = Some(name.map_err(|bad| (at(2), bad.to_string()))?);
                }
                let text = (self.include)(&path).map_err(|why| (at(1), format!("{path:?}: {why}")));
                if let Ok(text) = &text {
                    self.text(&path.as_str().into(), text, depth + 1);
                }
                (self.origin, self.owner) = before;
                text?;
            }
            other => {
                return Err((at(0), format!("{} is no directive", String::from_utf8_lossy(other))));
            }
        }
        Ok(())
    }

    fn record(
        &mut self,
        file: &Arc<str>,
        blank: bool,
        words: &[Token],
        spots: &[Position],
    ) -> Result<(), (Position, String)> {
        let at = |n: usize| spots.get(n).or(spots.last()).copied().unwrap_or(spots[0]);
        let mut n = 0;
        let name = if blank {
            match &self.owner {
                LastOwner::Known(name) => name.clone(),
                LastOwner::None => return Err((at(0), "no owner, and none stands before it".to_owned())),
                LastOwner::Refused => return Err((at(0), "its owner was refused above".to_owned())),
            }
        } else {
            n = 1;
            let name = Name::parse(words[0].text, self.origin.as_ref());
            self.owner = name.as_ref().map_or(LastOwner::Refused, |name| LastOwner::Known(name.clone()));
            name.map_err(|bad| (at(0), bad.to_string()))?
        };
        let (mut ttl, mut class) = (None, false);
        let kind = loop {
            let Some(word) = words.get(n) else { return Err((at(n), "no kind of record".to_owned())) };
            if ttl.is_none() && word.text.first().is_some_and(u8::is_ascii_digit) {
                let time = read_time(word.text);
                ttl = Some(time.ok_or_else(|| (at(n), "no time in seconds".to_owned()))?);
            } else if !class && is_class(word.text) {
                if !word.text.eq_ignore_ascii_case(b"IN") {
                    return Err((at(n), "the class is not IN".to_owned()));
                }
                class = true;
            } else {
                let text = String::from_utf8_lossy(word.text);
                break RecordType::parse(&text)
                    .ok_or_else(|| (at(n), format!("{text:?} is no kind of record")))?;
            }
            n += 1;
        };
        n += 1;
        if kind.is_meta() {
            return Err((at(n - 1), RecordError::Meta(kind).to_string()));
        }
        let data =
            kind.read(&words[n..], self.origin.as_ref()).map_err(|bad| (at(n + bad.word), bad.what))?;
        if kind == RecordType::SOA {
            self.minimum = Soa::of(&data).map(|soa| soa.minimum);
        }
        self.ttl_last = ttl.or(self.ttl_last);
        let ttl = ttl.or(self.ttl_default).or(self.ttl_last).or(self.minimum);
        let ttl =
            ttl.ok_or_else(|| (at(n - 1), "no time to live, and no $TTL stands before it".to_owned()))?;
        let record = Record { name, kind, ttl, data };
        if self.zone.is_none() {
            if kind != RecordType::SOA {
                self.early.push((record, file.clone(), at(0)));
                return Ok(());
            }
            self.zone = Some(Zone::new(record.name.clone()));
            let added = self.add(file, at(0), &record);
            for (record, file, spot) in std::mem::take(&mut self.early) {
                if let Err((spot, reason)) = self.add(&file, spot, &record) {
                    self.refuse(&file, spot, reason);
                }
            }
            return added;
        }
        self.add(file, at(0), &record)
    }

    fn add(&mut self, file: &Arc<str>, spot: Position, record: &Record) -> Result<(), (Position, String)> {
        let Some(zone) = &mut self.zone else { return Ok(()) };
        // Of several times to live in one set the first stands (RFC 2181 section 5.2 wants one).
        let ttl = zone.set(&record.name, record.kind).map_or(record.ttl, |set| set.ttl);
        match zone.add(&Record { ttl, ..record.clone() }) {
            Ok(_) => Ok(()),
            Err(unfit) => {
                let reason = format!("{} {}: {unfit}", record.name, record.kind);
                if record.kind == RecordType::SOA && self.unusable.is_none() {
                    self.unusable = Some(fault(file, spot, reason.clone()));
                }
                Err((spot, reason))
            }
        }
    }
}

fn is_class(text: &[u8]) -> bool {
    [&b"IN"[..], b"CH", b"HS", b"CS"].iter().any(|class| text.eq_ignore_ascii_case(class))
}

/// Writes a version as a zone file that reads back as the same; the apex first, names in canonical order.
pub fn write(zone: &Zone) -> String {
    use std::fmt::Write;
    let mut all = zone.all();
    let soa = usize::from(all.first().is_some_and(|record| record.kind == RecordType::SOA));
    all[soa..].sort();
    let mut text = format!("$ORIGIN {}\n", zone.apex());
    for record in all {
        // A string takes whatever is written to it.
        let _ = writeln!(text, "{record}");
    }
    text
}
