//! By what a task's repeats are known.

use crate::http::Sent;
use lynxtally::Effect;
use lynxtally_engine::{Fingerprint, IdempotencyKey};
use sha2::{Digest, Sha256};

/// Key and fingerprint of a task; without a key it repeats nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Under what it is known.
    pub key: Option<IdempotencyKey>,
    /// What the same task under that key has in common with it.
    pub fingerprint: Fingerprint,
}

/// Marks are a customer's own, and stand for one body: else whoever copies a mark gets what another's run made. What a
/// read is about is common to all customers, and any body about it may share its answer, where answers are shared.
pub fn known_by(sent: &Sent, effect: Effect, shares: bool) -> Known {
    match effect {
        Effect::Idempotent if shares => {
            let key = sent.subject.clone().map(|value| IdempotencyKey { class: sent.stage, value });
            Known { key, ..Known::default() }
        }
        Effect::Deduplicated => {
            let whose = sent.customer.map_or_else(String::new, |customer| customer.to_string());
            let own = |mark| IdempotencyKey { class: sent.stage, value: format!("{whose}/{mark}") };
            Known { key: sent.mark.as_ref().map(own), fingerprint: Sha256::digest(&sent.body).into() }
        }
        Effect::Idempotent | Effect::NonIdempotent => Known::default(),
    }
}
