//! Stand-ins for what the project meets outside, written from published formats.

#![forbid(unsafe_code)]

pub mod dns;
pub mod storage;
pub mod stream;
