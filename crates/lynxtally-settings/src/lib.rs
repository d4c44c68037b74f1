//! Reads the settings object of a backend, checks it and fills in its defaults.
//!
//! The simulator's protocol and the configuration of a node contain the same JSON object. An error names the key
//! that has to be corrected and says what is expected there.
//!
//! ```
//! let text = r#"{
//!     "lanes":[{"name":"a","importance":1,"promise-ms":900,"deadline-ms":2000,"idempotency":"pure"}],
//!     "rules":{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":6,"warm-after-ms":9000},
//!     "specifics":{"cores":0,"blowup":4,"ram-kb":9000}
//! }"#;
//! let error = lynxtally_settings::read(serde_json::from_str(text).unwrap()).unwrap_err();
//! assert_eq!(error.to_string(), "`specifics.cores` is 0; at least 1 is expected");
//! ```

#![forbid(unsafe_code)]

mod check;
mod convert;
mod decode;
mod document;
mod error;
mod millis;

pub use convert::BackendSettings;
pub use decode::{decode, describe_json_error};
pub use error::SettingError;
pub use millis::Millis;

/// Reads and checks a settings object. Unknown keys are ignored.
///
/// # Errors
/// Names the first key that is missing, can't be read or has a value that a backend can't start with.
pub fn read(json: serde_json::Value) -> Result<BackendSettings, SettingError> {
    let document: document::Document = decode(json)?;
    document.check()?;
    Ok(document.into())
}
