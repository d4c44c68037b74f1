//! The messages as they stand on the wire.

use lynxtally_settings::Millis;
use serde::{Deserialize, Serialize};

/// The number that stands where there is no name.
#[derive(Debug, Deserialize)]
#[serde(try_from = "u64")]
pub struct Zero;

impl TryFrom<u64> for Zero {
    type Error = String;
    fn try_from(number: u64) -> Result<Self, String> {
        (number == 0).then_some(Self).ok_or_else(|| format!("{number} is no name"))
    }
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

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Incoming {
    Frame {
        #[serde(rename = "now-ms")]
        now: Millis,
    },
    Eob,
    Init {
        i: u64,
        #[serde(rename = "init-seed")]
        seed: u64,
        #[serde(rename = "profile-data")]
        settings: serde_json::Value,
    },
    Inbound(Box<Inbound>),
    Abandoned {
        i: u64,
        xid: String,
    },
    NeedsDep {
        i: u64,
        xid: String,
    },
    Result {
        i: u64,
        xid: String,
        status: u64,
    },
    Called {
        i: u64,
        xid: String,
        status: u64,
    },
    Fired {
        i: u64,
        #[serde(rename = "server-stats", default)]
        stats: Stats,
    },
    Quiesce {
        i: u64,
        #[serde(rename = "not-after-ms")]
        kill: Millis,
    },
    Retire {
        i: u64,
    },
}

impl Incoming {
    /// The instance that an event concerns.
    pub fn instance(&self) -> u64 {
        match self {
            Self::Frame { .. } | Self::Eob => 0,
            Self::Inbound(inbound) => inbound.i,
            Self::Init { i, .. }
            | Self::Abandoned { i, .. }
            | Self::NeedsDep { i, .. }
            | Self::Result { i, .. }
            | Self::Called { i, .. }
            | Self::Fired { i, .. }
            | Self::Quiesce { i, .. }
            | Self::Retire { i } => *i,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Inbound {
    pub i: u64,
    pub xid: String,
    pub client_group: Option<Name>,
    #[serde(default)]
    pub by: u64,
    pub effort_ms: Option<Millis>,
    #[serde(default)]
    pub lay_ms: Millis,
    pub earlier: Option<Name>,
    pub not_after_ms: Option<Millis>,
    #[serde(default)]
    pub opts: u64,
    pub profile: String,
    pub footprint: f64,
    pub item: Option<Name>,
}

#[derive(Debug, Default, Deserialize)]
pub struct Stats {
    pub cpu_busy: Option<f64>,
    pub sockets: Option<f64>,
}

#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Outgoing<'a> {
    Serve { i: u64, xid: &'a str },
    Interrupt { i: u64, xid: &'a str },
    Busy { i: u64, xid: &'a str, hold_off_ms: Millis, terminal: bool },
    Error { i: u64, xid: &'a str },
    ReachOut { i: u64, xid: &'a str, try_for_ms: Millis },
    Degrade { i: u64, xid: &'a str },
    AnswerFrom { i: u64, xid: &'a str },
    RecordKey { i: u64, xid: &'a str, hold_for_ms: Millis },
    Forget { i: u64, xid: &'a str },
    Readiness { i: u64, on: bool, cheap: bool },
    Advertise { i: u64, x: f64 },
    Idle { i: u64, hold_for_ms: Millis },
    Timer { i: u64, mark: u64, from_now_ms: Millis },
    Print { i: u64, msg: &'a str },
    InternalError { i: u64, msg: &'a str },
    Yield,
}

impl<'a> Outgoing<'a> {
    /// An action that names a task.
    pub fn for_task(i: u64, action: &lynxtally::Action, xid: &'a str) -> Option<Self> {
        use lynxtally::Action::*;
        Some(match action {
            Start(_) => Self::Serve { i, xid },
            Stop(_) => Self::Interrupt { i, xid },
            Reject { retry_after: hold_off, no_retry: terminal, .. } => {
                Self::Busy { i, xid, hold_off_ms: Millis::from(*hold_off), terminal: *terminal }
            }
            Fail(_) => Self::Error { i, xid },
            Call { timeout: time_out, .. } => Self::ReachOut { i, xid, try_for_ms: Millis::from(*time_out) },
            Degrade(_) => Self::Degrade { i, xid },
            Coalesce(_) => Self::AnswerFrom { i, xid },
            RetainKey(_, span) => Self::RecordKey { i, xid, hold_for_ms: Millis::from(*span) },
            ReleaseKey(_) => Self::Forget { i, xid },
            _ => return None,
        })
    }

    /// An action of the backend as a whole.
    pub fn for_backend(i: u64, action: &'a lynxtally::Action) -> Option<Self> {
        use lynxtally::Action::*;
        Some(match action {
            SetHealth(on) => Self::Readiness { i, on: *on, cheap: true },
            CloseIdleConnections(span) => Self::Idle { i, hold_for_ms: Millis::from(*span) },
            AdvertiseCapacity(x) => Self::Advertise { i, x: *x },
            SetTimer(span) => Self::Timer { i, mark: 0, from_now_ms: Millis::from(*span) },
            Log(msg) => Self::Print { i, msg },
            _ => return None,
        })
    }
}
