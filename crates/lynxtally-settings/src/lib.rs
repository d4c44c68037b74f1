//! The settings object that a backend is given when it starts, the same JSON on the simulator's wire and in
//! the configuration of a node. It is read, checked and given its defaults here and nowhere else.
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
/// Names the first key that is missing, can't be read or has a value that no backend can start with.
pub fn read(json: serde_json::Value) -> Result<BackendSettings, SettingError> {
    let document: document::Document = decode(json)?;
    document.check()?;
    Ok(document.into())
}
