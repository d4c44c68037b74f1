//! Settings are Jsonnet templates. A library evaluates them; what comes out is decoded in one place, and an
//! error names the file and the key.

#![forbid(unsafe_code)]

use lynxtally_settings::{decode, SettingError};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Evaluates a template to JSON. What is wrong with the template itself, the library has printed with its place.
pub fn evaluate(path: &Path) -> Result<serde_json::Value, SettingError> {
    let arena = rsjsonnet_lang::arena::Arena::new();
    let mut session = rsjsonnet_front::Session::new(&arena);
    let json = session
        .load_real_file(path)
        .and_then(|thunk| session.eval_value(&thunk))
        .and_then(|value| session.manifest_json(&value, false))
        .ok_or_else(|| SettingError::new("", "the template can't be evaluated"))?;
    serde_json::from_str(&json).map_err(|fault| SettingError::new("", format!("no JSON came of it: {fault}")))
}

/// Evaluates a template and decodes what comes out; the error is one line that names file and key.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    evaluate(path).and_then(decode).map_err(|fault| format!("{}: {fault}", path.display()))
}
