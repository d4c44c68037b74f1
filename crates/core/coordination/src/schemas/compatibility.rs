//! Whether an older reader can be given every document of a newer schema. The rules, for a field that both may know;
//! docs/design/shares.md has the same table.
//!
//! | change, from the older reader's schema to the newer | verdict |
//! | --- | --- |
//! | none; range or enumeration narrowed; optional now required | compatible |
//! | added | rendered down: it is lost, its default stands for it |
//! | added, must be understood | incompatible |
//! | removed, was optional | compatible |
//! | removed, was required | rendered down with the older default; without one incompatible |
//! | renamed (`was`) | rendered down under the older name |
//! | a text, now an enumeration whose names fit | compatible |
//! | range, length or enumeration widened; other kind | incompatible |
//! | default changed | rendered down: written out; to none, where there was one, incompatible |
//! | single now list | incompatible |
//! | list now single | rendered down as a list of one |
//! | required now optional | rendered down where the newer has a default; else incompatible |

use lynxtally_messages::{Field, FieldKind, Fields};

/// What becomes of a newer schema's documents for an older reader. The lines are shown to operators and stand in the
/// state that replicas compare.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compatibility {
    /// What is lost or rendered otherwise: one line each, with the field.
    pub rendered: Vec<String>,
    /// Why some document can't be given: one line each, with the field and the rule.
    pub conflicts: Vec<String>,
}

impl Compatibility {
    /// Whether every document can be given, rendered down where needed.
    pub fn is_compatible(&self) -> bool {
        self.conflicts.is_empty()
    }

    fn rendered(&mut self, path: &str, what: &str) {
        self.rendered.push(format!("`{path}`: {what}"));
    }

    fn conflict(&mut self, path: &str, why: &str) {
        self.conflicts.push(format!("`{path}`: {why}"));
    }
}

/// The field of the newer schema that stands for one of the older, with its name.
pub(super) fn successor<'a>(newer: &'a Fields, name: &str) -> Option<(&'a String, &'a Field)> {
    let renamed = || newer.iter().find(|(_, field)| field.renamed_from.as_deref() == Some(name));
    newer.get_key_value(name).or_else(renamed)
}

/// Whether a field of the newer schema stands for one that the older knows.
pub(super) fn is_known(older: &Fields, name: &str, field: &Field) -> bool {
    older.contains_key(name) || field.renamed_from.as_ref().is_some_and(|former| older.contains_key(former))
}

/// Compares a newer schema with an older one.
pub fn check_compatibility(newer: &Fields, older: &Fields) -> Compatibility {
    let mut verdict = Compatibility::default();
    compare_records("", newer, older, &mut verdict);
    verdict
}

fn compare_records(prefix: &str, newer: &Fields, older: &Fields, verdict: &mut Compatibility) {
    for (name, field) in newer.iter().filter(|(name, field)| !is_known(older, name, field)) {
        let path = format!("{prefix}{name}");
        if field.must_understand {
            verdict.conflict(&path, "added, and has to be understood");
        } else {
            verdict.rendered(&path, &format!("added: lost; {} stands for it", describe_default(field)));
        }
    }
    for (name, old_field) in older {
        let path = format!("{prefix}{name}");
        match successor(newer, name) {
            None => check_removed(&path, old_field, verdict),
            Some((new_name, new_field)) => {
                if new_name != name {
                    let what = format!("renamed: written under its older name, not `{new_name}`");
                    verdict.rendered(&path, &what);
                }
                compare_fields(&path, new_field, old_field, verdict);
            }
        }
    }
}

fn check_removed(path: &str, old_field: &Field, verdict: &mut Compatibility) {
    if !old_field.required {
        return;
    }
    if old_field.default.is_some() {
        verdict.rendered(path, &format!("removed: {} is written for it", describe_default(old_field)));
    } else {
        verdict.conflict(path, "removed, and the older reader needs it");
    }
}

fn describe_default(field: &Field) -> String {
    match &field.default {
        Some(value) => format!("its default {value}"),
        None => "nothing".to_owned(),
    }
}

fn compare_fields(path: &str, new_field: &Field, old_field: &Field, verdict: &mut Compatibility) {
    match (new_field.is_list, old_field.is_list) {
        (true, false) => verdict.conflict(path, "single, now a list"),
        (false, true) => verdict.rendered(path, "a list, now single: written as a list of one"),
        _ => {}
    }
    compare_presence(path, new_field, old_field, verdict);
    compare_kinds(path, &new_field.kind, &old_field.kind, verdict);
}

/// Whether a document of the newer schema may lack the field, and what the older reader takes for it then.
fn compare_presence(path: &str, new_field: &Field, old_field: &Field, verdict: &mut Compatibility) {
    let has_default = new_field.default.is_some();
    if new_field.required {
        return;
    }
    if old_field.required && !has_default {
        verdict.conflict(path, "required, now optional without a default");
    } else if old_field.required {
        let what = format!("required, now optional: {} is written out", describe_default(new_field));
        verdict.rendered(path, &what);
    } else if !have_same_default(new_field, old_field) && !has_default {
        verdict.conflict(path, "the older reader has a default, and the newer has none");
    } else if !have_same_default(new_field, old_field) {
        verdict.rendered(path, &format!("default changed: {} is written out", describe_default(new_field)));
    }
}

/// Whether leaving the field out means the same to both.
fn have_same_default(new_field: &Field, old_field: &Field) -> bool {
    match (&new_field.default, &old_field.default) {
        (Some(new), Some(old)) if new_field.is_list != old_field.is_list => {
            new == old || old.as_array().is_some_and(|items| items.as_slice() == [new.clone()])
        }
        (new, old) => new == old,
    }
}

/// Whether the older reader reads every value of the newer kind.
fn compare_kinds(path: &str, new_kind: &FieldKind, old_kind: &FieldKind, verdict: &mut Compatibility) {
    match (new_kind, old_kind) {
        (FieldKind::Integer { min, max }, FieldKind::Integer { min: old_min, max: old_max }) => {
            if min < old_min || max > old_max {
                let why = format!("range {min} to {max}, was {old_min} to {old_max}: widened");
                verdict.conflict(path, &why);
            }
        }
        (FieldKind::Text { max_bytes }, FieldKind::Text { max_bytes: old_max_bytes }) => {
            if max_bytes > old_max_bytes {
                verdict.conflict(path, &format!("length {max_bytes}, was {old_max_bytes}: widened"));
            }
        }
        (FieldKind::Boolean {}, FieldKind::Boolean {}) => {}
        (FieldKind::Enumeration { names }, FieldKind::Enumeration { names: old_names }) => {
            if let Some(name) = names.iter().find(|name| !old_names.contains(name)) {
                verdict.conflict(path, &format!("`{name}` was added to its names: widened"));
            }
        }
        (FieldKind::Enumeration { names }, FieldKind::Text { max_bytes }) => {
            if let Some(name) = names.iter().find(|name| name.len() > *max_bytes as usize) {
                verdict.conflict(path, &format!("`{name}` is longer than {max_bytes}"));
            }
        }
        (FieldKind::Record { fields: newer }, FieldKind::Record { fields: older }) => {
            compare_records(&format!("{path}."), newer, older, verdict);
        }
        _ => verdict.conflict(path, "its kind changed"),
    }
}
