//! Domain names in wire form: absolute, lower case, at most 255 octets (RFC 1035 section 3.1, case by RFC 4343).
//! The part of a name from any label to its end is a valid name too.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// Maximum length of a name in octets.
pub const MAX_NAME_LENGTH: usize = 255;
/// Maximum length of a label in octets.
pub const MAX_LABEL_LENGTH: usize = 63;

/// An absolute domain name.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Name(Box<[u8]>);

/// Why a text or wire form is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// A label is empty.
    EmptyLabel,
    /// A label is longer than 63 octets.
    LongLabel,
    /// The name is longer than 255 octets.
    Long,
    /// A backslash starts no valid escape.
    Escape,
    /// The name is relative and no origin is known.
    Relative,
    /// The octets end within the name, or octets follow it.
    Short,
    /// A length octet announces an unsupported kind of label, such as a compression pointer.
    LabelKind,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "an empty name",
            Self::EmptyLabel => "a name with an empty label",
            Self::LongLabel => "a label of over 63 octets",
            Self::Long => "a name of over 255 octets",
            Self::Escape => "a backslash that does not start a valid escape",
            Self::Relative => "a relative name, and no origin is set",
            Self::Short => "a name that is cut short or followed by more octets",
            Self::LabelKind => "a label of an unknown kind",
        })
    }
}

impl std::error::Error for NameError {}

/// The labels of a name in wire form, the leftmost first, without the root label.
pub fn labels(wire: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = wire;
    std::iter::from_fn(move || {
        let (&length, after) = rest.split_first().filter(|(length, _)| **length > 0)?;
        let (label, after) = after.split_at_checked(length as usize)?;
        rest = after;
        Some(label)
    })
}

/// The offset of each label in a name, the leftmost first. Stored on the stack: a name has at most 127 labels.
pub struct LabelOffsets {
    at: [u8; 128],
    count: usize,
}

impl LabelOffsets {
    /// Finds the labels of a name in wire form.
    pub fn of(wire: &[u8]) -> Self {
        let (mut starts, mut at) = (Self { at: [0; 128], count: 0 }, 0);
        while let Some(&length) = wire.get(at).filter(|length| **length > 0) {
            starts.at[starts.count] = at as u8;
            starts.count += 1;
            at += 1 + length as usize;
        }
        starts
    }

    /// The number of labels.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The offset of the label with this index.
    pub fn at(&self, label: usize) -> usize {
        self.at[label] as usize
    }
}

impl Name {
    /// The root name.
    pub fn root() -> Self {
        Self(Box::new([0]))
    }

    /// Parses a wire form that contains one name without compression pointers and nothing else.
    pub fn from_wire(wire: &[u8]) -> Result<Self, NameError> {
        let (name, rest) = Self::split(wire)?;
        if rest.is_empty() {
            Ok(name)
        } else {
            Err(NameError::Short)
        }
    }

    /// Parses the name at the start of `wire`; returns it and the remaining octets.
    pub fn split(wire: &[u8]) -> Result<(Self, &[u8]), NameError> {
        let mut at = 0;
        loop {
            let length = *wire.get(at).ok_or(NameError::Short)? as usize;
            if length > MAX_LABEL_LENGTH {
                return Err(NameError::LabelKind);
            }
            at += 1 + length;
            if at > MAX_NAME_LENGTH {
                return Err(NameError::Long);
            }
            if length == 0 {
                break;
            }
        }
        Ok((Self(wire[..at].to_ascii_lowercase().into()), &wire[at..]))
    }

    /// Parses the text form of a name (RFC 1035 section 5.1): `@` is the origin, a name without a final dot is
    /// relative to it, `\.` and `\DDD` are escapes.
    pub fn parse(text: &[u8], origin: Option<&Name>) -> Result<Self, NameError> {
        if text == b"@" {
            return origin.cloned().ok_or(NameError::Relative);
        }
        if text == b"." {
            return Ok(Self::root());
        }
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        let mut wire = Vec::with_capacity(text.len() + 2 + origin.map_or(0, |origin| origin.0.len()));
        let (mut start, mut at) = (0, 0);
        wire.push(0);
        let close = |wire: &mut Vec<u8>, start: usize| match wire.len() - start - 1 {
            0 => Err(NameError::EmptyLabel),
            length if length > MAX_LABEL_LENGTH => Err(NameError::LongLabel),
            length => {
                wire[start] = length as u8;
                Ok(())
            }
        };
        while at < text.len() {
            match text[at] {
                b'.' => {
                    close(&mut wire, start)?;
                    if at + 1 == text.len() {
                        wire.push(0);
                        return Self::bounded(wire);
                    }
                    start = wire.len();
                    wire.push(0);
                    at += 1;
                }
                b'\\' => {
                    let (octet, used) = escape(&text[at..]).ok_or(NameError::Escape)?;
                    wire.push(octet.to_ascii_lowercase());
                    at += used;
                }
                octet => {
                    wire.push(octet.to_ascii_lowercase());
                    at += 1;
                }
            }
            if wire.len() > MAX_NAME_LENGTH {
                return Err(NameError::Long);
            }
        }
        close(&mut wire, start)?;
        wire.extend_from_slice(&origin.ok_or(NameError::Relative)?.0);
        Self::bounded(wire)
    }

