//! The program round the module: sockets on one side, decisions on the other.

pub mod accept;
pub mod alarm;
pub mod answer;
pub mod clock;
pub mod config;
pub mod control;
pub mod counters;
pub mod decide;
pub mod end;
pub mod http;
pub mod kernel;
pub mod ledger;
pub mod node;
pub mod repeats;
pub mod wire;
