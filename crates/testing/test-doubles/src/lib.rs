//! Stand-ins for what the project meets outside, written from published formats.

#![forbid(unsafe_code)]

pub mod names;
pub mod storage;
pub mod stream;
