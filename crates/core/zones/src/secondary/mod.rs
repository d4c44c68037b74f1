//! Zone transfer from a primary to its secondaries, without I/O: when to query and transfer ([`SecondaryZone`]), how a
//! transfer is read ([`TransferReader`]), and who is notified of a new serial ([`NotifySender`]).

mod notify;
mod refresh;
mod retry;
mod transfer;

pub use notify::NotifySender;
pub use refresh::{SecondaryAction, SecondaryZone};
pub use retry::RetryTimes;
pub use transfer::{zone_from_records, TransferError, TransferReader, TransferResult};