    fn bounded(wire: Vec<u8>) -> Result<Self, NameError> {
        if wire.len() > MAX_NAME_LENGTH {
            return Err(NameError::Long);
        }
        Ok(Self(wire.into()))
    }

    /// The wire form.
    pub fn wire(&self) -> &[u8] {
        &self.0
    }

    /// The labels, the leftmost first, without the root label.
    pub fn labels(&self) -> impl Iterator<Item = &[u8]> {
        labels(&self.0)
    }

    /// Whether this name equals `other` or is below it.
    pub fn is_within(&self, other: &Name) -> bool {
        within(&self.0, &other.0)
    }

    /// The parent name; the root has none.
    pub fn parent(&self) -> Option<Name> {
        let length = *self.0.first().filter(|length| **length > 0)? as usize;
        Some(Self(self.0[1 + length..].into()))
    }

    /// Returns the name with one more label on the left.
    pub fn child(&self, label: &[u8]) -> Result<Name, NameError> {
        if label.is_empty() || label.len() > MAX_LABEL_LENGTH {
            return Err(if label.is_empty() { NameError::EmptyLabel } else { NameError::LongLabel });
        }
        let mut wire = Vec::with_capacity(1 + label.len() + self.0.len());
        wire.push(label.len() as u8);
        wire.extend(label.iter().map(u8::to_ascii_lowercase));
        wire.extend_from_slice(&self.0);
        Self::bounded(wire)
    }
}

/// Whether a name in wire form equals `other` or is below it.
pub fn within(name: &[u8], other: &[u8]) -> bool {
    let Some(from) = name.len().checked_sub(other.len()) else { return false };
    let mut at = 0;
    while at < from {
        at += 1 + name[at] as usize;
    }
    at == from && name[from..] == *other
}

/// Parses an escape, `\DDD` or `\X`; returns its octet and its length in the text.
pub fn escape(text: &[u8]) -> Option<(u8, usize)> {
    let next = *text.get(1)?;
    if !next.is_ascii_digit() {
        return Some((next, 2));
    }
    let digits = text.get(1..4).filter(|digits| digits.iter().all(u8::is_ascii_digit))?;
    let value = digits.iter().fold(0_u32, |value, digit| value * 10 + u32::from(digit - b'0'));
    Some((u8::try_from(value).ok()?, 4))
}

impl TryFrom<Vec<u8>> for Name {
    type Error = NameError;
    fn try_from(wire: Vec<u8>) -> Result<Self, NameError> {
        Self::from_wire(&wire)
    }
}

impl From<Name> for Vec<u8> {
    fn from(name: Name) -> Self {
        name.0.into()
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;
    /// Parses an absolute name; the final dot is optional.
    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::parse(text.as_bytes(), Some(&Self::root()))
    }
}

/// The canonical order (RFC 4034 section 6.1), which compares labels from the root on.
impl Ord for Name {
    fn cmp(&self, other: &Self) -> Ordering {
        let (a, b) = (LabelOffsets::of(&self.0), LabelOffsets::of(&other.0));
        fn label<'a>(wire: &'a [u8], starts: &LabelOffsets, n: usize) -> &'a [u8] {
            let at = starts.at(starts.count() - 1 - n);
            &wire[at + 1..at + 1 + wire[at] as usize]
        }
        for n in 0..a.count().min(b.count()) {
            match label(&self.0, &a, n).cmp(label(&other.0, &b, n)) {
                Ordering::Equal => {}
                unequal => return unequal,
            }
        }
        a.count().cmp(&b.count())
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Writes the text form of a name, escaped so that parsing it yields the same name.
pub fn write_text(wire: &[u8], f: &mut impl fmt::Write) -> fmt::Result {
    if wire == [0] {
        return f.write_char('.');
    }
    for label in labels(wire) {
        for &octet in label {
            match octet {
                b'.' | b'\\' | b'"' | b';' | b'(' | b')' | b'@' | b'$' => {
                    write!(f, "\\{}", octet as char)?;
                }
                b'!'..=b'~' => f.write_char(octet as char)?,
                _ => write!(f, "\\{octet:03}")?,
            }
        }
        f.write_char('.')?;
    }
    Ok(())
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_text(&self.0, f)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_text(&self.0, f)
    }
}

/// Replaces the suffix `end` of a name by `by` (RFC 6672 section 2.2); none if the result is too long or the name
/// is not below `end`.
pub fn replace_suffix(name: &[u8], end: &[u8], by: &[u8]) -> Option<Vec<u8>> {
    if !within(name, end) || labels(name).count() == labels(end).count() {
        return None;
    }
    let mut out = name[..name.len() - end.len()].to_vec();
    out.extend_from_slice(by);
    (out.len() <= MAX_NAME_LENGTH).then_some(out)
}
