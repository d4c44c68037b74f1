//! Orders by their ids: each is carried out once, however often and whenever it comes.

use lynxtally_messages::{Id, Outcome, Refusal};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// So many orders are remembered. One that is older than all of them is refused, not carried out.
const KEPT: usize = 4096;

/// What came of the last orders.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Orders {
    kept: VecDeque<(Id, u64, Outcome)>,
    /// Orders up to this number were forgotten.
    forgotten: u64,
}

impl Orders {
    /// What came of an order before, or that nobody can know any more.
    pub fn known(&self, id: &Id) -> Option<Outcome> {
        let before = self.kept.iter().find(|(known, ..)| known == id).map(|(.., outcome)| outcome.clone());
        before.or_else(|| {
            (id.seen < self.forgotten).then(|| Outcome::Refused(Self::too_old(id, self.forgotten)))
        })
    }

    fn too_old(id: &Id, forgotten: u64) -> Refusal {
        let why = format!(
            "`id.seen` is {}; orders up to {forgotten} are forgotten, draw it up anew with the present number",
            id.seen
        );
        Refusal::Wrong { why }
    }

    /// Remembers what came of one.
    pub fn remember(&mut self, id: &Id, number: u64, outcome: Outcome) {
        self.kept.push_back((id.clone(), number, outcome));
        if self.kept.len() > KEPT {
            if let Some((_, number, _)) = self.kept.pop_front() {
                self.forgotten = number;
            }
        }
    }
}
