//! Route documents and the schemas that they are written in, checked against all that may still read.

mod reading;
mod rules;

pub use reading::{read, render};
pub use rules::{compare, Verdict};

use lynxtally_messages::{Document, Schema};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// One who reads, and the versions that it reads.
pub(crate) struct Reader<'a> {
    pub name: &'a str,
    pub versions: &'a [u32],
}

/// A document as it was written.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct Written {
    number: u64,
    version: u32,
    body: Value,
}

/// Schemas, the document in force, and what waits.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Schemas {
    known: BTreeMap<u32, Schema>,
    /// A schema that some can't read yet.
    proposed: Option<Schema>,
    in_force: Option<Written>,
    held: Option<Written>,
    /// For whom something waits, and why: one line each.
    waits: Vec<String>,
}

/// How many versions are kept for those who may read them.
const MOST: usize = 64;

impl Schemas {
    fn newest(&self) -> Option<&Schema> {
        self.known.last_key_value().map(|(_, schema)| schema)
    }

    /// Which versions may still be read: those of all who are there, and the newest, so that a roll-back works, until
    /// all who are there read the version that is proposed.
    fn read_still(&self, proposed: u32, readers: &[Reader]) -> BTreeMap<u32, Vec<String>> {
        let mut all: BTreeMap<u32, Vec<String>> = BTreeMap::new();
        let rolled_out =
            !readers.is_empty() && readers.iter().all(|reader| reader.versions.contains(&proposed));
        if let Some(schema) = self.newest().filter(|_| !rolled_out) {
            all.entry(schema.version).or_default().push("a program rolled back".to_owned());
        }
        for reader in readers {
            // What it reads best of what is known is what it is given.
            if reader.versions.contains(&proposed) {
                continue;
            }
            if let Some(version) = reader.versions.iter().filter(|v| self.known.contains_key(v)).max() {
                all.entry(*version).or_default().push(reader.name.to_owned());
            }
        }
        all
    }

    /// What a schema means for all that may still read: what is lost, and why it can't be, one line each.
    fn verdict(&self, schema: &Schema, readers: &[Reader]) -> Verdict {
        let mut all = Verdict::default();
        for (version, names) in self.read_still(schema.version, readers) {
            let Some(older) = self.known.get(&version) else { continue };
            let own = compare(&schema.fields, &older.fields);
            let who = |line: String| format!("{line}; version {version}, read by {}", names.join(", "));
            all.rendered.extend(own.rendered.into_iter().map(who));
            all.reasons.extend(own.reasons.into_iter().map(who));
        }
        all
    }

    /// A new schema version. It is in force at once where all can have its documents, and else waits.
    pub fn propose(&mut self, schema: &Schema, readers: &[Reader]) -> Result<(), String> {
        let newest = self.newest().map_or(0, |newest| newest.version);
        if schema.version <= newest {
            return Err(format!(
                "`what.schema.version` is {}; more than {newest} is expected",
                schema.version
            ));
        }
        if self.known.len() >= MOST {
            return Err(format!("`what.schema`: {MOST} versions may still be read"));
        }
        defaults("what.schema.fields.", &schema.fields)?;
        self.proposed = Some(schema.clone());
        self.look(readers);
        Ok(())
    }

    /// A new document, in a version that is in force. It is in force at once where all can have it, and else held.
    pub fn publish(
        &mut self,
        number: u64,
        version: u32,
        body: &Value,
        readers: &[Reader],
    ) -> Result<(), String> {
        let unknown = || format!("`what.document.version` is {version}, which is not in force");
        let schema = self.known.get(&version).ok_or_else(unknown)?;
        read(&schema.fields, body).map_err(|why| format!("`what.document.body`: {why}"))?;
        self.held = Some(Written { number, version, body: body.clone() });
        self.look(readers);
        Ok(())
    }

    /// Those who read may have changed: what waited may come into force.
    pub fn look(&mut self, readers: &[Reader]) {
        self.waits.clear();
        if let Some(schema) = self.proposed.take() {
            let verdict = self.verdict(&schema, readers);
            if verdict.holds() {
                self.known.insert(schema.version, schema);
            } else {
                let line = |why: String| format!("schema {} waits: {why}", schema.version);
                self.waits.extend(verdict.reasons.into_iter().map(line));
                self.proposed = Some(schema);
            }
        }
        if let Some(held) = self.held.take() {
            let can_not: Vec<String> = readers
                .iter()
                .filter(|reader| !reader.versions.is_empty())
                .filter_map(|reader| {
                    self.rendered(&held, reader.versions).err().map(|why| (reader.name, why))
                })
                .map(|(name, why)| format!("document {} is held for {name}: {why}", held.number))
                .collect();
            if can_not.is_empty() {
                self.in_force = Some(held);
            } else {
                self.waits.extend(can_not);
                self.held = Some(held);
            }
        }
        self.retire(readers);
    }

    /// Versions that nobody may read any more are forgotten, but for the last two.
    fn retire(&mut self, readers: &[Reader]) {
        let mut keep: BTreeSet<u32> = self.known.keys().rev().take(2).copied().collect();
        keep.extend(readers.iter().flat_map(|reader| reader.versions.iter().copied()));
        keep.extend([&self.in_force, &self.held].into_iter().flatten().map(|written| written.version));
        self.known.retain(|version, _| keep.contains(version));
    }

    /// The best form of a document for a reader of these versions.
    fn rendered(&self, written: &Written, versions: &[u32]) -> Result<Document, String> {
        let unknown = || format!("version {} is not known any more", written.version);
        let newer = self.known.get(&written.version).ok_or_else(unknown)?;
        let mut best: Vec<u32> = versions.iter().copied().filter(|v| *v <= written.version).collect();
        best.sort_unstable();
        let mut why = format!("it reads none of the versions up to {}", written.version);
        for version in best.into_iter().rev() {
            let Some(older) = self.known.get(&version) else { continue };
            let body = if version == written.version {
                Ok(written.body.clone())
            } else {
                render(&newer.fields, &older.fields, &written.body)
            };
            match body {
                Ok(body) => return Ok(Document { index: written.number, version, body }),
                Err(fault) => why = format!("version {version}: {fault}"),
            }
        }
        Err(why)
    }

    /// What a reader is to have now; none where there is no document, or none that it can read.
    pub fn document(&self, versions: &[u32]) -> Option<Document> {
        self.rendered(self.in_force.as_ref()?, versions).ok()
    }

    /// For whom something waits, one line each.
    pub fn waits(&self) -> &[String] {
        &self.waits
    }

    /// The versions in force.
    pub fn versions(&self) -> impl Iterator<Item = u32> + '_ {
        self.known.keys().copied()
    }

    /// The number of the document in force.
    pub fn number(&self) -> Option<u64> {
        self.in_force.as_ref().map(|written| written.number)
    }
}

/// Defaults have to be what their own fields allow.
fn defaults(at: &str, fields: &lynxtally_messages::Fields) -> Result<(), String> {
    for (name, field) in fields {
        if let Some(default) = &field.default {
            let alone = std::iter::once((name.clone(), field.clone())).collect();
            let told = serde_json::json!({ name.as_str(): default });
            read(&alone, &told).map_err(|why| format!("`{at}{name}.default`: {why}"))?;
        }
        if let lynxtally_messages::FieldKind::Record { fields } = &field.kind {
            defaults(&format!("{at}{name}."), fields)?;
        }
    }
    Ok(())
}
