//! Snapshots and digests of the replicated state.

use crate::CoordinationState;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use std::fmt;

/// The version of the snapshot format.
const SNAPSHOT_VERSION: u32 = 1;
/// The number of leading bytes of a digest that are printed.
const PRINTED_DIGEST_BYTES: usize = 8;

/// The SHA-256 hash of the serialized state. Equal states have equal digests.
#[derive(Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub struct Digest([u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..PRINTED_DIGEST_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot<T> {
    #[serde(rename = "v")]
    version: u32,
    digest: Digest,
    #[serde(rename = "register")]
    state: T,
}

#[derive(Deserialize)]
struct VersionOnly {
    #[serde(rename = "v")]
    version: u32,
}

/// Why a snapshot can't be restored. The error text is a single line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot can't be decoded. Contains the error text of the JSON decoder.
    Malformed(String),
    /// The snapshot has this format version, which is not supported.
    UnknownVersion(u32),
    /// The state in the snapshot does not have the digest that the snapshot states, so one of them was changed.
    DigestMismatch {
        /// The digest that the snapshot states.
        stated: Digest,
        /// The digest computed from the state in the snapshot.
        computed: Digest,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Malformed(fault) => write!(f, "the snapshot can't be decoded: {fault}"),
            Self::UnknownVersion(version) => {
                write!(f, "the snapshot has format version {version}; {SNAPSHOT_VERSION} is expected")
            }
            Self::DigestMismatch { stated, computed } => {
                write!(f, "the snapshot states digest {stated}, but its state has digest {computed}")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

impl From<serde_json::Error> for SnapshotError {
    fn from(fault: serde_json::Error) -> Self {
        Self::Malformed(fault.to_string())
    }
}

impl CoordinationState {
    /// The digest of the state.
    pub fn digest(&self) -> Digest {
        // Encoding can fail only for a map whose keys are neither strings nor integers, and the state has none.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest(sha2::Sha256::digest(bytes).into())
    }

    /// Serializes the state, with its digest, to a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot { version: SNAPSHOT_VERSION, digest: self.digest(), state: self };
        // Encoding can't fail, for the same reason as in `digest`.
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// Returns an error if the snapshot can't be decoded, has another format version, or does not match its digest.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let VersionOnly { version } = serde_json::from_slice(bytes)?;
        if version != SNAPSHOT_VERSION {
            return Err(SnapshotError::UnknownVersion(version));
        }
        let snapshot: Snapshot<Self> = serde_json::from_slice(bytes)?;
        let computed = snapshot.state.digest();
        if computed != snapshot.digest {
            return Err(SnapshotError::DigestMismatch { stated: snapshot.digest, computed });
        }
        Ok(snapshot.state)
    }
}
