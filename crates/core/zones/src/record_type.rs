//! Types of resource records: their numbers and names, and one table that tells of each type which fields its data is
//! made of. Reading, writing and checking in [`crate::record_data`] follow the table; a type that is not in it is opaque.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A type of resource record, by its number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordType(pub u16);

/// A part of a record's data.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Field {
    Name,
    U8,
    U16,
    U32,
    /// A time in seconds; text may have units.
    Time,
    V4,
    V6,
    /// One string of up to 255 octets.
    Text,
    /// One or more of them.
    Texts,
    /// A short word, such as a property tag: a string of letters and digits.
    Tag,
    /// The rest of the data as one string without a length.
    Bare,
    Base64,
    Hex,
}

macro_rules! kinds {
    ($($name:ident = $number:literal: $($field:ident)*;)*) => {
        impl RecordType {
            $(#[doc = concat!("The type `", stringify!($name), "`.")] pub const $name: RecordType = RecordType($number);)*

            pub(crate) fn fields(self) -> Option<&'static [Field]> {
                match self.0 {
                    $($number => Some(&[$(Field::$field),*]),)*
                    _ => None,
                }
            }

            fn mnemonic(self) -> Option<&'static str> {
                match self.0 {
                    $($number => Some(stringify!($name)),)*
                    _ => None,
                }
            }

            fn by_mnemonic(text: &str) -> Option<RecordType> {
                match text {
                    $(stringify!($name) => Some(RecordType($number)),)*
                    _ => None,
                }
            }
        }
    };
}

kinds! {
    A = 1: V4;
    NS = 2: Name;
    CNAME = 5: Name;
    SOA = 6: Name Name U32 Time Time Time Time;
    PTR = 12: Name;
    HINFO = 13: Text Text;
    MX = 15: U16 Name;
    TXT = 16: Texts;
    RP = 17: Name Name;
    AFSDB = 18: U16 Name;
    AAAA = 28: V6;
    SRV = 33: U16 U16 U16 Name;
    NAPTR = 35: U16 U16 Text Text Text Name;
    KX = 36: U16 Name;
    DNAME = 39: Name;
    DS = 43: U16 U8 U8 Hex;
    SSHFP = 44: U8 U8 Hex;
    DNSKEY = 48: U16 U8 U8 Base64;
    TLSA = 52: U8 U8 U8 Hex;
    SMIMEA = 53: U8 U8 U8 Hex;
    OPENPGPKEY = 61: Base64;
    SPF = 99: Texts;
    URI = 256: U16 U16 Bare;
    CAA = 257: U8 Tag Bare;
}

impl RecordType {
    /// In a question: all types.
    pub const ANY: RecordType = RecordType(255);
    /// In a question: the whole zone.
    pub const AXFR: RecordType = RecordType(252);
    /// In a question: what changed since a version.
    pub const IXFR: RecordType = RecordType(251);

    /// Whether it is meant for questions and messages only and can't be in a zone.
    pub fn is_meta(self) -> bool {
        matches!(self.0, 0 | 41 | 128..=255) && self != Self::SPF
    }

    /// Reads its name, or `TYPE` and a number.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.to_ascii_uppercase();
        let number = || text.strip_prefix("TYPE").and_then(|number| number.parse().ok()).map(RecordType);
        match text.as_str() {
            "ANY" => Some(Self::ANY),
            "AXFR" => Some(Self::AXFR),
            "IXFR" => Some(Self::IXFR),
            _ => Self::by_mnemonic(&text).or_else(number),
        }
    }
}

impl fmt::Display for RecordType {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match (self.mnemonic(), *self) {
            (Some(name), _) => f.write_str(name),
            (_, Self::ANY) => f.write_str("ANY"),
            (_, Self::AXFR) => f.write_str("AXFR"),
            (_, Self::IXFR) => f.write_str("IXFR"),
            _ => write!(f, "TYPE{}", self.0),
        }
    }
}

impl fmt::Debug for RecordType {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
