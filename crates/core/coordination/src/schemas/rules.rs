//! Whether an older reader can have every document of a newer schema. The rules, for a field that both may know;
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

/// What becomes of a newer schema's documents for an older reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// What is lost or written otherwise, one line each.
    pub rendered: Vec<String>,
    /// Why it can't be, one line each: field, rule.
    pub reasons: Vec<String>,
}

impl Verdict {
    /// Whether every document can be had, rendered down where needed.
    pub fn holds(&self) -> bool {
        self.reasons.is_empty()
    }

    fn lost(&mut self, at: &str, what: &str) {
        self.rendered.push(format!("`{at}`: {what}"));
    }

    fn cannot(&mut self, at: &str, why: &str) {
        self.reasons.push(format!("`{at}`: {why}"));
    }
}

/// The field of the newer schema that stands for one of the older.
pub(super) fn successor<'a>(newer: &'a Fields, name: &str) -> Option<(&'a String, &'a Field)> {
    let renamed = || newer.iter().find(|(_, field)| field.renamed_from.as_deref() == Some(name));
    newer.get_key_value(name).or_else(renamed)
}

/// Whether a field of the newer schema stands for one that the older knows.
pub(super) fn is_known(older: &Fields, name: &str, field: &Field) -> bool {
    older.contains_key(name) || field.renamed_from.as_ref().is_some_and(|was| older.contains_key(was))
}

/// Compares two schemas.
pub fn compare(newer: &Fields, older: &Fields) -> Verdict {
    let mut verdict = Verdict::default();
    compare_at("", newer, older, &mut verdict);
    verdict
}

fn compare_at(at: &str, newer: &Fields, older: &Fields, verdict: &mut Verdict) {
    for (name, field) in newer.iter().filter(|(name, field)| !is_known(older, name, field)) {
        let at = format!("{at}{name}");
        if field.must_understand {
            verdict.cannot(&at, "added, and has to be understood");
        } else {
            verdict.lost(&at, &format!("added: lost; {} stands for it", told(field)));
        }
    }
    for (name, old) in older {
        let at = format!("{at}{name}");
        match successor(newer, name) {
            None if !old.required => {}
            None if old.default.is_some() => {
                verdict.lost(&at, &format!("removed: {} is written for it", told(old)));
            }
            None => verdict.cannot(&at, "removed, and the older reader needs it"),
            Some((now, field)) => {
                if now != name {
                    verdict.lost(&at, &format!("renamed: written under its older name, not `{now}`"));
                }
                one(&at, field, old, verdict);
            }
        }
    }
}

fn told(field: &Field) -> String {
    field.default.as_ref().map_or_else(|| "nothing".to_owned(), |value| format!("its default {value}"))
}

fn one(at: &str, new: &Field, old: &Field, verdict: &mut Verdict) {
    match (new.is_list, old.is_list) {
        (true, false) => verdict.cannot(at, "single, now a list"),
        (false, true) => verdict.lost(at, "a list, now single: written as a list of one"),
        _ => {}
    }
    if old.required && !new.required && new.default.is_none() {
        verdict.cannot(at, "required, now optional without a default");
    } else if old.required && !new.required {
        verdict.lost(at, &format!("required, now optional: {} is written out", told(new)));
    } else if !new.required && !same_default(new, old) {
        if new.default.is_none() {
            verdict.cannot(at, "the older reader has a default, and the newer has none");
        } else {
            verdict.lost(at, &format!("default changed: {} is written out", told(new)));
        }
    }
    match (&new.kind, &old.kind) {
        (FieldKind::Integer { min: least, max: most }, FieldKind::Integer { min: from, max: to }) => {
            if least < from || most > to {
                verdict.cannot(at, &format!("range {least} to {most}, was {from} to {to}: widened"));
            }
        }
        (FieldKind::Text { max_bytes: longest }, FieldKind::Text { max_bytes: before }) => {
            if longest > before {
                verdict.cannot(at, &format!("length {longest}, was {before}: widened"));
            }
        }
        (FieldKind::Boolean {}, FieldKind::Boolean {}) => {}
        (FieldKind::Enumeration { names }, FieldKind::Enumeration { names: before }) => {
            if let Some(name) = names.iter().find(|name| !before.contains(name)) {
                verdict.cannot(at, &format!("`{name}` was added to its names: widened"));
            }
        }
        (FieldKind::Enumeration { names }, FieldKind::Text { max_bytes: longest }) => {
            if let Some(name) = names.iter().find(|name| name.len() > *longest as usize) {
                verdict.cannot(at, &format!("`{name}` is longer than {longest}"));
            }
        }
        (FieldKind::Record { fields }, FieldKind::Record { fields: before }) => {
            compare_at(&format!("{at}."), fields, before, verdict);
        }
        _ => verdict.cannot(at, "its kind changed"),
    }
}

/// Whether leaving the field out means the same to both.
fn same_default(new: &Field, old: &Field) -> bool {
    match (&new.default, &old.default) {
        (Some(new_value), Some(old_value)) if new.is_list != old.is_list => {
            new_value == old_value
                || old_value.as_array().is_some_and(|all| all.as_slice() == [new_value.clone()])
        }
        (new, old) => new == old,
    }
}
