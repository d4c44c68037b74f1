//! The input and output that all frontends share.
//!
//! Contains sockets and connections, reasons for closing a connection, listeners, the table of open connections, the
//! timer, the clock, a directory as storage, and what the `main` functions have in common. It implements no
//! protocol and makes no scheduling decisions.

pub mod clock;
pub mod close_reason;
pub mod connection;
pub mod connection_table;
pub mod coroutine;
pub mod directory;
pub mod fair_yield;
pub mod listener;
pub mod mailbox;
pub mod memory_account;
pub mod socket;
pub mod startup;
pub mod sync;
pub mod timer;
