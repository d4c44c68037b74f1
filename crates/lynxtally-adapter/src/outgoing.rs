//! The backends' messages to the simulator. Only this module uses their wire names.

use lynxtally::Action;
use lynxtally_settings::Millis;
use serde::Serialize;

/// The protocol numbers timers; the policy has only one.
const POLICY_TIMER: u64 = 0;

/// A message to the simulator.
#[derive(Debug, Serialize)]
#[serde(tag = "type")]
pub enum Outgoing<'a> {
    #[serde(rename = "serve")]
    Start {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "interrupt")]
    Stop {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "busy")]
    Reject {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
        #[serde(rename = "hold-off-ms")]
        retry_after: Millis,
        #[serde(rename = "terminal")]
        no_retry: bool,
    },
    #[serde(rename = "error")]
    Fail {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "reach-out")]
    Call {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
        #[serde(rename = "try-for-ms")]
        timeout: Millis,
    },
    #[serde(rename = "degrade")]
    Degrade {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "answer-from")]
    Coalesce {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "record-key")]
    RetainKey {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
        #[serde(rename = "hold-for-ms")]
        duration: Millis,
    },
    #[serde(rename = "forget")]
    ReleaseKey {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: &'a str,
    },
    #[serde(rename = "readiness")]
    SetHealth {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "on")]
        healthy: bool,
        /// Always true: health checks are answered at little cost. `cheap` is the protocol's name.
        cheap: bool,
    },
    #[serde(rename = "advertise")]
    AdvertiseCapacity {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "x")]
        capacity: f64,
    },
    #[serde(rename = "idle")]
    CloseIdleConnections {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "hold-for-ms")]
        idle_for: Millis,
    },
    #[serde(rename = "timer")]
    SetTimer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "mark")]
        number: u64,
        #[serde(rename = "from-now-ms")]
        period: Millis,
    },
    #[serde(rename = "print")]
    Log {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "msg")]
        text: &'a str,
    },
    /// The policy panicked and makes no more decisions.
    #[serde(rename = "internal-error")]
    InternalError {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "msg")]
        panic: &'a str,
    },
    /// All messages of the batch were written.
    #[serde(rename = "yield")]
    BatchEnd,
}

impl<'a> Outgoing<'a> {
    /// The message for an action that concerns a request; `None` for other actions.
    pub fn for_request(instance: u64, action: &Action, request: &'a str) -> Option<Self> {
        Some(match action {
            Action::Start(_) => Self::Start { instance, request },
            Action::Stop(_) => Self::Stop { instance, request },
            Action::Reject { retry_after, no_retry, .. } => {
                Self::Reject { instance, request, retry_after: (*retry_after).into(), no_retry: *no_retry }
            }
            Action::Fail(_) => Self::Fail { instance, request },
            Action::Call { timeout, .. } => Self::Call { instance, request, timeout: (*timeout).into() },
            Action::Degrade(_) => Self::Degrade { instance, request },
            Action::Coalesce(_) => Self::Coalesce { instance, request },
            Action::RetainKey(_, duration) => {
                Self::RetainKey { instance, request, duration: (*duration).into() }
            }
            Action::ReleaseKey(_) => Self::ReleaseKey { instance, request },
            _ => return None,
        })
    }

    /// The message for an action that concerns the whole backend; `None` for other actions.
    pub fn for_backend(instance: u64, action: &'a Action) -> Option<Self> {
        Some(match action {
            Action::SetHealth(healthy) => Self::SetHealth { instance, healthy: *healthy, cheap: true },
            Action::CloseIdleConnections(idle_for) => {
                Self::CloseIdleConnections { instance, idle_for: (*idle_for).into() }
            }
            Action::AdvertiseCapacity(capacity) => Self::AdvertiseCapacity { instance, capacity: *capacity },
            Action::SetTimer(period) => {
                Self::SetTimer { instance, number: POLICY_TIMER, period: (*period).into() }
            }
            Action::Log(text) => Self::Log { instance, text },
            _ => return None,
        })
    }
}
