//! Who belongs to a fleet, without I/O: members with states from what is observed of them ([`Membership`]), suspicion by
//! a phi accrual failure detector ([`PhiAccrualDetector`]) that is damped for the whole, and numbered views
//! ([`MembershipView`]) of which the next one is published only when it differs, is settled, and is not emptier than it
//! may be ([`ViewPublisher`]).

#![forbid(unsafe_code)]

mod failure_detector;
mod member;
mod membership;
mod views;

pub use failure_detector::PhiAccrualDetector;
pub use member::{Explanation, KeptReason, MemberState, Observation, Source, StateReason};
pub use membership::{Membership, MembershipLimits};
pub use views::{MembershipView, PublishLimits, ViewDifference, ViewMember, ViewPublisher};
