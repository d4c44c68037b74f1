//! Renders a document of a newer schema in an older one.

use super::compatibility::{is_known, successor};
use super::error::{DocumentError, DocumentFault};
use super::reading::{default_of, read, read_field};
use lynxtally_messages::{Field, FieldKind, Fields};
use serde_json::{Map, Value};

/// Renders a document of the newer schema in the older one. Each field that both schemas have keeps its value.
///
/// # Errors
/// Returns the first field that can't be rendered.
pub fn render(newer: &Fields, older: &Fields, document: &Value) -> Result<Value, DocumentError> {
    read(newer, document)?;
    render_record("", newer, older, document)
}

fn render_record(
    prefix: &str,
    newer: &Fields,
    older: &Fields,
    document: &Value,
) -> Result<Value, DocumentError> {
    let map = document.as_object().ok_or_else(|| DocumentFault::NotARecord.at(prefix))?;
    check_unknown_fields(prefix, newer, older, map)?;
    let mut rendered = Map::new();
    for (name, old_field) in older {
        let path = format!("{prefix}{name}");
        let value = match successor(newer, name) {
            Some((new_name, new_field)) => {
                let value = map.get(new_name).or(default_of(new_field));
                render_known(&path, new_field, old_field, value)?
            }
            None => render_removed(&path, old_field)?,
        };
        if let Some(value) = value {
            rendered.insert(name.clone(), value);
        }
    }
    Ok(Value::Object(rendered))
}

/// Checks the fields that the older schema does not have, and which the rendered document will leave out. Fails if one
/// of them must be understood and the document sets it to something other than its default.
fn check_unknown_fields(
    prefix: &str,
    newer: &Fields,
    older: &Fields,
    map: &Map<String, Value>,
) -> Result<(), DocumentError> {
    for (name, field) in newer.iter().filter(|(name, field)| !is_known(older, name, field)) {
        let value = map.get(name).filter(|value| field.default.as_ref() != Some(value));
        if field.must_understand && value.is_some() {
            return Err(DocumentFault::MustBeUnderstood.at(format!("{prefix}{name}")));
        }
    }
    Ok(())
}

/// Renders a field that the newer schema has removed; `None` if the rendered document leaves it out.
fn render_removed(path: &str, old_field: &Field) -> Result<Option<Value>, DocumentError> {
    match &old_field.default {
        Some(default) if old_field.required => Ok(Some(default.clone())),
        None if old_field.required => Err(DocumentFault::RequiredByOlderReader.at(path)),
        _ => Ok(None),
    }
}

/// Renders a field that both schemas have; `None` if the document has no value for it.
fn render_known(
    path: &str,
    new_field: &Field,
    old_field: &Field,
    value: Option<&Value>,
) -> Result<Option<Value>, DocumentError> {
    match value {
        Some(value) => render_value(path, new_field, old_field, value).map(Some),
        None if old_field.required => Err(DocumentFault::RequiredByOlderReader.at(path)),
        None if old_field.default.is_some() => Err(DocumentFault::DefaultOfOlderReader.at(path)),
        None => Ok(None),
    }
}

fn render_value(
    path: &str,
    new_field: &Field,
    old_field: &Field,
    value: &Value,
) -> Result<Value, DocumentError> {
    let value = render_list(path, new_field, old_field, value)?;
    let value = match (&new_field.kind, &old_field.kind) {
        (FieldKind::Record { fields: newer }, FieldKind::Record { fields: older }) => {
            render_records(&format!("{path}."), newer, older, &value)?
        }
        _ => value,
    };
    read_field(path, old_field, &value)?;
    Ok(value)
}

/// Converts a single value to a list of one, or a list of one to a single value, as the older schema requires.
fn render_list(
    path: &str,
    new_field: &Field,
    old_field: &Field,
    value: &Value,
) -> Result<Value, DocumentError> {
    match (new_field.is_list, old_field.is_list) {
        (false, true) => Ok(Value::Array(vec![value.clone()])),
        (true, false) => match value.as_array().map(Vec::as_slice) {
            Some([single]) => Ok(single.clone()),
            _ => Err(DocumentFault::ListForSingleValue.at(path)),
        },
        _ => Ok(value.clone()),
    }
}

/// Renders a record, or each record of a list.
fn render_records(
    prefix: &str,
    newer: &Fields,
    older: &Fields,
    value: &Value,
) -> Result<Value, DocumentError> {
    let Some(items) = value.as_array() else { return render_record(prefix, newer, older, value) };
    let rendered: Result<Vec<Value>, DocumentError> =
        items.iter().map(|item| render_record(prefix, newer, older, item)).collect();
    rendered.map(Value::Array)
}
