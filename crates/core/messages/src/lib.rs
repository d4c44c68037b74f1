//! The messages that nodes and operators exchange with the coordinators.
//!
//! Use this crate on both sides of such an exchange: [`encode`] before sending, [`decode`] after receiving. [`decode`]
//! also validates the message, so its receiver does not check ranges again. Tenants' requests never pass through here.
//!
//! Each message is a JSON object with the protocol version under `v` and the message under `say`. An unknown version or
//! field is rejected with an error of one line that names the field. All amounts are integers; all durations are in
//! microseconds. Many wire names are older than the Rust names; `#[serde(rename)]` maps one to the other.

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
