//! Durable storage of a replica's Raft log and state, with the interfaces that openraft requires.
//!
//! Votes and log entries are records of one write-ahead log. The state is one checksummed file that is replaced atomically.
//! One thread does all writes to the folder (module `storage_thread`): it writes all waiting records with one sync, then notifies
//! each waiting task.
//!
//! After a failed write or sync the content of the disk is unknown, so the replica writes and acknowledges nothing more and
//! the coordinator ends.

mod error;
mod log_record;
mod raft_log;
mod state_machine;
mod storage_thread;

pub use error::StoreError;
pub use raft_log::RaftLog;
pub use state_machine::{SharedState, StateMachine};
pub use storage_thread::{open, OpenedStore};
