//! Test doubles for the programs and devices around lynxtally. They follow the published formats.
//! The HTTP side of [`stream`] shares no code with the stream server, so that a mistake in one can't hide in the other.

#![forbid(unsafe_code)]

pub mod dns;
pub mod storage;
pub mod stream;
