//! A node's side of coordination: it keeps the node's leases and reservations, and says what to send when. It does no
//! I/O and reads no clock: a driver tells it the time and the responses, carries its requests, and hears which amounts
//! are in force.
//!
//! Safety rule: who may use a lease, also after a pause. A lease's duration counts from the clock reading before
//! the request was *first* sent. The leader reads its clock after that, so the lease is over here before its units are
//! granted to others. The driver calls [`LeaseClient::advance`] with a fresh clock reading in each pass of its loop before
//! it starts anything, and starts nothing on an older reading; the clock counts on while the machine sleeps. So a node
//! that was paused finds its leases expired before it can start anything under them. What it started before the pause
//! may still run: for that the coordinators wait the longest time in flight, which the node tells them. The one gap
//! that no check closes is a pause between that reading and the start itself; the pause margin of the terms covers it.
//!
//! One request is under way at a time. It is sent again unchanged, to this coordinator or another, until one responds,
//! and it is applied once. With every coordinator gone the node goes on with what is in force until that expires; it
//! waits for nothing here.

#![forbid(unsafe_code)]

mod client;
mod demand;
mod event;
mod exchange;
mod lease;
mod reservation;
mod session;
mod settings;

pub use client::LeaseClient;
pub use demand::UsageCounts;
pub use event::{Event, OutgoingRequest};
pub use reservation::{CurrentReservation, WalletUsage};
pub use settings::{BudgetSettings, Settings, WalletSettings};
