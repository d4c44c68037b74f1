//! The life of an upload from its first byte to the end of its execution at an upstream. It decides whether a forward to an
//! upstream may begin, and what the end of a forward means for the next one.
//!
//! | phase | may be forwarded | ends |
//! | --- | --- | --- |
//! | `Receiving` | no | all bytes were received; it is removed, or it expires |
//! | `Complete` | yes | a forward begins; it is removed, or it expires |
//! | `Forwarding` | no: repeats wait for the forward that is under way | the forward ends |
//! | `Executed` | never again | it expires |
//!
//! A forward that reached no upstream leads back to `Complete`, and so does one whose effect may be repeated. If an upstream
//! responded to that one and no client has got the response, the upload is done as soon as a client gets it.

use lynxtally::Effect;
use serde::{Deserialize, Serialize};

/// How far an upload is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadPhase {
    /// More bytes are expected.
    Receiving,
    /// All bytes were received, and a forward may begin.
    Complete,
    /// A forward has begun and has not ended.
    Forwarding,
    /// A forward has ended, and no other one may begin.
    Executed(ForwardOutcome),
}

/// What is known of the effect of a forward that must not be repeated. Stored in the log of uploads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// An upstream has responded.
    Answered,
    /// The upload may have been executed; no response was received.
    Unknown,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEnd {
    /// Nothing was sent to any upstream.
    NotReached,
    /// An upstream's whole response was received.
    Answered {
        /// Whether the response reports an error of the server.
        is_server_error: bool,
        /// Whether a client has got the response.
        is_delivered: bool,
    },
    /// Something was sent to an upstream, and no whole response was received.
    Lost,
}

/// What may happen to an upload after a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterForward {
    /// Another forward may begin: the upload is kept with its bytes.
    MayRunAgain,
    /// Another forward may begin, but an upstream has responded: the upload is kept until a client gets the response.
    AwaitsDelivery,
    /// No other forward may begin: the upload is remembered without its bytes.
    Executed(ForwardOutcome),
    /// The upload is done and no longer needed.
    Removed,
}

impl ForwardEnd {
    /// What may happen to an upload after this end. `effect` is that of executing the upload twice.
    pub fn outcome(self, effect: Effect) -> AfterForward {
        match (self, effect) {
            (Self::NotReached, _) => AfterForward::MayRunAgain,
            (Self::Answered { is_server_error: false, is_delivered: true }, Effect::Idempotent) => {
                AfterForward::Removed
            }
            (Self::Answered { is_server_error: false, is_delivered: false }, Effect::Idempotent) => {
                AfterForward::AwaitsDelivery
            }
            (Self::Answered { .. } | Self::Lost, Effect::Idempotent) => AfterForward::MayRunAgain,
            (Self::Answered { .. }, _) => AfterForward::Executed(ForwardOutcome::Answered),
            (Self::Lost, _) => AfterForward::Executed(ForwardOutcome::Unknown),
        }
    }
}

/// The forward of an upload, as far as one has begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Forward {
    /// No forward has begun, or another one may begin.
    #[default]
    NotBegun,
    /// A forward ended with a response that no client has got, and another one may begin.
    Undelivered,
    /// A forward is under way.
    UnderWay {
        /// The number of the forward.
        number: u64,
        /// Whether the log records that it has begun.
        is_recorded: bool,
    },
    /// A forward has ended, and no other one may begin.
    Ended {
        outcome: ForwardOutcome,
        /// Until when the record must be kept, in Unix seconds.
        protected_until_secs: u64,
    },
}

impl Forward {
    /// The phase of an upload with this forward.
    pub(super) fn phase(self, is_complete: bool) -> UploadPhase {
        match self {
            Self::NotBegun if !is_complete => UploadPhase::Receiving,
            Self::NotBegun | Self::Undelivered => UploadPhase::Complete,
            Self::UnderWay { .. } => UploadPhase::Forwarding,
            Self::Ended { outcome, .. } => UploadPhase::Executed(outcome),
        }
    }
}
