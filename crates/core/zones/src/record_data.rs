//! The data of resource records: parsing from text, validation in wire form and formatting as text (RFC 1035
//! section 5.1). The data of types without a field list in [`RecordType`] is opaque and written as in RFC 3597.

use crate::name::{escape, write_text, Name, NameError};
use crate::record_type::{Field, RecordType};
use std::fmt::{self, Write};
use std::net::{Ipv4Addr, Ipv6Addr};

/// A token of a zone file, with its escapes unresolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// The text between quotes or blanks.
    pub text: &'a [u8],
    /// Whether the token was quoted.
    pub quoted: bool,
}

/// Why a text is not valid record data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRecordData {
    /// The index of the invalid token; the number of tokens if a field is missing at the end.
    pub token_index: usize,
    /// A description of the error.
    pub reason: String,
}

/// Parses a time in seconds, with or without units as in `1h30m`; at most 2^31 - 1 (RFC 2181 section 8).
pub fn read_time(text: &[u8]) -> Option<u32> {
    let (mut total, mut number, mut digits) = (0_u64, 0_u64, false);
    for octet in text {
        match octet {
            b'0'..=b'9' => {
                number = number.checked_mul(10)?.checked_add(u64::from(octet - b'0'))?;
                digits = true;
            }
            _ if digits => {
                let unit = match octet.to_ascii_lowercase() {
                    b's' => 1,
                    b'm' => 60,
                    b'h' => 3600,
                    b'd' => 86_400,
                    b'w' => 604_800,
                    _ => return None,
                };
                total = total.checked_add(number.checked_mul(unit)?)?;
                (number, digits) = (0, false);
            }
            _ => return None,
        }
    }
    let total = total.checked_add(number)?;
    (!text.is_empty() && total < 1 << 31).then_some(total as u32)
}

/// Resolves the escapes in a token.
fn octets(text: &[u8]) -> Option<Vec<u8>> {
    let (mut out, mut at) = (Vec::with_capacity(text.len()), 0);
    while at < text.len() {
        let (octet, used) = if text[at] == b'\\' { escape(&text[at..])? } else { (text[at], 1) };
        out.push(octet);
        at += used;
    }
    Some(out)
}

fn number<T: TryFrom<u64>>(text: &[u8]) -> Option<T> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits)?;
    text.parse::<u64>().ok().and_then(|value| T::try_from(value).ok())
}

/// Why a token is not valid for its field.
enum FieldError {
    /// A backslash that starts no valid escape.
    Escape,
    /// A string that is too long for its length octet.
    LongString,
    /// An invalid name: the error and the token.
    Name(NameError, String),
    /// Another invalid value: the token and what the field expects.
    InvalidValue(String, &'static str),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Escape => f.write_str("a backslash that does not start a valid escape"),
            Self::LongString => f.write_str("a string of over 255 octets"),
            Self::Name(fault, token) => write!(f, "{fault}: {token:?}"),
            Self::InvalidValue(token, what) => write!(f, "{token:?} is not a valid {what}"),
        }
    }
}

fn string(out: &mut Vec<u8>, text: &[u8]) -> Result<(), FieldError> {
    let octets = octets(text).ok_or(FieldError::Escape)?;
    let length = u8::try_from(octets.len()).map_err(|_| FieldError::LongString)?;
    out.push(length);
    out.extend_from_slice(&octets);
    Ok(())
}

fn parse_as<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

impl Field {
    /// Parses one token and appends its wire form to `out`.
    fn read(self, token: Token, origin: Option<&Name>, out: &mut Vec<u8>) -> Result<(), FieldError> {
        let text = token.text;
        let token_text = || String::from_utf8_lossy(text).into_owned();
        let invalid = |what: &'static str| FieldError::InvalidValue(token_text(), what);
        match self {
            Self::Name => {
                let name =
                    Name::parse(text, origin).map_err(|fault| FieldError::Name(fault, token_text()))?;
                out.extend_from_slice(name.wire());
            }
            Self::U8 => out.push(number(text).ok_or_else(|| invalid("number from 0 to 255"))?),
            Self::U16 => {
                let value: u16 = number(text).ok_or_else(|| invalid("number from 0 to 65535"))?;
                out.extend(value.to_be_bytes());
            }
            Self::U32 => {
                let value: u32 = number(text).ok_or_else(|| invalid("number from 0 to 4294967295"))?;
                out.extend(value.to_be_bytes());
            }
            Self::Time => {
                let value = read_time(text).ok_or_else(|| invalid("time in seconds"))?;
                out.extend(value.to_be_bytes());
            }
            Self::V4 => {
                let address: Ipv4Addr = parse_as(text).ok_or_else(|| invalid("IPv4 address"))?;
                out.extend(address.octets());
            }
            Self::V6 => {
                let address: Ipv6Addr = parse_as(text).ok_or_else(|| invalid("IPv6 address"))?;
                out.extend(address.octets());
            }
            Self::Text | Self::Texts => string(out, text)?,
            Self::Tag => {
                if text.is_empty() || !text.iter().all(u8::is_ascii_alphanumeric) {
                    return Err(invalid("word of letters and digits"));
                }
                string(out, text)?;
            }
            Self::UnprefixedText => {
                out.extend(octets(text).ok_or(FieldError::Escape)?);
            }
            Self::Base64 | Self::Hex => unreachable!("base64 and hex fields are decoded by parse_data"),
        }
        Ok(())
    }

