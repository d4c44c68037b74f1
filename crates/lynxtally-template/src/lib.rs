//! Settings are Jsonnet templates. A library evaluates them; what comes out is decoded in one place, and an
//! error names the file and the key.

#![forbid(unsafe_code)]

use lynxtally_settings::{decode, SettingError};
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::{Path, PathBuf};

/// Settings that can't be used. Shown as one line that names the file and the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TemplateError {
    /// The file of the template.
    pub path: PathBuf,
    /// What is wrong in it.
    pub error: SettingError,
}

impl fmt::Display for TemplateError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.error)
    }
}

impl std::error::Error for TemplateError {}

/// Evaluates a template to JSON.
///
/// # Errors
/// The template can't be evaluated: the library has printed what is wrong with it and where.
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

/// Evaluates a template and decodes what comes out.
///
/// # Errors
/// The template can't be evaluated, or a key in what comes out can't be used.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, TemplateError> {
    evaluate(path).and_then(decode).map_err(|error| TemplateError { path: path.to_owned(), error })
}
