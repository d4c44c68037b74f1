//! Plain schedulers to compare lynxtally's policy with; only in experiments and measurements, never in a program. All are
//! one queue with a limit on what runs; they differ in how the limit moves, who goes first, and who is rejected.

#![forbid(unsafe_code)]

mod baseline;
mod controlled_delay;
mod plain_queue;

pub use baseline::{Baseline, BaselineConfig, BaselineKind};
pub use plain_queue::PlainQueue;

use lynxtally::{Action, RequestId, Span};

/// How long a downstream call may take.
const CALL_TIMEOUT: Span = Span::from_millis(5000);

/// Rejects a request that never ran.
fn reject(request: RequestId, actions: &mut Vec<Action>) {
    actions.push(Action::Reject { request, retry_after: Span::ZERO, no_retry: false });
    actions.push(Action::ReleaseId(request));
}
