//! What every frontend reads and writes through: sockets and connections, why a connection was closed, listeners,
//! the table of open connections, the timer, the clock, a directory as storage, and what `main` functions have in
//! common. It knows no protocol and decides
//! nothing.

pub mod clock;
pub mod close_reason;
pub mod connection;
pub mod connection_table;
pub mod coroutine;
pub mod directory;
pub mod fair_yield;
pub mod listener;
pub mod mailbox;
pub mod socket;
pub mod startup;
pub mod sync;
pub mod timer;
