//! Applies the requests of operators, each at most once.

use crate::budgets::{Budget, MAX_BUDGETS};
use crate::error::AdminError;
use crate::wallets::{Wallet, MAX_WALLETS};
use crate::CoordinationState;
use lynxtally::Instant;
use lynxtally_messages::{AdminAction, AdminRequest, AdminResponse, BudgetTerms, WalletTerms};

impl CoordinationState {
    pub(crate) fn apply_admin_request(&mut self, now: Instant, request: &AdminRequest) -> AdminResponse {
        if let Some(response) = self.recent_requests.response_to(&request.key) {
            return response;
        }
        let response = match self.apply_action(now, &request.action) {
            Ok(()) => AdminResponse::Applied { index: self.applied_index },
            Err(error) => error.into_response(),
        };
        self.recent_requests.record(&request.key, self.applied_index, response.clone());
        response
    }

    fn apply_action(&mut self, now: Instant, action: &AdminAction) -> Result<(), AdminError> {
        match action {
            AdminAction::SetBudget { name, terms } => self.set_budget(now, name, *terms),
            AdminAction::SetWallet { name, terms } => self.set_wallet(name, terms),
            AdminAction::TopUp { wallet, units } => match self.wallets.get_mut(wallet) {
                Some(existing) => existing.top_up(*units),
                None => Err(AdminError::TopUpOfUnknownWallet { wallet: wallet.clone() }),
            },
            AdminAction::Withdraw { wallet, units } => match self.wallets.get_mut(wallet) {
                Some(existing) => existing.withdraw(*units),
                None => Err(AdminError::WithdrawalFromUnknownWallet { wallet: wallet.clone() }),
            },
            AdminAction::ProposeSchema { schema } => {
                let readers = self.members.schema_readers();
                self.schemas.propose(schema, &readers).map_err(AdminError::Schema)
            }
            AdminAction::PublishDocument { version, body } => {
                let readers = self.members.schema_readers();
                self.schemas.publish(self.applied_index, *version, body, &readers)
            }
            AdminAction::EndIncarnation { incarnation } => self.end_incarnation(*incarnation),
        }
    }

    fn set_budget(&mut self, now: Instant, name: &str, terms: BudgetTerms) -> Result<(), AdminError> {
        if let Some(budget) = self.budgets.get_mut(name) {
            return budget.change_terms(now, name, terms);
        }
        if self.budgets.len() >= MAX_BUDGETS {
            return Err(AdminError::TooManyBudgets { budget: name.to_owned() });
        }
        self.budgets.insert(name.to_owned(), Budget::new(terms, now));
        Ok(())
    }

    fn set_wallet(&mut self, name: &str, terms: &WalletTerms) -> Result<(), AdminError> {
        if let Some(wallet) = self.wallets.get_mut(name) {
            wallet.terms = terms.clone();
            return Ok(());
        }
        if self.wallets.len() >= MAX_WALLETS {
            return Err(AdminError::TooManyWallets { wallet: name.to_owned() });
        }
        self.wallets.insert(name.to_owned(), Wallet::new(terms.clone()));
        Ok(())
    }

    /// Frees the leases of a process that no longer runs, as the operator has made sure. Its wallet reservations are
    /// not freed: like those of any process that vanished, they become in doubt once they expire.
    fn end_incarnation(&mut self, incarnation: u64) -> Result<(), AdminError> {
        let mut is_known = self.members.remove(incarnation);
        for budget in self.budgets.values_mut() {
            is_known |= budget.release(incarnation);
        }
        if is_known {
            Ok(())
        } else {
            Err(AdminError::UnknownIncarnation { incarnation })
        }
    }
}
