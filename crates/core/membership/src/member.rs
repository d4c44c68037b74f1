//! One member: its states, what is observed of it, and why it is in its state.

use crate::failure_detector::PhiAccrualDetector;
use lynxtally::{Instant, Span};
use std::fmt;
use std::net::SocketAddr;

/// From where a member is known; later ones are trusted more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A static list: it tells who should be there.
    StaticList,
    /// A name held by a lease.
    Lease,
    /// The member's own report.
    Report,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Known, but not heard of by its own report or lease yet.
    Joining,
    /// Heard for the first time lately: its weight grows.
    SlowStart,
    /// It has its whole weight.
    Ready,
    /// Its silence is longer than its intervals explain.
    Suspect,
    /// It announced a graceful shutdown.
    Draining,
    /// It is over.
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

/// What is observed of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Where it comes from.
    pub source: Source,
    /// Its capacity, in a measure that all members share.
    pub capacity: f64,
    /// Its zone.
    pub zone: u16,
    /// Whether it announces a graceful shutdown.
    pub draining: bool,
}

/// Why a member is in its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StateReason {
    /// It was observed for the first time.
    FirstObserved,
    /// It came back under its name with another address.
    AddressChanged,
    /// It came back after it was removed.
    ReturnedAfterRemoval,
    /// It announced a graceful shutdown.
    DrainAnnounced,
    /// It was heard of by itself.
    HeartbeatReceived,
    /// It was heard after it announced a graceful shutdown: it restarted in between.
    HeartbeatAfterDrain,
    /// Its warm-up is over.
    SlowStartEnded,
    /// Its silence was too unlikely.
    Silent {
        /// For how long.
        silence: Span,
        /// How unlikely, as a power of ten.
        phi: f64,
    },
    /// It was suspect, and was heard for long enough.
    Recovered,
    /// It was suspect for too long.
    SuspectTooLong,
    /// It announced a graceful shutdown and fell silent.
    Drained,
}

impl fmt::Display for StateReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FirstObserved => f.write_str("first heard of"),
            Self::AddressChanged => f.write_str("back with another address"),
            Self::ReturnedAfterRemoval => f.write_str("back after it was gone"),
            Self::DrainAnnounced => f.write_str("it said that it leaves"),
            Self::HeartbeatReceived => f.write_str("heard of itself"),
            Self::HeartbeatAfterDrain => f.write_str("it speaks again after it left"),
            Self::SlowStartEnded => f.write_str("warm"),
            Self::Silent { silence, phi } => write!(f, "silent for {:.1} s, phi {phi:.1}", silence.secs()),
            Self::Recovered => f.write_str("heard again for long enough"),
            Self::SuspectTooLong => f.write_str("suspect for too long"),
            Self::Drained => f.write_str("it left"),
        }
    }
}

/// Why a suspect member stays in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptReason {
    /// The observer suspects itself.
    ObserverFault,
    /// As many as may be are ejected already.
    EjectionLimit,
}

impl fmt::Display for KeptReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ObserverFault => "many fell silent together: we may be the ones who don't hear",
            Self::EjectionLimit => "no more may be out at once",
        })
    }
}

/// Why a member is in its state, and since when.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The state.
    pub state: MemberState,
    /// Since when.
    pub since: Instant,
    /// By which evidence.
    pub reason: StateReason,
    /// Why it stays in the view although it is suspect, where it does.
    pub kept_in_view: Option<KeptReason>,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub address: SocketAddr,
    pub source: Source,
    pub capacity: f64,
    pub zone: u16,
    pub state: MemberState,
    pub since: Instant,
    pub reason: StateReason,
    pub detector: PhiAccrualDetector,
    /// Since when its silence is longer than its intervals explain.
    pub overdue_since: Option<Instant>,
    /// How often it was suspect lately.
    pub recent_suspicions: u32,
    /// While it is suspect: since when it is heard again.
    pub heartbeats_resumed_at: Option<Instant>,
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

    /// Whether it takes part in the view by its own report.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::SlowStart | MemberState::Ready)
    }

    /// Whether it is suspect and was not heard since.
    pub fn is_unheard_suspect(&self) -> bool {
        self.state == MemberState::Suspect && self.heartbeats_resumed_at.is_none()
    }

    pub fn set_state(&mut self, now: Instant, state: MemberState, reason: StateReason) {
        self.state = state;
        self.since = now;
        self.reason = reason;
    }

    /// A sign of life: its own report, or its lease.
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

    /// Its silence became too unlikely.
    pub fn suspect(&mut self, now: Instant, phi: f64, kept_in_view: Option<KeptReason>) {
        let silence = self.detector.silence(now);
        self.overdue_since = None;
        self.recent_suspicions += 1;
        self.heartbeats_resumed_at = None;
        self.kept_in_view = kept_in_view;
        self.set_state(now, MemberState::Suspect, StateReason::Silent { silence, phi });
    }
}
