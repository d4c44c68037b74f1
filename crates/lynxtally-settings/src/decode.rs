//! Decodes JSON, with errors that name the key.

use crate::error::SettingError;
use serde::Deserialize;

/// Decodes JSON into a value.
///
/// # Errors
/// Returns an error that names the key by its path.
pub fn decode<'de, T: Deserialize<'de>>(
    json: impl serde::Deserializer<'de, Error = serde_json::Error>,
) -> Result<T, SettingError> {
    serde_path_to_error::deserialize(json).map_err(|error| {
        let path = error.path().to_string();
        SettingError::new(path, format!("cannot be read: {}", describe_json_error(error.inner())))
    })
}

/// The text of a JSON error without line and column, which mean nothing to the reader: an input of one JSON object per
/// line has its own line numbers, and already parsed values have none.
pub fn describe_json_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rsplit_once(" at line ") {
        Some((what, _)) => what.to_owned(),
        None => text,
    }
}
