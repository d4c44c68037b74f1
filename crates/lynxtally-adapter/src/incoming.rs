//! The simulator's messages to backends. Only this module uses their wire names.

use lynxtally_settings::Millis;
use serde::Deserialize;
use std::fmt;

/// A message from the simulator. All messages between `BatchStart` and `BatchEnd` have the same time.
#[derive(Debug, Deserialize)]
#[serde(tag = "type")]
pub enum Incoming {
    /// A batch starts, with this time for all its messages.
    #[serde(rename = "frame")]
    BatchStart {
        #[serde(rename = "now-ms")]
        now: Millis,
    },
    /// The batch ends and the backends have to decide.
    #[serde(rename = "eob")]
    BatchEnd,
    /// A backend starts.
    #[serde(rename = "init")]
    Start {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "init-seed")]
        seed: u64,
        #[serde(rename = "profile-data")]
        settings: serde_json::Value,
    },
    /// A request arrived.
    #[serde(rename = "inbound")]
    Arrived(Box<ArrivedRequest>),
    /// A request's caller stopped waiting.
    #[serde(rename = "abandoned")]
    CallerGone {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: String,
    },
    /// A running request is ready to make its downstream call.
    #[serde(rename = "needs-dep")]
    CallRequested {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: String,
    },
    /// A run ended.
    #[serde(rename = "result")]
    RunEnded {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: String,
        status: u64,
    },
    /// A downstream call ended.
    #[serde(rename = "called")]
    CallEnded {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "xid")]
        request: String,
        status: u64,
    },
    /// The policy's timer fired.
    #[serde(rename = "fired")]
    TimerFired {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "server-stats", default)]
        gauges: ReportedGauges,
    },
    /// A graceful shutdown begins. The backend is killed at `shutdown_deadline`.
    #[serde(rename = "quiesce")]
    Drain {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "not-after-ms")]
        shutdown_deadline: Millis,
    },
    /// A backend was removed.
    #[serde(rename = "retire")]
    Stop {
        #[serde(rename = "i")]
        instance: u64,
    },
}

/// An arriving request.
#[derive(Debug, Deserialize)]
pub struct ArrivedRequest {
    /// The backend's instance number.
    #[serde(rename = "i")]
    pub instance: u64,
    /// The request's name.
    #[serde(rename = "xid")]
    pub name: String,
    /// The tenant's name.
    #[serde(rename = "client-group")]
    pub tenant: Option<Name>,
    /// The caller's number.
    #[serde(rename = "by", default)]
    pub caller: u64,
    /// The expected work, valid only with [`HAS_EXPECTED_WORK`].
    #[serde(rename = "effort-ms")]
    pub expected_work: Option<Millis>,
    /// How long the request waited before it was read.
    #[serde(rename = "lay-ms", default)]
    pub receive_delay: Millis,
    /// The name of the earlier request that this one duplicates.
    #[serde(rename = "earlier")]
    pub duplicate_of: Option<Name>,
    /// When the caller gives up on this attempt; 0 if unknown.
    #[serde(rename = "not-after-ms")]
    pub deadline: Option<Millis>,
    /// Bits: [`HAS_EXPECTED_WORK`] and [`IS_RETRY`].
    #[serde(rename = "opts", default)]
    pub flags: u64,
    /// The class's name.
    #[serde(rename = "profile")]
    pub class: String,
    /// The request's memory while queued, in kilobytes.
    #[serde(rename = "footprint")]
    pub memory_kb: f64,
    /// The item that the request reads, if its response may serve other requests.
    #[serde(rename = "item")]
    pub coalescable_item: Option<Name>,
}

/// Flag: `expected_work` is valid.
pub const HAS_EXPECTED_WORK: u64 = 1;
/// Flag: the request is a retry.
pub const IS_RETRY: u64 = 2;

/// The gauges of a backend's machine.
#[derive(Debug, Default, Deserialize)]
pub struct ReportedGauges {
    #[serde(rename = "cpu_busy")]
    pub cpu_utilization: Option<f64>,
    #[serde(rename = "sockets")]
    pub open_connections: Option<f64>,
}

/// A name, or the number 0 if there is none.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Name {
    Given(String),
    None(Zero),
}

impl Name {
    pub fn given(&self) -> Option<&str> {
        match self {
            Name::Given(name) => Some(name),
            Name::None(_) => None,
        }
    }
}

/// The number 0 in place of a name.
#[derive(Debug, Deserialize)]
#[serde(try_from = "u64")]
pub struct Zero;

/// The error for a number other than 0 in place of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAName(u64);

impl fmt::Display for NotAName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a name; a string or 0 is expected", self.0)
    }
}

impl TryFrom<u64> for Zero {
    type Error = NotAName;

    fn try_from(number: u64) -> Result<Self, NotAName> {
        match number {
            0 => Ok(Self),
            other => Err(NotAName(other)),
        }
    }
}
