//! Admission and scheduling for servers behind load balancers that can't be changed.
//!
//! The host, the program that embeds the library, creates one [`Policy`] per backend. It passes each
//! [`Event`] with the time to [`Policy::handle`], calls [`Policy::decide`] after the events of one
//! moment, and carries out the returned [`Action`]s. The library reads no clock, does no I/O and has
//! no global state, so the same events, times and seed give the same actions.
//!
//! ```
//! use lynxtally::*;
//!
//! let class = RequestClass {
//!     utility: 1.0,
//!     late_utility_fraction: 0.0,
//!     latency_objective: Span::from_millis(1000),
//!     deadline: Span::from_millis(3000),
//!     effect: Effect::Idempotent,
//!     deduplication_window: Span::ZERO,
//!     calls_downstream: false,
//!     degraded_utility_fraction: 0.0,
//! };
//! let settings = Settings {
//!     cores: 4,
//!     memory_kb: 65536.0,
//!     running_memory_factor: 8.0,
//!     idempotency_key_kb: 1.0,
//!     cold_start: false,
//!     cold_capacity_fraction: 0.2,
//!     warmup_time: Span::from_millis(10_000),
//!     max_running_per_core: 6.0,
//!     drain_grace: Span::from_millis(1000),
//!     classes: vec![class],
//!     tenant_quotas: vec![],
//!     over_quota_utility_fraction: 1.0,
//!     utility_per_work: false,
//!     backends: 3,
//!     callers: 2,
//!     tier_depth: 0,
//!     downstream: Downstream::None,
//!     stoppable: false,
//!     capacity_format: CapacityFormat::None,
//!     capacity_ttl: Span::from_millis(1000),
//!     client_idle_timeout: Span::ZERO,
//!     coalescing_window: Span::ZERO,
//!     max_retry_after: Span::from_millis(1000),
//! };
//! let mut ids = RequestIdTable::default();
//! let mut actions = Vec::new();
//! let mut policy = Policy::new(settings, 7, Instant::from_micros(0));
//! let request = ids.assign("first");
//! let arrival = Arrival {
//!     request,
//!     class: 0,
//!     tenant: None,
//!     caller: 1,
//!     expected_work: None,
//!     receive_delay: Span::ZERO,
//!     deadline: None,
//!     is_retry: false,
//!     duplicate: Duplicate::No,
//!     coalescable: false,
//!     memory_kb: 16.0,
//!     prepaid: true,
//! };
//! let now = Instant::from_micros(500);
//! policy.handle(now, Event::Arrived(arrival));
//! policy.decide(now, &mut actions);
//! assert!(actions.contains(&Action::Start(request)));
//! ```

#![forbid(unsafe_code)]

mod action;
mod caller_similarity;
mod cost_model;
mod dependency_usage;
mod event;
mod expiry_set;
mod outbox;
mod pcg;
mod policy;
mod rate_queue;
mod receive_delay;
mod request;
mod request_id;
mod request_table;
mod resource_usage;
mod settings;
mod sliding_sum;
mod tenant_rates;
mod time;

pub use action::Action;
pub use dependency_usage::CallUsage;
pub use event::{Arrival, CallLease, CallOutcome, Duplicate, Event, Gauges, LeasedQuotas, RunOutcome};
pub use pcg::Pcg;
pub use policy::Policy;
pub use request_id::{RequestId, RequestIdTable};
pub use settings::{CapacityFormat, Downstream, Effect, RequestClass, Settings};
pub use time::{Instant, Span};

/// Compiles the README's example with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