    /// The length of the field at the start of `data`; none if it is malformed.
    fn length(self, data: &[u8]) -> Option<usize> {
        let fixed = |n: usize| (data.len() >= n).then_some(n);
        match self {
            Self::Name => Name::split(data).ok().map(|(_, rest)| data.len() - rest.len()),
            Self::U8 => fixed(1),
            Self::U16 => fixed(2),
            Self::U32 | Self::Time | Self::V4 => fixed(4),
            Self::V6 => fixed(16),
            Self::Text => fixed(1 + usize::from(*data.first()?)),
            // A tag that can't be written in a zone file must be refused here too: stored from an update, it would
            // make the whole zone file unusable.
            Self::Tag => fixed(1 + usize::from(*data.first()?))
                .filter(|length| *length > 1 && data[1..*length].iter().all(u8::is_ascii_alphanumeric)),
            Self::Texts => {
                let mut at = 0;
                while at < data.len() {
                    at += 1 + usize::from(data[at]);
                }
                (at == data.len() && at > 0).then_some(at)
            }
            Self::UnprefixedText | Self::Base64 | Self::Hex => Some(data.len()),
        }
    }

    fn write(self, data: &[u8], f: &mut String) -> fmt::Result {
        let u16_at = |at: usize| u16::from_be_bytes([data[at], data[at + 1]]);
        match self {
            Self::Name => write_text(data, f),
            Self::U8 => write!(f, "{}", data[0]),
            Self::U16 => write!(f, "{}", u16_at(0)),
            Self::U32 | Self::Time => {
                write!(f, "{}", u32::from_be_bytes([data[0], data[1], data[2], data[3]]))
            }
            Self::V4 => write!(f, "{}", Ipv4Addr::new(data[0], data[1], data[2], data[3])),
            Self::V6 => {
                let parts: [u16; 8] = std::array::from_fn(|n| u16_at(2 * n));
                write!(f, "{}", Ipv6Addr::from(parts))
            }
            Self::Text => quoted(&data[1..], f),
            Self::Tag => f.write_str(&String::from_utf8_lossy(&data[1..])),
            Self::UnprefixedText => quoted(data, f),
            Self::Texts => {
                let mut at = 0;
                while at < data.len() {
                    let end = at + 1 + usize::from(data[at]);
                    f.write_str(if at > 0 { " " } else { "" })?;
                    quoted(&data[at + 1..end], f)?;
                    at = end;
                }
                Ok(())
            }
            Self::Base64 => f.write_str(&data_encoding::BASE64.encode(data)),
            Self::Hex => f.write_str(&data_encoding::HEXUPPER.encode(data)),
        }
    }
}

fn quoted(octets: &[u8], f: &mut String) -> fmt::Result {
    f.write_char('"')?;
    for &octet in octets {
        match octet {
            b'"' | b'\\' => write!(f, "\\{}", octet as char)?,
            b' '..=b'~' => f.write_char(octet as char)?,
            _ => write!(f, "\\{octet:03}")?,
        }
    }
    f.write_char('"')
}

/// The maximum length of record data in octets.
pub const MAX_DATA_LENGTH: usize = 65_535;

