//! The request engine that every frontend is built on.
//!
//! The engine connects a frontend, a [`Scheduler`] and an executor. It holds the scheduler, the table of request ids, the
//! open requests and all timers, and it counts requests and responses, so that an operator can check that each request
//! gets exactly one final response. It reads no clock and does no I/O. The frontend's event loop (the driver) reports
//! events with their time, an [`Executor`] runs requests, and a [`Responder`] delivers their final responses. The same
//! code therefore serves real sockets and simulated time.
//!
//! A driver repeats these steps:
//!
//! 1. Report all events that are ready ([`Engine::submit`], [`Engine::run_ended`], ...).
//! 2. Call [`Engine::expire_timers`] until it returns `None`.
//! 3. Call [`Engine::decide`] once for the whole batch.
//! 4. Wait for the next event, but no longer than until [`Engine::next_timer`].
//!
//! A caller in this crate is the direct sender of a request: a client or another backend.
//!
//! | module | contents |
//! | --- | --- |
//! | `engine` | the state of one instance, and the methods through which a driver reports events |
//! | `actions` | execution of the scheduler's actions; final responses and their price |
//! | `request` | submitted requests and the table of open requests |
//! | `identity` | what a request and its duplicates have in common |
//! | `late_identity` | identities of requests that were already started |
//! | `deduplication` | recognition of duplicates, and retained results |
//! | `wallets` | prices that are reserved and settled |
//! | `timers` | all timers, and the maximum age of gauges |
//! | `scheduler`, `executor`, `response` | the interfaces to the scheduler, the executor and the frontend's responses |
//! | `counts` | counts of received requests by how they ended |

#![forbid(unsafe_code)]

mod actions;
mod counts;
mod deduplication;
mod ended_names;
mod engine;
mod executor;
mod identity;
mod late_identity;
mod request;
mod response;
mod scheduler;
mod timers;
mod wallets;

pub use counts::RequestCounts;
pub use deduplication::{Deduplication, DuplicateOutcome, KeyConflict, SettledDuplicate};
pub use engine::Engine;
pub use executor::{Executor, RunEnd};
pub use identity::{ContentFingerprint, Fingerprint, IdempotencyKey, RequestIdentity};
pub use late_identity::{Identified, IdentityRefusal};
pub use request::{IncomingRequest, Rejection, RejectionReason};
pub use response::{FinalResponse, Responder};
pub use scheduler::Scheduler;
pub use wallets::{ReservationUsage, WalletReservation};
