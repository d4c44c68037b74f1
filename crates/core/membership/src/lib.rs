//! Membership of a fleet, without I/O.
//!
//! - [`Membership`] derives the state of each member from observations. A member becomes suspect when it is silent for
//!   so long that the [`PhiAccrualDetector`] considers a healthy member's silence of that length too unlikely. Limits
//!   prevent too many members from being ejected at the same time.
//! - [`ViewPublisher`] publishes numbered membership views ([`MembershipView`]). A new view is published only if it
//!   differs from the last one, the difference has lasted for some time, and enough members are kept.

#![forbid(unsafe_code)]

mod failure_detector;
mod member;
mod membership;
mod views;

pub use failure_detector::PhiAccrualDetector;
pub use member::{Explanation, KeptReason, MemberState, Observation, Source, StateReason};
pub use membership::{Membership, MembershipLimits};
pub use views::{MembershipView, PublishLimits, ViewDifference, ViewMember, ViewPublisher};
