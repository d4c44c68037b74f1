//! The program round the module: sockets on one side, decisions on the other.

pub mod accept;
pub mod answer;
pub mod config;
pub mod control;
pub mod counters;
pub mod decide;
pub mod heard;
pub mod http;
pub mod kernel;
pub mod ledger;
pub mod node;
pub mod repeat;
pub mod shares;
