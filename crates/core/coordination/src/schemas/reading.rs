//! Reads and validates a document according to a schema.

use super::error::{DocumentError, DocumentFault};
use lynxtally_messages::{Field, FieldKind, Fields};
use serde_json::{Map, Value};

/// Reads a document: returns its fields, with the defaults of the optional fields that it leaves out.
///
/// # Errors
/// Returns the first field that does not conform to the schema.
pub fn read(fields: &Fields, document: &Value) -> Result<Value, DocumentError> {
    read_record("", fields, document)
}

/// Reads a record. `prefix` is the path of the record followed by a dot, or empty for the whole document.
fn read_record(prefix: &str, fields: &Fields, value: &Value) -> Result<Value, DocumentError> {
    let map = value.as_object().ok_or_else(|| DocumentFault::NotARecord.at(prefix))?;
    if let Some(name) = map.keys().find(|name| !fields.contains_key(*name)) {
        return Err(DocumentFault::UnknownField.at(format!("{prefix}{name}")));
    }
    let mut read = Map::new();
    for (name, field) in fields {
        let path = format!("{prefix}{name}");
        match map.get(name).or(default_of(field)) {
            Some(value) => {
                read.insert(name.clone(), read_field(&path, field, value)?);
            }
            None if field.required => return Err(DocumentFault::Missing.at(path)),
            None => {}
        }
    }
    Ok(Value::Object(read))
}

/// The value of a field that a document leaves out. `None` for a required field, because it can't be left out.
pub(super) fn default_of(field: &Field) -> Option<&Value> {
    field.default.as_ref().filter(|_| !field.required)
}

/// Reads the value of a field, whether a single value or a list.
pub(super) fn read_field(path: &str, field: &Field, value: &Value) -> Result<Value, DocumentError> {
    if !field.is_list {
        return read_single(path, &field.kind, value);
    }
    let items = value.as_array().ok_or_else(|| DocumentFault::NotAList.at(path))?;
    let read: Result<Vec<Value>, DocumentError> = items
        .iter()
        .enumerate()
        .map(|(n, item)| read_single(&format!("{path}[{n}]"), &field.kind, item))
        .collect();
    read.map(Value::Array)
}

fn read_single(path: &str, kind: &FieldKind, value: &Value) -> Result<Value, DocumentError> {
    let is_allowed = match kind {
        FieldKind::Integer { min, max } => {
            value.as_i64().is_some_and(|number| (*min..=*max).contains(&number))
        }
        FieldKind::Text { max_bytes } => value.as_str().is_some_and(|text| text.len() <= *max_bytes as usize),
        FieldKind::Boolean {} => value.is_boolean(),
        FieldKind::Enumeration { names } => {
            value.as_str().is_some_and(|text| names.iter().any(|name| name == text))
        }
        FieldKind::Record { fields } => return read_record(&format!("{path}."), fields, value),
    };
    if is_allowed {
        return Ok(value.clone());
    }
    Err(DocumentFault::NotAllowed { value: value.clone(), kind: kind.clone() }.at(path))
}
