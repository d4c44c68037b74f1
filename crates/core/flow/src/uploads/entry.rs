//! Uploads and their changes as the log of uploads stores them.

use super::lifecycle::ForwardOutcome;
use super::UploadId;
use serde::{Deserialize, Serialize};

/// A resumable upload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// The name of the tenant; empty if the request named none.
    #[serde(rename = "customer")]
    pub tenant: String,
    /// The head of the request that is sent to the upstream once the upload is complete.
    #[serde(rename = "what")]
    pub request_head: Vec<u8>,
    /// The length of the whole upload, if the client has announced it.
    pub length: Option<u64>,
    /// The number of bytes received so far.
    pub offset: u64,
    /// CRC-32C of the bytes received so far.
    #[serde(rename = "sum")]
    pub checksum: u32,
    /// When bytes were last received or a forward ended, in Unix seconds.
    #[serde(rename = "touched")]
    pub updated_secs: u64,
    /// Whether all bytes were received.
    #[serde(rename = "whole")]
    pub is_complete: bool,
}

/// A change that must survive a restart. Stored in the log of uploads.
///
/// Versions that know only the first three variants can't read the others. A log with one of these therefore follows a
/// snapshot with one, which such a version refuses: it must not forward an upload again that was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An upload was created.
    #[serde(rename = "Begun")]
    Created(UploadId, Upload),
    /// An upload received bytes.
    #[serde(rename = "Moved")]
    Advanced {
        /// Identifies the upload.
        id: UploadId,
        /// The number of bytes received so far.
        offset: u64,
        /// CRC-32C of the bytes received so far.
        #[serde(rename = "sum")]
        checksum: u32,
        /// When bytes were last received, in Unix seconds.
        #[serde(rename = "touched")]
        updated_secs: u64,
        /// Whether all bytes were received.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// An upload was removed.
    #[serde(rename = "Gone")]
    Removed(UploadId),
    /// A forward begins whose effect must not be repeated.
    ForwardBegun(UploadId),
    /// A forward reached no upstream, so another one may begin.
    ForwardReset(UploadId),
    /// A forward ended, and no other one may begin.
    ForwardEnded {
        /// Identifies the upload.
        id: UploadId,
        /// What is known of the effect.
        outcome: ForwardOutcome,
        /// When the forward ended, in Unix seconds.
        ended_secs: u64,
        /// Until when the record must be kept, in Unix seconds.
        protected_until_secs: u64,
    },
}

impl Entry {
    /// Whether versions without records of forwards can't read this entry.
    pub fn is_about_forward(&self) -> bool {
        matches!(self, Self::ForwardBegun(_) | Self::ForwardReset(_) | Self::ForwardEnded { .. })
    }
}
