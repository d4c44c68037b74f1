//! Checks whether every document of a newer schema can be given to a reader of an older one.
//!
//! The rules for each field, which are also listed in docs/design/shares.md:
//!
//! | change from the older schema to the newer | result for a reader of the older schema |
//! | --- | --- |
//! | none; range or enumeration narrowed; optional made required | compatible |
//! | added | rendered without the field, as if the field had its default |
//! | added with `must_understand` | incompatible |
//! | optional field removed | compatible |
//! | required field removed | rendered with the older default; incompatible if there is none |
//! | renamed (`was`) | rendered under the older name |
//! | text made an enumeration whose names are not too long | compatible |
//! | range, length or enumeration widened; other change of kind | incompatible |
//! | default changed | rendered: the newer default is written out; incompatible if the default was removed |
//! | single value made a list | incompatible |
//! | list made a single value | rendered as a list of one |
//! | required made optional | rendered if the newer field has a default; otherwise incompatible |

use lynxtally_messages::{Field, FieldKind, Fields};

/// The differences between two schemas that affect readers of the older one.
///
/// The lines must not change: they are shown to operators, and are part of the state whose digests replicas of
/// different program versions compare.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compatibility {
    /// The changes that are made when a document is rendered, one line each, with the field.
    pub rendered: Vec<String>,
    /// The reasons why some documents can't be rendered, one line each, with the field and the rule.
    pub conflicts: Vec<String>,
}

impl Compatibility {
    /// Whether every document of the newer schema can be rendered in the older one.
    pub fn is_compatible(&self) -> bool {
        self.conflicts.is_empty()
    }

    fn add_rendered(&mut self, path: &str, change: &str) {
        self.rendered.push(format!("`{path}`: {change}"));
    }

    fn add_conflict(&mut self, path: &str, reason: &str) {
        self.conflicts.push(format!("`{path}`: {reason}"));
    }
}

/// The field of the newer schema that corresponds to a field of the older one, with its newer name.
pub(super) fn successor<'a>(newer: &'a Fields, name: &str) -> Option<(&'a String, &'a Field)> {
    let renamed = || newer.iter().find(|(_, field)| field.renamed_from.as_deref() == Some(name));
    newer.get_key_value(name).or_else(renamed)
}

/// Whether a field of the newer schema corresponds to a field of the older one.
pub(super) fn is_known(older: &Fields, name: &str, field: &Field) -> bool {
    older.contains_key(name) || field.renamed_from.as_ref().is_some_and(|former| older.contains_key(former))
}

/// Checks whether every document of the newer schema can be rendered in the older one.
pub fn check_compatibility(newer: &Fields, older: &Fields) -> Compatibility {
    let mut compatibility = Compatibility::default();
    compare_records("", newer, older, &mut compatibility);
    compatibility
}

fn compare_records(prefix: &str, newer: &Fields, older: &Fields, compatibility: &mut Compatibility) {
    for (name, field) in newer.iter().filter(|(name, field)| !is_known(older, name, field)) {
        let path = format!("{prefix}{name}");
        if field.must_understand {
            compatibility.add_conflict(&path, "added, and has to be understood");
        } else {
            compatibility
                .add_rendered(&path, &format!("added: lost; {} stands for it", describe_default(field)));
        }
    }
    for (name, old_field) in older {
        let path = format!("{prefix}{name}");
        match successor(newer, name) {
            None => check_removed(&path, old_field, compatibility),
            Some((new_name, new_field)) => {
                if new_name != name {
                    let change = format!("renamed: written under its older name, not `{new_name}`");
                    compatibility.add_rendered(&path, &change);
                }
                compare_fields(&path, new_field, old_field, compatibility);
            }
        }
    }
}

fn check_removed(path: &str, old_field: &Field, compatibility: &mut Compatibility) {
    if !old_field.required {
        return;
    }
    if old_field.default.is_some() {
        compatibility
            .add_rendered(path, &format!("removed: {} is written for it", describe_default(old_field)));
    } else {
        compatibility.add_conflict(path, "removed, and the older reader needs it");
    }
}

fn describe_default(field: &Field) -> String {
    match &field.default {
        Some(value) => format!("its default {value}"),
        None => "nothing".to_owned(),
    }
}

fn compare_fields(path: &str, new_field: &Field, old_field: &Field, compatibility: &mut Compatibility) {
    match (new_field.is_list, old_field.is_list) {
        (true, false) => compatibility.add_conflict(path, "single, now a list"),
        (false, true) => compatibility.add_rendered(path, "a list, now single: written as a list of one"),
        _ => {}
    }
    compare_presence(path, new_field, old_field, compatibility);
    compare_kinds(path, &new_field.kind, &old_field.kind, compatibility);
}

/// Compares how the two schemas treat a document that leaves the field out: whether they allow it, and which default
/// applies.
fn compare_presence(path: &str, new_field: &Field, old_field: &Field, compatibility: &mut Compatibility) {
    let has_default = new_field.default.is_some();
    if new_field.required {
        return;
    }
    if old_field.required && !has_default {
        compatibility.add_conflict(path, "required, now optional without a default");
    } else if old_field.required {
        let change = format!("required, now optional: {} is written out", describe_default(new_field));
        compatibility.add_rendered(path, &change);
    } else if !have_same_default(new_field, old_field) && !has_default {
        compatibility.add_conflict(path, "the older reader has a default, and the newer has none");
    } else if !have_same_default(new_field, old_field) {
        compatibility
            .add_rendered(path, &format!("default changed: {} is written out", describe_default(new_field)));
    }
}

/// Whether both schemas have the same default for the field. A single value and a list of only that value count as the
/// same.
fn have_same_default(new_field: &Field, old_field: &Field) -> bool {
    match (&new_field.default, &old_field.default) {
        (Some(new), Some(old)) if new_field.is_list != old_field.is_list => {
            new == old || old.as_array().is_some_and(|items| items.as_slice() == [new.clone()])
        }
        (new, old) => new == old,
    }
}

/// Checks that a reader of the older kind accepts every value of the newer kind.
fn compare_kinds(path: &str, new_kind: &FieldKind, old_kind: &FieldKind, compatibility: &mut Compatibility) {
    match (new_kind, old_kind) {
        (FieldKind::Integer { min, max }, FieldKind::Integer { min: old_min, max: old_max }) => {
            if min < old_min || max > old_max {
                let reason = format!("range {min} to {max}, was {old_min} to {old_max}: widened");
                compatibility.add_conflict(path, &reason);
            }
        }
        (FieldKind::Text { max_bytes }, FieldKind::Text { max_bytes: old_max_bytes }) => {
            if max_bytes > old_max_bytes {
                compatibility
                    .add_conflict(path, &format!("length {max_bytes}, was {old_max_bytes}: widened"));
            }
        }
        (FieldKind::Boolean {}, FieldKind::Boolean {}) => {}
        (FieldKind::Enumeration { names }, FieldKind::Enumeration { names: old_names }) => {
            if let Some(name) = names.iter().find(|name| !old_names.contains(name)) {
                compatibility.add_conflict(path, &format!("`{name}` was added to its names: widened"));
            }
        }
        (FieldKind::Enumeration { names }, FieldKind::Text { max_bytes }) => {
            if let Some(name) = names.iter().find(|name| name.len() > *max_bytes as usize) {
                compatibility.add_conflict(path, &format!("`{name}` is longer than {max_bytes}"));
            }
        }
        (FieldKind::Record { fields: newer }, FieldKind::Record { fields: older }) => {
            compare_records(&format!("{path}."), newer, older, compatibility);
        }
        _ => compatibility.add_conflict(path, "its kind changed"),
    }
}
