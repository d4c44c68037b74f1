//! The simulator's messages to backends. The protocol's words end here.

use lynxtally_settings::Millis;
use serde::Deserialize;
use std::fmt;

/// A message of the simulator. All between `BatchStart` and `BatchEnd` happens at one instant.
#[derive(Debug, Deserialize)]
#[serde(tag = "type")]
pub enum Incoming {
    /// A batch begins, at this time.
    #[serde(rename = "frame")]
    BatchStart {
        #[serde(rename = "now-ms")]
        now: Millis,
    },
    /// The batch is over: the backends are to decide.
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
    /// A request's caller waits no longer.
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
    /// A graceful shutdown begins; the backend ends at this time.
    #[serde(rename = "quiesce")]
    Drain {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "not-after-ms")]
        shutdown_deadline: Millis,
    },
    /// A backend is gone.
    #[serde(rename = "retire")]
    Stop {
        #[serde(rename = "i")]
        instance: u64,
    },
}

/// A request as it arrives.
#[derive(Debug, Deserialize)]
pub struct ArrivedRequest {
    /// The backend's number.
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
    /// The expected work; counts only where [`HAS_EXPECTED_WORK`] is set.
    #[serde(rename = "effort-ms")]
    pub expected_work: Option<Millis>,
    /// How long it waited before it was read.
    #[serde(rename = "lay-ms", default)]
    pub receive_delay: Millis,
    /// The name of the earlier request that it duplicates.
    #[serde(rename = "earlier")]
    pub duplicate_of: Option<Name>,
    /// When the caller gives this attempt up; 0 where that is unknown.
    #[serde(rename = "not-after-ms")]
    pub deadline: Option<Millis>,
    /// [`HAS_EXPECTED_WORK`] and [`IS_RETRY`].
    #[serde(rename = "opts", default)]
    pub flags: u64,
    /// The class's name.
    #[serde(rename = "profile")]
    pub class: String,
    /// Its memory while queued, in kilobytes.
    #[serde(rename = "footprint")]
    pub memory_kb: f64,
    /// What it reads, where its response may serve other requests.
    #[serde(rename = "item")]
    pub coalescable_item: Option<Name>,
}

/// The flag of a request whose expected work is given.
pub const HAS_EXPECTED_WORK: u64 = 1;
/// The flag of a request that is a retry.
pub const IS_RETRY: u64 = 2;

/// The gauges of a backend's machine.
#[derive(Debug, Default, Deserialize)]
pub struct ReportedGauges {
    #[serde(rename = "cpu_busy")]
    pub cpu_utilization: Option<f64>,
    #[serde(rename = "sockets")]
    pub open_connections: Option<f64>,
}

/// A name, or 0 where there is none.
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

/// The number that stands where there is no name.
#[derive(Debug, Deserialize)]
#[serde(try_from = "u64")]
pub struct Zero;

/// A number other than 0 where a name is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAName(u64);

impl fmt::Display for NotAName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no name", self.0)
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
