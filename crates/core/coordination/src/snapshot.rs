//! The whole state as octets, with its digest.

use crate::Register;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use std::fmt;

/// What two equal states have in common, and two others surely not.
#[derive(Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub struct Digest([u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..8].iter().try_for_each(|octet| write!(f, "{octet:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The version of snapshots.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Kept<T> {
    v: u32,
    digest: Digest,
    register: T,
}

/// Why a snapshot can't be used; one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damaged {
    /// It is not what it should be.
    Unreadable(String),
    /// It is of a version that is not known here.
    Version(u32),
    /// Its digest is not that of its state.
    Digest {
        /// As it says.
        told: Digest,
        /// As it is.
        found: Digest,
    },
}

impl fmt::Display for Damaged {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the snapshot can't be read: {why}"),
            Self::Version(told) => write!(f, "the snapshot has version {told}; {VERSION} is expected"),
            Self::Digest { told, found } => {
                write!(f, "the snapshot's state has the digest {found}, and it says {told}")
            }
        }
    }
}

impl std::error::Error for Damaged {}

impl Register {
    fn octets(&self) -> Vec<u8> {
        // All keys of maps are texts or numbers, so nothing can fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The digest of the state.
    pub fn digest(&self) -> Digest {
        Digest(sha2::Sha256::digest(self.octets()).into())
    }

    /// The state as octets, with its digest.
    pub fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&Kept { v: VERSION, digest: self.digest(), register: self }).unwrap_or_default()
    }

    /// The state of a snapshot.
    ///
    /// # Errors
    /// It is not whole, of another version, or not what its digest says.
    pub fn restore(octets: &[u8]) -> Result<Self, Damaged> {
        #[derive(Deserialize)]
        struct Version {
            v: u32,
        }
        let unreadable = |fault: serde_json::Error| Damaged::Unreadable(fault.to_string());
        let Version { v } = serde_json::from_slice(octets).map_err(unreadable)?;
        if v != VERSION {
            return Err(Damaged::Version(v));
        }
        let kept: Kept<Self> = serde_json::from_slice(octets).map_err(unreadable)?;
        let found = kept.register.digest();
        if found != kept.digest {
            return Err(Damaged::Digest { told: kept.digest, found });
        }
        Ok(kept.register)
    }
}
