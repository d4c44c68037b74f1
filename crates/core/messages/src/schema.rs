//! Schemas of route documents, and the documents themselves. A schema is sent as data, so that coordinators can convert
//! a document between schema versions.

use crate::validation::{check_count, check_name, FieldError, Violation};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// The fields of a document, or of a record inside a document, by name.
pub type Fields = BTreeMap<String, Field>;

/// The most fields that a record may have, and the most names that an enumeration may have.
const MAX_FIELDS: usize = 256;
/// The largest nesting depth of records.
const MAX_DEPTH: usize = 8;

/// One version of the route schema.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Schema")]
pub struct Schema {
    /// The version number. Newer versions have larger numbers.
    pub version: u32,
    /// The fields of a document of this version.
    pub fields: Fields,
}

/// The definition of a field of a document or record.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Field")]
pub struct Field {
    /// The kind of the value, or of each value of a list.
    pub kind: FieldKind,
    /// Whether the field is a list of values of its kind.
    #[serde(default, rename = "list")]
    pub is_list: bool,
    /// Whether a document has to contain the field.
    #[serde(default)]
    pub required: bool,
    /// The value that a reader uses if a document leaves out an optional field. For a required field, the value that is
    /// written for readers of this version after a newer version has removed the field.
    #[serde(default)]
    pub default: Option<Value>,
    /// The schema version that added the field.
    #[serde(rename = "since")]
    pub since_version: u32,
    /// Whether a document that sets the field to anything but its default must be withheld from readers that don't
    /// know the field.
    #[serde(default)]
    pub must_understand: bool,
    /// The name of the field in the previous schema version, if this version renamed it.
    #[serde(default, rename = "was")]
    pub renamed_from: Option<String>,
}

/// The kind of value that a field has.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum FieldKind {
    /// An integer in a range.
    #[serde(rename = "whole")]
    Integer {
        /// The smallest allowed value.
        #[serde(rename = "least")]
        min: i64,
        /// The largest allowed value.
        #[serde(rename = "most")]
        max: i64,
    },
    /// A string.
    #[serde(rename = "text")]
    Text {
        /// The largest allowed length in bytes.
        #[serde(rename = "longest")]
        max_bytes: u32,
    },
    /// True or false.
    #[serde(rename = "flag")]
    Boolean {},
    /// A string that is one of a list of names.
    #[serde(rename = "one_of")]
    Enumeration {
        /// The allowed names.
        names: Vec<String>,
    },
    /// A nested record.
    #[serde(rename = "record")]
    Record {
        /// The fields of the record.
        fields: Fields,
    },
}

/// Must not change: the text is part of stored rejections and of the state whose digests replicas compare, and replicas
/// of different program versions run side by side.
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

/// A route document as it is sent to a node.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Document")]
pub struct Document {
    /// The log index at which the document was published. It identifies the document in every schema version.
    #[serde(rename = "number")]
    pub index: u64,
    /// The schema version in which the body is written.
    pub version: u32,
    /// The content of the document.
    pub body: Value,
}

/// The route document that a node has applied.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Applied")]
pub struct AppliedDocument {
    /// The log index at which the document was published; 0 if the node has not applied one yet.
    #[serde(rename = "number")]
    pub index: u64,
    /// The schema version in which the node received the document.
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
