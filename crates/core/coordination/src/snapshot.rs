//! Snapshots of the whole state, with their digest.

use crate::CoordinationState;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use std::fmt;

/// The format version of snapshots.
const SNAPSHOT_VERSION: u32 = 1;
/// A digest is shown by its first bytes.
const SHOWN_BYTES: usize = 8;

/// The SHA-256 of a serialized state: equal for equal states.
#[derive(Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub struct Digest([u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..SHOWN_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
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

/// Why a snapshot can't be used. Its text is one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It can't be decoded.
    Malformed(String),
    /// Its format version is not known here.
    UnknownVersion(u32),
    /// Its digest is not that of its state.
    DigestMismatch {
        /// The digest that it states.
        stated: Digest,
        /// The digest of its state.
        computed: Digest,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Malformed(fault) => write!(f, "the snapshot can't be read: {fault}"),
            Self::UnknownVersion(version) => {
                write!(f, "the snapshot has version {version}; {SNAPSHOT_VERSION} is expected")
            }
            Self::DigestMismatch { stated, computed } => {
                write!(f, "the snapshot's state has the digest {computed}, and it says {stated}")
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
        // Encoding fails only for maps whose keys are neither strings nor integers, and the state has none.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Digest(sha2::Sha256::digest(bytes).into())
    }

    /// The state as bytes, with its digest.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot { version: SNAPSHOT_VERSION, digest: self.digest(), state: self };
        // As above.
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// The state of a snapshot.
    ///
    /// # Errors
    /// It can't be decoded, has another version, or its state is not what its digest says.
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
