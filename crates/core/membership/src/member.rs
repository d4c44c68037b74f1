//! A member of the fleet: its states, the observations of it, and the reason for its state.

use crate::failure_detector::PhiAccrualDetector;
use lynxtally::{Instant, Span};
use std::fmt;
use std::net::SocketAddr;

/// The source of an observation. Later variants are trusted more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A static list of the members that should exist. It does not show that a member is alive.
    StaticList,
    /// A lease that the member holds on its name.
    Lease,
    /// A report that the member sent itself.
    Report,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Known from a static list; no heartbeat (report or lease) has been received yet.
    Joining,
    /// In slow start after its first heartbeat: its weight grows to its full capacity.
    SlowStart,
    /// In the view with its full weight.
    Ready,
    /// Silent for so long that the failure detector suspects that it failed.
    Suspect,
    /// Announced a graceful shutdown.
    Draining,
    /// No longer a member: it was suspect for too long, or ended its graceful shutdown.
    Removed,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::SlowStart => "warming",
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Draining => "leaving",
            Self::Removed => "gone",
        })
    }
}

/// One observation of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The name of the member.
    pub name: String,
    /// The address of the member.
    pub address: SocketAddr,
    /// Where the observation comes from.
    pub source: Source,
    /// The capacity of the member, in a unit that is the same for all members. Ignored if not positive and finite.
    pub capacity: f64,
    /// The zone of the member.
    pub zone: u16,
    /// Whether the member announces a graceful shutdown.
    pub draining: bool,
}

/// Why a member changed to its current state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StateReason {
    /// The member was observed for the first time.
    FirstObserved,
    /// An observation of the same name had another address, so it is a new process.
    AddressChanged,
    /// The member was observed again after it was removed.
    ReturnedAfterRemoval,
    /// The member announced a graceful shutdown.
    DrainAnnounced,
    /// The first heartbeat of the member was received.
    HeartbeatReceived,
    /// A heartbeat without the announcement was received after a graceful shutdown was announced: the member restarted.
    HeartbeatAfterDrain,
    /// The slow start of the member ended.
    SlowStartEnded,
    /// The member was silent for so long that phi exceeded the threshold of the failure detector.
    Silent {
        /// How long the member had been silent.
        silence: Span,
        /// How unlikely this silence was, as -log10 of its probability.
        phi: f64,
    },
    /// The member was suspect, and its heartbeats have been regular for long enough since.
    Recovered,
    /// The member was suspect for too long.
    SuspectTooLong,
    /// The member announced a graceful shutdown and then fell silent.
    Drained,
}

impl fmt::Display for StateReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FirstObserved => f.write_str("observed for the first time"),
            Self::AddressChanged => f.write_str("observed with another address"),
            Self::ReturnedAfterRemoval => f.write_str("observed again after removal"),
            Self::DrainAnnounced => f.write_str("announced a graceful shutdown"),
            Self::HeartbeatReceived => f.write_str("first heartbeat received"),
            Self::HeartbeatAfterDrain => f.write_str("heartbeat received after a graceful shutdown"),
            Self::SlowStartEnded => f.write_str("warm"),
            Self::Silent { silence, phi } => write!(f, "silent for {:.1} s, phi {phi:.1}", silence.secs()),
            Self::Recovered => f.write_str("heartbeats regular again for long enough"),
            Self::SuspectTooLong => f.write_str("suspect for too long"),
            Self::Drained => f.write_str("silent after a graceful shutdown"),
        }
    }
}

/// Why a suspect member is kept in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptReason {
    /// So many members fell silent together that the fault is probably the observer's.
    ObserverFault,
    /// The maximum number of members is already ejected.
    EjectionLimit,
}

impl fmt::Display for KeptReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ObserverFault => "many members fell silent together, so the observer may be at fault",
            Self::EjectionLimit => "the maximum fraction of members is already ejected",
        })
    }
}

/// The state of a member, with the reason for it and its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The current state.
    pub state: MemberState,
    /// When the member changed to this state.
    pub since: Instant,
    /// Why the member changed to this state.
    pub reason: StateReason,
    /// Why a suspect member is kept in the view; none if it is not.
    pub kept_in_view: Option<KeptReason>,
}

/// What the observer knows about one member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub address: SocketAddr,
    pub source: Source,
    pub capacity: f64,
    pub zone: u16,
    pub state: MemberState,
    /// When the member changed to `state`.
    pub since: Instant,
    /// Why the member changed to `state`.
    pub reason: StateReason,
    pub detector: PhiAccrualDetector,
    /// When its silence first exceeded the threshold of the failure detector; none if it does not.
    pub overdue_since: Option<Instant>,
    /// How often the member became suspect; reset once it has been ready for the removal time.
    pub recent_suspicions: u32,
    /// For a suspect member: when its heartbeats resumed; none while it is silent.
    pub heartbeats_resumed_at: Option<Instant>,
    /// For a suspect member: why it is kept in the view; none if it is ejected.
    pub kept_in_view: Option<KeptReason>,
}

impl Member {
    pub fn new(now: Instant, observation: &Observation) -> Self {
        Self {
            address: observation.address,
            source: observation.source,
            capacity: observation.capacity,
            zone: observation.zone,
            state: MemberState::Joining,
            since: now,
            reason: StateReason::FirstObserved,
            detector: PhiAccrualDetector::new(now),
            overdue_since: None,
            recent_suspicions: 0,
            heartbeats_resumed_at: None,
            kept_in_view: None,
        }
    }

    /// Whether the member is in slow start or ready.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::SlowStart | MemberState::Ready)
    }

    /// Whether the member is suspect and no heartbeat has been received since.
    pub fn is_unheard_suspect(&self) -> bool {
        self.state == MemberState::Suspect && self.heartbeats_resumed_at.is_none()
    }

    pub fn set_state(&mut self, now: Instant, state: MemberState, reason: StateReason) {
        self.state = state;
        self.since = now;
        self.reason = reason;
    }

    /// Records a heartbeat of the member: its own report, or its lease.
    pub fn record_heartbeat(&mut self, now: Instant, draining: bool) {
        self.detector.record_heartbeat(now);
        self.overdue_since = None;
        match self.state {
            _ if draining => {
                if self.state != MemberState::Draining {
                    self.set_state(now, MemberState::Draining, StateReason::DrainAnnounced);
                }
            }
            MemberState::Joining => {
                self.set_state(now, MemberState::SlowStart, StateReason::HeartbeatReceived)
            }
            MemberState::Suspect => {
                self.heartbeats_resumed_at.get_or_insert(now);
            }
            MemberState::Draining => {
                self.set_state(now, MemberState::SlowStart, StateReason::HeartbeatAfterDrain)
            }
            MemberState::SlowStart | MemberState::Ready | MemberState::Removed => {}
        }
    }

    /// Makes the member suspect, because phi of its silence exceeded the threshold.
    pub fn suspect(&mut self, now: Instant, phi: f64, kept_in_view: Option<KeptReason>) {
        let silence = self.detector.silence(now);
        self.overdue_since = None;
        self.recent_suspicions += 1;
        self.heartbeats_resumed_at = None;
        self.kept_in_view = kept_in_view;
        self.set_state(now, MemberState::Suspect, StateReason::Silent { silence, phi });
    }
}
