//! The messages that nodes and operators exchange with the coordinators. A message is decoded once, validated there and
//! encoded once; both sides use this package and nothing else. Requests of tenants never come this way.
//!
//! Each message is a JSON object with its protocol version under `v` ([`envelope`](decode)). An unknown version or an
//! unknown field is rejected with one line that names the field. All amounts are whole numbers, all durations are in
//! microseconds. Names on the wire are older than the names of the types here: `#[serde(rename)]` maps them.

#![forbid(unsafe_code)]

mod admin;
mod envelope;
mod node;
mod rejection;
mod schema;
mod terms;
mod validation;
mod wallet;

pub use admin::{AdminAction, AdminRequest, AdminResponse, IdempotencyKey};
pub use envelope::{decode, encode, DecodeError, Message, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
pub use node::{BudgetReport, Lease, LeaseUpdate, NodeRequest, NodeResponse};
pub use rejection::Rejection;
pub use schema::{AppliedDocument, Document, Field, FieldKind, Fields, Schema};
pub use terms::{BudgetKind, BudgetTerms, InDoubtPolicy, WalletTerms};
pub use validation::{FieldError, Violation};
pub use wallet::{Reservation, WalletReport, MAX_UNITS};
