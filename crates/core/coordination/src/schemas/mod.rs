//! Route documents, and the versioned schemas that they are written in.
//!
//! A reader is a member that reads route documents, in one or more schema versions. A document written in a newer
//! version is rendered in an older one for the readers that need it.
//!
//! Safety rule: a reader is only given a document in a schema version that it reads, and each field that the reader
//! knows has the value that was published. A schema or document that would break this rule for any reader *waits*. While
//! it waits, the previous one stays in force, and each reason for waiting is reported in one line.

mod compatibility;
mod error;
mod reading;
mod rendering;

pub use compatibility::{check_compatibility, Compatibility};
pub use error::{DocumentError, DocumentFault, SchemaError};
pub use reading::read;
pub use rendering::render;

use crate::error::AdminError;
use error::RenderError;
use lynxtally_messages::{Document, FieldKind, Fields, Schema};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The most schema versions that may be in force.
const MAX_VERSIONS: usize = 64;
/// The number of newest schema versions that stay in force even if no member reads them.
const MIN_RETAINED_VERSIONS: usize = 2;

/// A member that reads route documents.
pub(crate) struct SchemaReader<'a> {
    pub name: &'a str,
    /// The schema versions that the member can read.
    pub versions: &'a [u32],
}

/// A document as an operator published it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct PublishedDocument {
    /// The log index at which the document was published.
    #[serde(rename = "number")]
    index: u64,
    /// The schema version that the document is written in.
    version: u32,
    body: Value,
}

/// The schemas and the document in force, and the schema and the document that wait.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Schemas {
    /// Schemas in force, by version.
    #[serde(rename = "known")]
    in_force: BTreeMap<u32, Schema>,
    /// A schema that waits, because its documents can't be given to some reader yet.
    proposed: Option<Schema>,
    /// The document in force.
    #[serde(rename = "in_force")]
    document: Option<PublishedDocument>,
    /// A document that waits, because it can't be given to some reader yet.
    #[serde(rename = "held")]
    held_document: Option<PublishedDocument>,
    /// The reasons for waiting, one line each, with the readers concerned.
    #[serde(rename = "waits")]
    waiting: Vec<String>,
}

impl Schemas {
    /// Proposes a new schema version. It comes into force immediately if its documents can be given to all readers;
    /// otherwise it waits.
    pub fn propose(&mut self, schema: &Schema, readers: &[SchemaReader]) -> Result<(), SchemaError> {
        let newest = self.newest().map_or(0, |newest| newest.version);
        if schema.version <= newest {
            return Err(SchemaError::NotNewer { version: schema.version, newest });
        }
        if self.in_force.len() >= MAX_VERSIONS {
            return Err(SchemaError::TooManyVersions);
        }
        check_defaults("what.schema.fields.", &schema.fields)?;
        self.proposed = Some(schema.clone());
        self.review(readers);
        Ok(())
    }

    /// Publishes a new document in a schema version that is in force. The document comes into force immediately if it
    /// can be given to all readers; otherwise it waits.
    pub fn publish(
        &mut self,
        index: u64,
        version: u32,
        body: &Value,
        readers: &[SchemaReader],
    ) -> Result<(), AdminError> {
        let schema = self.in_force.get(&version).ok_or(AdminError::SchemaNotInForce { version })?;
        read(&schema.fields, body).map_err(AdminError::Document)?;
        self.held_document = Some(PublishedDocument { index, version, body: body.clone() });
        self.review(readers);
        Ok(())
    }

    /// Checks again whether the waiting schema and document can come into force, as the readers may have changed.
    pub fn review(&mut self, readers: &[SchemaReader]) {
        self.waiting.clear();
        self.review_proposed_schema(readers);
        self.review_held_document(readers);
        self.retire_versions(readers);
    }

    fn review_proposed_schema(&mut self, readers: &[SchemaReader]) {
        let Some(schema) = self.proposed.take() else { return };
        let conflicts = self.conflicts(&schema, readers);
        if conflicts.is_empty() {
            self.in_force.insert(schema.version, schema);
            return;
        }
        for conflict in conflicts {
            self.waiting.push(format!("schema {} waits: {conflict}", schema.version));
        }
        self.proposed = Some(schema);
    }

    fn review_held_document(&mut self, readers: &[SchemaReader]) {
        let Some(document) = self.held_document.take() else { return };
        let mut reasons = Vec::new();
        for reader in readers.iter().filter(|reader| !reader.versions.is_empty()) {
            if let Err(error) = self.render_for(&document, reader.versions) {
                reasons.push(format!("document {} is held for {}: {error}", document.index, reader.name));
            }
        }
        if reasons.is_empty() {
            self.document = Some(document);
        } else {
            self.waiting.extend(reasons);
            self.held_document = Some(document);
        }
    }

