//! The node's part of the coordination protocol: tracks the leases and reservations that a node has and decides which
//! request to send, when, and to which coordinator. Use it in any process that takes part in budgets or wallets which the
//! coordinators divide among nodes.
//!
//! This package does no I/O and reads no clock. A driver passes in clock readings and responses, sends the requests, and
//! learns from [`Event`]s which amounts may be used.
//!
//! # Safety rule
//!
//! A node starts nothing under a lease whose units may already be granted to another node:
//!
//! - The duration of a lease counts from the clock reading before the *first* attempt of the request. The leader reads
//!   its own clock later, so the lease expires on the node before the leader grants its units to others.
//! - In each iteration of its loop, before it starts anything, the driver calls [`LeaseClient::advance`] with a new clock
//!   reading, and it starts nothing on an older reading. The clock must keep counting while the machine sleeps. A node
//!   that was paused therefore finds its leases expired before it can start anything under them.
//! - What the node started before a pause may still be running. The coordinators wait for the longest time in flight,
//!   which the node reports to them, before they grant the units again.
//! - A pause between the clock reading and the start itself goes undetected. The pause margin in the terms of the budget
//!   covers it.
//!
//! # Requests
//!
//! At most one request is pending. It is sent again unchanged, to the same or another coordinator, until a coordinator
//! responds; the coordinators apply it once. While no coordinator can be reached, the node keeps using its leases and
//! reservations until they expire. No call into this package blocks.

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
