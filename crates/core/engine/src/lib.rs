//! The request engine that every frontend stands on: the scheduler, the request id table, the open requests, timers
//! in one ordered structure, and the count that every request read got one final response. It reads no clock and does
//! no I/O: a driver tells it what happened and when, an [`Executor`] runs requests, a [`Responder`] gives their final
//! responses. The same code serves on sockets and in simulated time.
//!
//! A turn of a driver: report what happened ([`Engine::submit`], [`Engine::run_ended`], ...), take expired timers with
//! [`Engine::expire_timers`] until there are none, then [`Engine::decide`] once for the whole batch, and wait no
//! longer than [`Engine::next_timer`].
//!
//! | module | what it has |
//! | --- | --- |
//! | `engine` | what a driver reports, and the state of an instance |
//! | `actions` | the scheduler's actions executed; final responses and their price |
//! | `request` | requests as submitted, the table of open ones |
//! | `deduplication` | idempotency keys and retained results |
//! | `wallets` | prices reserved and settled |
//! | `timers` | all timers, and how long gauges count |
//! | `scheduler`, `executor`, `response` | the interfaces to what decides, what runs and what responds |
//! | `counts` | requests received, and how they ended |

#![forbid(unsafe_code)]

mod actions;
mod counts;
mod deduplication;
mod engine;
mod executor;
mod request;
mod response;
mod scheduler;
mod timers;
mod wallets;

pub use counts::RequestCounts;
pub use deduplication::{Deduplication, Fingerprint, IdempotencyKey, KeyConflict, SettledDuplicate};
pub use engine::Engine;
pub use executor::{Executor, RunEnd};
pub use request::{IncomingRequest, Rejection, RejectionReason};
pub use response::{FinalResponse, Responder};
pub use scheduler::Scheduler;
pub use wallets::{ReservationUsage, WalletReservation};
