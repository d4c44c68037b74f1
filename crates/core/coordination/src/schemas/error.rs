//! Why a schema or a document can't be used. The texts stand in stored responses and in the state that replicas
//! compare: they are the same in every version of the program.

use super::MAX_VERSIONS;
use lynxtally_messages::FieldKind;
use serde_json::Value;
use std::fmt;

/// Why a document does not fit a schema, or can't be rendered for an older reader.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentError {
    /// The path of the field.
    pub path: String,
    /// What is wrong there.
    pub fault: DocumentFault,
}

/// What is wrong with a field of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum DocumentFault {
    /// A record is expected.
    NotARecord,
    /// A list is expected.
    NotAList,
    /// The schema has no such field.
    UnknownField,
    /// The field is required.
    Missing,
    /// The field's kind does not allow its value.
    NotAllowed {
        /// The value.
        value: Value,
        /// The kind.
        kind: FieldKind,
    },
    /// An older reader does not know the field and may not leave it out.
    MustBeUnderstood,
    /// An older reader requires the field.
    RequiredByOlderReader,
    /// An older reader would put its default in where the newer schema has no value.
    DefaultOfOlderReader,
    /// An older reader knows one value where the document has a list of several, or of none.
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
    /// Its version is not larger than the newest.
    NotNewer {
        /// Its version.
        version: u32,
        /// The newest version in force.
        newest: u32,
    },
    /// As many versions as there may be can still be read.
    TooManyVersions,
    /// A default is not what its own field allows.
    InvalidDefault {
        /// The path of the field.
        path: String,
        /// What is wrong with its default.
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

/// Why a reader can't be given a document in any version that it reads.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RenderError {
    /// The version that the document is written in was forgotten.
    VersionForgotten(u32),
    /// The reader reads no version up to the document's.
    NoVersion {
        /// The document's version.
        up_to: u32,
    },
    /// The document can't be rendered in the oldest version that was tried.
    Document {
        /// That version.
        version: u32,
        /// Why not.
        error: DocumentError,
    },
}

impl fmt::Display for RenderError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::VersionForgotten(version) => write!(f, "version {version} is not known any more"),
            Self::NoVersion { up_to } => write!(f, "it reads none of the versions up to {up_to}"),
            Self::Document { version, error } => write!(f, "version {version}: {error}"),
        }
    }
}
