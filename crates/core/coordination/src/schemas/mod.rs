//! Route documents and the schemas that they are written in, checked against every member that may still read them.
//!
//! Safety rule: a reader is only ever given a document in a version that it reads, in which what it knows is equal to
//! what was published. A schema or a document for which that does not hold for all readers *waits*; what was in force
//! stays in force meanwhile, and each reason is told in one line.

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

/// As many versions are kept for those that may read them.
const MAX_VERSIONS: usize = 64;
/// The newest versions that are kept though nobody reads them.
const KEPT_VERSIONS: usize = 2;

/// A member that reads route documents.
pub(crate) struct SchemaReader<'a> {
    pub name: &'a str,
    /// The schema versions that it reads.
    pub versions: &'a [u32],
}

/// A document as an operator published it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct PublishedDocument {
    /// The log index at which it was published.
    #[serde(rename = "number")]
    index: u64,
    version: u32,
    body: Value,
}

/// Schemas, the document in force, and what waits.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Schemas {
    /// Schemas in force, by version.
    #[serde(rename = "known")]
    in_force: BTreeMap<u32, Schema>,
    /// A schema that some reader can't be served with yet.
    proposed: Option<Schema>,
    #[serde(rename = "in_force")]
    document: Option<PublishedDocument>,
    /// A document that some reader can't be given yet.
    #[serde(rename = "held")]
    held_document: Option<PublishedDocument>,
    /// Why something waits, and for whom: one line each.
    #[serde(rename = "waits")]
    waiting: Vec<String>,
}

impl Schemas {
    /// Proposes a new schema version. It is in force at once where all readers can be given its documents; else it
    /// waits.
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

    /// Publishes a new document in a version that is in force. It is in force at once where all readers can be given
    /// it; else it is held.
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

    /// The readers may have changed: what waited may come into force.
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
            if let Err(why) = self.render_for(&document, reader.versions) {
                reasons.push(format!("document {} is held for {}: {why}", document.index, reader.name));
            }
        }
        if reasons.is_empty() {
            self.document = Some(document);
        } else {
            self.waiting.extend(reasons);
            self.held_document = Some(document);
        }
    }

    /// Why a schema's documents can't be given to all that may still read: one line each.
    fn conflicts(&self, schema: &Schema, readers: &[SchemaReader]) -> Vec<String> {
        let mut all = Vec::new();
        for (version, names) in self.versions_still_read(schema.version, readers) {
            let Some(older) = self.in_force.get(&version) else { continue };
            let verdict = check_compatibility(&schema.fields, &older.fields);
            let names = names.join(", ");
            for conflict in verdict.conflicts {
                all.push(format!("{conflict}; version {version}, read by {names}"));
            }
        }
        all
    }

    /// Which versions may still be read, and by whom: those of all readers, and the newest, in case the program is
    /// rolled back, until all readers read the proposed version.
    fn versions_still_read(&self, proposed: u32, readers: &[SchemaReader]) -> BTreeMap<u32, Vec<String>> {
        let mut still_read: BTreeMap<u32, Vec<String>> = BTreeMap::new();
        let is_rolled_out =
            !readers.is_empty() && readers.iter().all(|reader| reader.versions.contains(&proposed));
        if let Some(schema) = self.newest().filter(|_| !is_rolled_out) {
            still_read.entry(schema.version).or_default().push("a program rolled back".to_owned());
        }
        for reader in readers.iter().filter(|reader| !reader.versions.contains(&proposed)) {
            // It is given the newest version that both know.
            let known = reader.versions.iter().filter(|version| self.in_force.contains_key(version));
            if let Some(version) = known.max() {
                still_read.entry(*version).or_default().push(reader.name.to_owned());
            }
        }
        still_read
    }

    /// Forgets the versions that nobody may read any more, but for the newest.
    fn retire_versions(&mut self, readers: &[SchemaReader]) {
        let mut keep: BTreeSet<u32> = self.in_force.keys().rev().take(KEPT_VERSIONS).copied().collect();
        keep.extend(readers.iter().flat_map(|reader| reader.versions.iter().copied()));
        let documents = [&self.document, &self.held_document];
        keep.extend(documents.into_iter().flatten().map(|document| document.version));
        self.in_force.retain(|version, _| keep.contains(version));
    }

    /// A document in the newest of these versions in which it can be rendered.
    fn render_for(&self, document: &PublishedDocument, versions: &[u32]) -> Result<Document, RenderError> {
        let newer =
            self.in_force.get(&document.version).ok_or(RenderError::VersionForgotten(document.version))?;
        let mut candidates: Vec<u32> =
            versions.iter().copied().filter(|version| *version <= document.version).collect();
        candidates.sort_unstable();
        let mut reason = RenderError::NoVersion { up_to: document.version };
        for version in candidates.into_iter().rev() {
            let Some(older) = self.in_force.get(&version) else { continue };
            let body = if version == document.version {
                Ok(document.body.clone())
            } else {
                render(&newer.fields, &older.fields, &document.body)
            };
            match body {
                Ok(body) => return Ok(Document { index: document.index, version, body }),
                Err(error) => reason = RenderError::Document { version, error },
            }
        }
        Err(reason)
    }

    /// The document in force for a reader of these versions; none where there is none, or none that it can read.
    pub fn document_for(&self, versions: &[u32]) -> Option<Document> {
        self.render_for(self.document.as_ref()?, versions).ok()
    }

    /// The log index of the document in force.
    pub fn document_index(&self) -> Option<u64> {
        self.document.as_ref().map(|document| document.index)
    }

    /// Why something waits, and for whom: one line each.
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

/// Defaults have to be what their own fields allow.
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
