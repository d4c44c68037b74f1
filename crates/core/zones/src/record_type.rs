//! Types of resource records: numbers, mnemonics and a table of the fields of each type's data.
//! [`crate::record_data`] parses, formats and validates data by this table; the data of a type outside the table
//! is opaque.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a resource record type.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordType(pub u16);

/// A field of record data.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Field {
    Name,
    U8,
    U16,
    U32,
    /// A time in seconds; its text form may have units.
    Time,
    V4,
    V6,
    /// A string of up to 255 octets with a length octet.
    Text,
    /// One or more strings with a length octet each.
    Texts,
    /// A non-empty string of letters and digits with a length octet, such as the property tag of a CAA record.
    Tag,
    /// The rest of the data as one string without a length octet.
    UnprefixedText,
    Base64,
    Hex,
}

macro_rules! record_types {
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

record_types! {
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
    URI = 256: U16 U16 UnprefixedText;
    CAA = 257: U8 Tag UnprefixedText;
}

impl RecordType {
    /// Query type for all record sets of a name.
    pub const ANY: RecordType = RecordType(255);
    /// Query type for a full zone transfer.
    pub const AXFR: RecordType = RecordType(252);
    /// Query type for an incremental zone transfer.
    pub const IXFR: RecordType = RecordType(251);

    /// Whether the type is only valid in queries and messages, not in a zone.
    pub fn is_meta(self) -> bool {
        matches!(self.0, 0 | 41 | 128..=255) && self != Self::SPF
    }

    /// Parses a mnemonic, or `TYPE` followed by a number.
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