    /// The reasons why documents of a schema can't be given to all readers of older versions, one line each.
    fn conflicts(&self, schema: &Schema, readers: &[SchemaReader]) -> Vec<String> {
        let mut conflicts = Vec::new();
        for (version, names) in self.versions_still_read(schema.version, readers) {
            let Some(older) = self.in_force.get(&version) else { continue };
            let compatibility = check_compatibility(&schema.fields, &older.fields);
            let names = names.join(", ");
            for conflict in compatibility.conflicts {
                conflicts.push(format!("{conflict}; version {version}, read by {names}"));
            }
        }
        conflicts
    }

    /// The versions in force that may still be read instead of the proposed one, with the names of their readers. Until
    /// all readers read the proposed version, this includes the newest version in force, to which a rollback of the
    /// program would return.
    fn versions_still_read(&self, proposed: u32, readers: &[SchemaReader]) -> BTreeMap<u32, Vec<String>> {
        let mut still_read: BTreeMap<u32, Vec<String>> = BTreeMap::new();
        let is_rolled_out =
            !readers.is_empty() && readers.iter().all(|reader| reader.versions.contains(&proposed));
        if let Some(schema) = self.newest().filter(|_| !is_rolled_out) {
            still_read.entry(schema.version).or_default().push("a program rolled back".to_owned());
        }
        for reader in readers.iter().filter(|reader| !reader.versions.contains(&proposed)) {
            // The reader is given documents in the newest version in force that it reads.
            let readable = reader.versions.iter().filter(|version| self.in_force.contains_key(version));
            if let Some(version) = readable.max() {
                still_read.entry(*version).or_default().push(reader.name.to_owned());
            }
        }
        still_read
    }

    /// Removes the schema versions that no reader reads and no document is written in, except the newest ones.
    fn retire_versions(&mut self, readers: &[SchemaReader]) {
        let mut keep: BTreeSet<u32> =
            self.in_force.keys().rev().take(MIN_RETAINED_VERSIONS).copied().collect();
        keep.extend(readers.iter().flat_map(|reader| reader.versions.iter().copied()));
        let documents = [&self.document, &self.held_document];
        keep.extend(documents.into_iter().flatten().map(|document| document.version));
        self.in_force.retain(|version, _| keep.contains(version));
    }

    /// Renders a document in the newest of the given versions in which that is possible.
    fn render_for(&self, document: &PublishedDocument, versions: &[u32]) -> Result<Document, RenderError> {
        let newer =
            self.in_force.get(&document.version).ok_or(RenderError::VersionRetired(document.version))?;
        let mut candidates: Vec<u32> =
            versions.iter().copied().filter(|version| *version <= document.version).collect();
        candidates.sort_unstable();
        let mut last_error = RenderError::NoVersion { up_to: document.version };
        for version in candidates.into_iter().rev() {
            let Some(older) = self.in_force.get(&version) else { continue };
            let body = if version == document.version {
                Ok(document.body.clone())
            } else {
                render(&newer.fields, &older.fields, &document.body)
            };
            match body {
                Ok(body) => return Ok(Document { index: document.index, version, body }),
                Err(error) => last_error = RenderError::Document { version, error },
            }
        }
        Err(last_error)
    }

    /// The document in force, rendered for a reader of the given versions; `None` if no document is in force or it
    /// can't be rendered in any of these versions.
    pub fn document_for(&self, versions: &[u32]) -> Option<Document> {
        self.render_for(self.document.as_ref()?, versions).ok()
    }

    /// The log index at which the document in force was published.
    pub fn document_index(&self) -> Option<u64> {
        self.document.as_ref().map(|document| document.index)
    }

    /// The reasons why a schema or document waits, one line each, with the readers concerned.
    pub fn waiting(&self) -> &[String] {
        &self.waiting
    }

    /// The schema versions in force.
    pub fn versions(&self) -> impl Iterator<Item = u32> + '_ {
        self.in_force.keys().copied()
    }

    fn newest(&self) -> Option<&Schema> {
        self.in_force.last_key_value().map(|(_, schema)| schema)
    }
}

/// Checks that the default of each field, including those in nested records, is a value that the field allows.
fn check_defaults(prefix: &str, fields: &Fields) -> Result<(), SchemaError> {
    for (name, field) in fields {
        if let Some(default) = &field.default {
            let alone = Fields::from([(name.clone(), field.clone())]);
            let document = serde_json::json!({ name.as_str(): default });
            read(&alone, &document)
                .map_err(|error| SchemaError::InvalidDefault { path: format!("{prefix}{name}"), error })?;
        }
        if let FieldKind::Record { fields } = &field.kind {
            check_defaults(&format!("{prefix}{name}."), fields)?;
        }
    }
    Ok(())
}