impl RecordType {
    /// Parses record data from text. Relative names in it are completed with the origin.
    pub fn parse_data(self, tokens: &[Token], origin: Option<&Name>) -> Result<Vec<u8>, InvalidRecordData> {
        let bad = |token_index: usize, what: String| InvalidRecordData { token_index, reason: what };
        if tokens.first().is_some_and(|token| token.text == b"\\#" && !token.quoted) {
            return self.read_opaque(tokens);
        }
        let Some(fields) = self.fields() else {
            let what = format!("data of type {self} is written as \\# LENGTH HEX (RFC 3597)");
            return Err(bad(0, what));
        };
        let mut out = Vec::new();
        let mut at = 0;
        for field in fields {
            let missing = || bad(at, format!("{self} data is incomplete"));
            match field {
                Field::Base64 | Field::Hex => {
                    let text: Vec<u8> = tokens[at..].iter().flat_map(|token| token.text).copied().collect();
                    let text = if *field == Field::Hex { text.to_ascii_uppercase() } else { text };
                    let coding =
                        if *field == Field::Hex { &data_encoding::HEXUPPER } else { &data_encoding::BASE64 };
                    let name = if *field == Field::Hex { "hex" } else { "base64" };
                    if text.is_empty() {
                        return Err(missing());
                    }
                    out.extend(
                        coding.decode(&text).map_err(|_| bad(at, format!("the data is not valid {name}")))?,
                    );
                    at = tokens.len();
                }
                Field::Texts => {
                    if at == tokens.len() {
                        return Err(missing());
                    }
                    while at < tokens.len() {
                        field
                            .read(tokens[at], origin, &mut out)
                            .map_err(|fault| bad(at, fault.to_string()))?;
                        at += 1;
                    }
                }
                _ => {
                    let token = *tokens.get(at).ok_or_else(missing)?;
                    field.read(token, origin, &mut out).map_err(|fault| bad(at, fault.to_string()))?;
                    at += 1;
                }
            }
        }
        if at < tokens.len() {
            return Err(bad(at, format!("too many fields in {self} data")));
        }
        if out.len() > MAX_DATA_LENGTH {
            return Err(bad(0, "data of over 65535 octets".to_owned()));
        }
        Ok(out)
    }

    fn read_opaque(self, tokens: &[Token]) -> Result<Vec<u8>, InvalidRecordData> {
        let bad = |token_index: usize, what: &str| InvalidRecordData { token_index, reason: what.to_owned() };
        let length: u16 = tokens
            .get(1)
            .and_then(|token| number(token.text))
            .ok_or_else(|| bad(1, "\\# is not followed by a length"))?;
        let text: Vec<u8> = tokens[2..].iter().flat_map(|token| token.text.to_ascii_uppercase()).collect();
        let data = data_encoding::HEXUPPER.decode(&text).map_err(|_| bad(2, "the data is not valid hex"))?;
        if data.len() != usize::from(length) {
            return Err(bad(1, &format!("the length says {length}, the data has {} octets", data.len())));
        }
        self.canonical_data(&data).ok_or_else(|| bad(2, &format!("the octets are not valid {self} data")))
    }

    /// Validates data in wire form without compression pointers and converts its names to lower case; none if it
    /// is malformed.
    pub fn canonical_data(self, data: &[u8]) -> Option<Vec<u8>> {
        if data.len() > MAX_DATA_LENGTH {
            return None;
        }
        let mut out = data.to_vec();
        let mut at = 0;
        for field in self.fields().unwrap_or(&[]) {
            let length = field.length(&data[at..])?;
            if *field == Field::Name {
                out[at..at + length].make_ascii_lowercase();
            }
            at += length;
        }
        (at == data.len() || self.fields().is_none()).then_some(out)
    }

    /// Formats record data as text.
    pub fn format_data(self, data: &[u8]) -> String {
        let mut text = String::new();
        // Writing to a `String` can't fail.
        let Some(fields) = self.fields() else {
            let _ = write!(text, "\\# {} {}", data.len(), data_encoding::HEXUPPER.encode(data));
            return text;
        };
        let mut at = 0;
        for field in fields {
            let length = field.length(&data[at..]).unwrap_or(data.len() - at);
            if at > 0 {
                text.push(' ');
            }
            let _ = field.write(&data[at..at + length], &mut text);
            at += length;
        }
        text
    }

    /// The name that the data refers to; none if the type has no such name. A response that contains the record may hold
    /// the addresses of this name in its additional section (RFC 1035 section 3.3, RFC 2782).
    pub fn additional_name(self, data: &[u8]) -> Option<&[u8]> {
        let at = match self {
            Self::NS | Self::CNAME | Self::DNAME | Self::PTR => 0,
            Self::MX | Self::AFSDB | Self::KX => 2,
            Self::SRV => 6,
            _ => return None,
        };
        data.get(at..)
    }
}
