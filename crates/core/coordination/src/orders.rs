//! Orders by their ids: each is carried out once, however often and whenever it comes.

use lynxtally_messages::{AdminResponse, IdempotencyKey, Rejection};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// So many orders are remembered. One that is older than all of them is refused, not carried out.
const KEPT: usize = 4096;

/// What came of the last orders.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Orders {
    kept: VecDeque<(IdempotencyKey, u64, AdminResponse)>,
    /// Orders up to this number were forgotten.
    forgotten: u64,
}

impl Orders {
    /// What came of an order before, or that nobody can know any more.
    pub fn known(&self, id: &IdempotencyKey) -> Option<AdminResponse> {
        let before = self.kept.iter().find(|(known, ..)| known == id).map(|(.., outcome)| outcome.clone());
        before.or_else(|| {
            (id.observed_index < self.forgotten)
                .then(|| AdminResponse::Rejected(Self::too_old(id, self.forgotten)))
        })
    }

    fn too_old(id: &IdempotencyKey, forgotten: u64) -> Rejection {
        let why = format!(
            "`id.seen` is {}; orders up to {forgotten} are forgotten, draw it up anew with the present number",
            id.observed_index
        );
        Rejection::Invalid { reason: why }
    }

    /// Remembers what came of one.
    pub fn remember(&mut self, id: &IdempotencyKey, number: u64, outcome: AdminResponse) {
        self.kept.push_back((id.clone(), number, outcome));
        if self.kept.len() > KEPT {
            if let Some((_, number, _)) = self.kept.pop_front() {
                self.forgotten = number;
            }
        }
    }
}
