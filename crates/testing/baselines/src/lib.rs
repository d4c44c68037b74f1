//! Baseline schedulers that lynxtally's policy is compared with in experiments and benchmarks. Don't use them in a server.
//!
//! Each baseline has one queue and a limit on the number of running requests. The baselines differ in how they adapt the
//! limit, which queued request starts next, and which requests are rejected.

#![forbid(unsafe_code)]

mod baseline;
mod controlled_delay;
mod plain_queue;

pub use baseline::{Baseline, BaselineConfig, BaselineKind};
pub use plain_queue::PlainQueue;

use lynxtally::{Action, RequestId, Span};

/// Timeout of each downstream call.
const CALL_TIMEOUT: Span = Span::from_millis(5000);

/// Rejects a request that has not started, and releases its id. The rejection allows an immediate retry.
fn reject(request: RequestId, actions: &mut Vec<Action>) {
    actions.push(Action::Reject { request, retry_after: Span::ZERO, no_retry: false });
    actions.push(Action::ReleaseId(request));
}
