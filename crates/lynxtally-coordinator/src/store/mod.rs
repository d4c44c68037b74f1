//! A replica's log and state in a folder that lasts, as the Raft library wants them.
//!
//! Votes and entries are records of one write-ahead log. One thread owns the folder ([`storage_thread`]): all records
//! that wait are written and made durable once, and then each waiter is told. The state is one sealed file that is
//! replaced as a whole.

mod error;
mod log_record;
mod raft_log;
mod state_machine;
mod storage_thread;

pub use error::StoreError;
pub use raft_log::RaftLog;
pub use state_machine::{SharedState, StateMachine};
pub use storage_thread::{open, OpenedStore};
