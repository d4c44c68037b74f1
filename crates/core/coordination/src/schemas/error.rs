//! Errors in schemas and route documents.
//!
//! The error texts must not change: they are part of stored responses and of the state whose digests replicas of
//! different program versions compare.

use super::MAX_VERSIONS;
use lynxtally_messages::FieldKind;
use serde_json::Value;
use std::fmt;

/// The field for which a document does not conform to a schema or can't be rendered in an older one, and the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentError {
    /// The path of the field.
    pub path: String,
    /// The fault of the field.
    pub fault: DocumentFault,
}

/// A fault of a field of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum DocumentFault {
    /// The value is not a record, but the schema has a record here.
    NotARecord,
    /// The value is not a list, but the schema has a list here.
    NotAList,
    /// The schema has no such field.
    UnknownField,
    /// The document leaves out a required field.
    Missing,
    /// The kind of the field does not allow the value.
    NotAllowed {
        /// The value in the document.
        value: Value,
        /// The kind in the schema.
        kind: FieldKind,
    },
    /// The field must be understood, but the older schema does not have it.
    MustBeUnderstood,
    /// The older schema requires the field, but there is no value for it.
    RequiredByOlderReader,
    /// The older schema has a default for the field, which would replace the absent value of the newer document.
    DefaultOfOlderReader,
    /// The older schema has a single value where the document has a list that is empty or has several values.
    ListForSingleValue,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "`{}` {}", self.path, self.fault)
    }
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NotARecord => f.write_str("is no record"),
            Self::NotAList => f.write_str("is no list"),
            Self::UnknownField => f.write_str("is no field of this schema"),
            Self::Missing => f.write_str("is missing"),
            Self::NotAllowed { value, kind } => {
                write!(f, "is {value}, which its kind {kind} does not allow")
            }
            Self::MustBeUnderstood => {
                f.write_str("has to be understood, and the older reader does not know it")
            }
            Self::RequiredByOlderReader => f.write_str("is needed by the older reader"),
            Self::DefaultOfOlderReader => {
                f.write_str("has a default for the older reader, and no value here")
            }
            Self::ListForSingleValue => f.write_str("is a list, and the older reader knows one value"),
        }
    }
}

impl std::error::Error for DocumentError {}

impl DocumentFault {
    pub(super) fn at(self, path: impl Into<String>) -> DocumentError {
        DocumentError { path: path.into(), fault: self }
    }
}

/// Why a schema can't be proposed.
#[derive(Clone, Debug, PartialEq)]
pub enum SchemaError {
    /// The version number is not larger than the newest one in force.
    NotNewer {
        /// The proposed version.
        version: u32,
        /// The newest version in force.
        newest: u32,
    },
    /// The limit of versions in force is reached.
    TooManyVersions,
    /// A field does not allow its own default.
    InvalidDefault {
        /// The path of the field.
        path: String,
        /// The fault of the default.
        error: DocumentError,
    },
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NotNewer { version, newest } => {
                write!(f, "`what.schema.version` is {version}; more than {newest} is expected")
            }
            Self::TooManyVersions => write!(f, "`what.schema`: {MAX_VERSIONS} versions may still be read"),
            Self::InvalidDefault { path, error } => write!(f, "`{path}.default`: {error}"),
        }
    }
}

impl std::error::Error for SchemaError {}

/// Why a document can't be rendered in any version that a reader reads.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RenderError {
    /// The version that the document is written in is no longer in force.
    VersionRetired(u32),
    /// The reader reads none of the versions in force up to the document's.
    NoVersion {
        /// The version that the document is written in.
        up_to: u32,
    },
    /// Rendering failed in every version that was tried. Only the error for the oldest one is reported.
    Document {
        /// The oldest version that was tried.
        version: u32,
        /// The error in that version.
        error: DocumentError,
    },
}

impl fmt::Display for RenderError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::VersionRetired(version) => write!(f, "version {version} is not known any more"),
            Self::NoVersion { up_to } => write!(f, "it reads none of the versions up to {up_to}"),
            Self::Document { version, error } => write!(f, "version {version}: {error}"),
        }
    }
}
