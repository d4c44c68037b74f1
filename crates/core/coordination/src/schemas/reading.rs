//! Reading a document by a schema, and writing one anew for an older reader.

use super::rules::{is_known, successor};
use lynxtally_messages::{Field, FieldKind, Fields};
use serde_json::{Map, Value};

/// Reads a document: what stands for each field, defaults put in.
///
/// # Errors
/// One line that names the place and what is wrong there.
pub fn read(fields: &Fields, document: &Value) -> Result<Value, String> {
    record("", fields, document)
}

fn record(at: &str, fields: &Fields, value: &Value) -> Result<Value, String> {
    let Some(map) = value.as_object() else { return Err(format!("`{at}` is no record")) };
    if let Some(name) = map.keys().find(|name| !fields.contains_key(*name)) {
        return Err(format!("`{at}{name}` is no field of this schema"));
    }
    let mut read = Map::new();
    for (name, field) in fields {
        let at = format!("{at}{name}");
        match map.get(name).or(field.default.as_ref().filter(|_| !field.required)) {
            Some(value) => drop(read.insert(name.clone(), whole(&at, field, value)?)),
            None if field.required => return Err(format!("`{at}` is missing")),
            None => {}
        }
    }
    Ok(Value::Object(read))
}

fn whole(at: &str, field: &Field, value: &Value) -> Result<Value, String> {
    if !field.is_list {
        return one(at, &field.kind, value);
    }
    let Some(all) = value.as_array() else { return Err(format!("`{at}` is no list")) };
    let each = |(n, value): (usize, &Value)| one(&format!("{at}[{n}]"), &field.kind, value);
    all.iter().enumerate().map(each).collect::<Result<Vec<_>, _>>().map(Value::Array)
}

fn one(at: &str, kind: &FieldKind, value: &Value) -> Result<Value, String> {
    let fits = match kind {
        FieldKind::Integer { min: least, max: most } => {
            value.as_i64().is_some_and(|n| (*least..=*most).contains(&n))
        }
        FieldKind::Text { max_bytes: longest } => {
            value.as_str().is_some_and(|text| text.len() <= *longest as usize)
        }
        FieldKind::Boolean {} => value.is_boolean(),
        FieldKind::Enumeration { names } => {
            value.as_str().is_some_and(|text| names.iter().any(|name| name == text))
        }
        FieldKind::Record { fields } => return record(&format!("{at}."), fields, value),
    };
    fits.then(|| value.clone())
        .ok_or_else(|| format!("`{at}` is {value}, which its kind {kind} does not allow"))
}

/// Writes a document of the newer schema for a reader of the older one, so that what both know comes out equal.
///
/// # Errors
/// One line that says why that can't be.
pub fn render(newer: &Fields, older: &Fields, document: &Value) -> Result<Value, String> {
    read(newer, document)?;
    down("", newer, older, document)
}

fn down(at: &str, newer: &Fields, older: &Fields, document: &Value) -> Result<Value, String> {
    let Some(map) = document.as_object() else { return Err(format!("`{at}` is no record")) };
    for (name, field) in newer.iter().filter(|(name, field)| !is_known(older, name, field)) {
        let told = map.get(name).filter(|value| field.default.as_ref() != Some(value));
        if field.must_understand && told.is_some() {
            return Err(format!("`{at}{name}` has to be understood, and the older reader does not know it"));
        }
    }
    let mut written = Map::new();
    for (name, old) in older {
        let at = format!("{at}{name}");
        let Some((now, new)) = successor(newer, name) else {
            match &old.default {
                Some(default) if old.required => drop(written.insert(name.clone(), default.clone())),
                None if old.required => return Err(format!("`{at}` is needed by the older reader")),
                _ => {}
            }
            continue;
        };
        let value = map.get(now).or(new.default.as_ref().filter(|_| !new.required));
        match value {
            None if old.required => return Err(format!("`{at}` is needed by the older reader")),
            None if old.default.is_some() => {
                return Err(format!("`{at}` has a default for the older reader, and no value here"));
            }
            None => {}
            Some(value) => drop(written.insert(name.clone(), field_down(&at, new, old, value)?)),
        }
    }
    Ok(Value::Object(written))
}

fn field_down(at: &str, new: &Field, old: &Field, value: &Value) -> Result<Value, String> {
    let value = match (new.is_list, old.is_list) {
        (false, true) => Value::Array(vec![value.clone()]),
        (true, false) => match value.as_array().map(Vec::as_slice) {
            Some([one]) => one.clone(),
            _ => return Err(format!("`{at}` is a list, and the older reader knows one value")),
        },
        _ => value.clone(),
    };
    let value = match (&new.kind, &old.kind) {
        (FieldKind::Record { fields }, FieldKind::Record { fields: before }) => {
            let at = format!("{at}.");
            match value.as_array() {
                Some(all) => {
                    let each = |one: &Value| down(&at, fields, before, one);
                    Value::Array(all.iter().map(each).collect::<Result<Vec<_>, _>>()?)
                }
                None => down(&at, fields, before, &value)?,
            }
        }
        _ => value,
    };
    whole(at, old, &value)?;
    Ok(value)
}
