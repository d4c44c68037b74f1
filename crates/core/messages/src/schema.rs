//! Schemas of route documents, as data, and the documents written in them.

use crate::validation::{check_count, check_name, FieldError, Violation};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// The fields of a document, or of a record in it, by their names.
pub type Fields = BTreeMap<String, Field>;

/// A record has this many fields at most, an enumeration this many names.
const MAX_FIELDS: usize = 256;
/// Records are nested this deep at most.
const MAX_DEPTH: usize = 8;

/// A schema version.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Schema")]
pub struct Schema {
    /// Its version.
    pub version: u32,
    /// Its fields.
    pub fields: Fields,
}

/// A field.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Field")]
pub struct Field {
    /// What kind of value it has.
    pub kind: FieldKind,
    /// Whether it is a list of such values.
    #[serde(default, rename = "list")]
    pub is_list: bool,
    /// Whether a document must have it.
    #[serde(default)]
    pub required: bool,
    /// The value that stands for it where a document does not have it.
    #[serde(default)]
    pub default: Option<Value>,
    /// The schema version that brought it.
    #[serde(rename = "since")]
    pub since_version: u32,
    /// Whether a reader that does not know the field must not be given a document in which it has a value.
    #[serde(default)]
    pub must_understand: bool,
    /// Its name in the version before, where that was another.
    #[serde(default, rename = "was")]
    pub renamed_from: Option<String>,
}

/// What kind of value a field has.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum FieldKind {
    /// An integer.
    #[serde(rename = "whole")]
    Integer {
        /// The smallest.
        #[serde(rename = "least")]
        min: i64,
        /// The largest.
        #[serde(rename = "most")]
        max: i64,
    },
    /// A text.
    #[serde(rename = "text")]
    Text {
        /// Its greatest length in bytes.
        #[serde(rename = "longest")]
        max_bytes: u32,
    },
    /// True or false.
    #[serde(rename = "flag")]
    Boolean {},
    /// One of some names.
    #[serde(rename = "one_of")]
    Enumeration {
        /// The names.
        names: Vec<String>,
    },
    /// Fields of its own.
    #[serde(rename = "record")]
    Record {
        /// These.
        fields: Fields,
    },
}

/// Stands in stored rejections and in what replicas compare: the text is the same in every version of the program.
impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Integer { min, max } => write!(f, "Whole {{ least: {min}, most: {max} }}"),
            Self::Text { max_bytes } => write!(f, "Text {{ longest: {max_bytes} }}"),
            Self::Boolean {} => f.write_str("Flag"),
            Self::Enumeration { names } => write!(f, "OneOf {{ names: {names:?} }}"),
            Self::Record { .. } => f.write_str("Record"),
        }
    }
}

/// A document, as a node gets it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Document")]
pub struct Document {
    /// The log index at which it was published; the same for all nodes.
    #[serde(rename = "number")]
    pub index: u64,
    /// The schema version that it is rendered in.
    pub version: u32,
    /// The document.
    pub body: Value,
}

/// The document that a node applied.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Applied")]
pub struct AppliedDocument {
    /// The document's log index; 0 for none.
    #[serde(rename = "number")]
    pub index: u64,
    /// The schema version in which it was read.
    pub version: u32,
}

pub(crate) fn validate_fields(path: &str, fields: &Fields, depth: usize) -> Result<(), FieldError> {
    check_count(path, fields.len(), MAX_FIELDS)?;
    if depth > MAX_DEPTH {
        return Err(FieldError::new(path, Violation::TooDeep { max: MAX_DEPTH }));
    }
    for (name, field) in fields {
        let path = format!("{path}.{name}");
        check_name(&path, name)?;
        validate_kind(&path, &field.kind, depth)?;
    }
    Ok(())
}

fn validate_kind(path: &str, kind: &FieldKind, depth: usize) -> Result<(), FieldError> {
    match kind {
        FieldKind::Integer { min, max } if min > max => {
            Err(FieldError::new(path, Violation::ReversedRange { min: *min, max: *max }))
        }
        FieldKind::Enumeration { names } if names.is_empty() || names.len() > MAX_FIELDS => {
            let violation = Violation::EnumerationSize { count: names.len(), max: MAX_FIELDS };
            Err(FieldError::new(path, violation))
        }
        FieldKind::Record { fields } => validate_fields(path, fields, depth + 1),
        _ => Ok(()),
    }
}
