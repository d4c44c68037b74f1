//! What an operator requests, and what came of it.

use crate::envelope::Message;
use crate::rejection::Rejection;
use crate::schema::{self, Schema};
use crate::terms::{BudgetTerms, WalletTerms};
use crate::validation::{check_name, check_range, FieldError};
use crate::wallet::MAX_UNITS;
use serde::{Deserialize, Serialize};

/// Identifies a request of an operator, however often it is sent.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(deny_unknown_fields, expecting = "struct Id")]
pub struct IdempotencyKey {
    /// The log index that the operator saw when the request was drawn up. A request that is older than all that are
    /// remembered is rejected, so that none can be applied twice.
    #[serde(rename = "seen")]
    pub observed_index: u64,
    /// Its own word.
    #[serde(rename = "word")]
    pub token: String,
}

/// A request of an operator.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Order")]
pub struct AdminRequest {
    /// Identifies it.
    #[serde(rename = "id")]
    pub key: IdempotencyKey,
    /// What is to be done.
    #[serde(rename = "what")]
    pub action: AdminAction,
}

/// What an operator wants done.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum AdminAction {
    /// Creates a budget, or changes its terms.
    #[serde(rename = "budget")]
    SetBudget {
        /// Its name.
        name: String,
        /// Its terms.
        terms: BudgetTerms,
    },
    /// Creates a wallet, or changes its terms.
    #[serde(rename = "wallet")]
    SetWallet {
        /// Its name.
        name: String,
        /// Its terms.
        terms: WalletTerms,
    },
    /// Adds units that were bought.
    #[serde(rename = "top_up")]
    TopUp {
        /// The wallet.
        wallet: String,
        /// How many.
        units: u64,
    },
    /// Takes units back, as far as they are in the balance.
    #[serde(rename = "correct")]
    Withdraw {
        /// The wallet.
        wallet: String,
        /// How many.
        units: u64,
    },
    /// Proposes a new schema version for route documents.
    #[serde(rename = "schema")]
    ProposeSchema {
        /// The schema.
        schema: Schema,
    },
    /// Publishes a new route document.
    #[serde(rename = "document")]
    PublishDocument {
        /// The schema version that it is written in.
        version: u32,
        /// The document.
        body: serde_json::Value,
    },
    /// Frees what an incarnation holds at once. The operator has made sure that its process does not run any more:
    /// nothing here can check that, and what a live process starts would pass the budget.
    #[serde(rename = "over")]
    EndIncarnation {
        /// Which.
        incarnation: u64,
    },
}

/// What came of an operator's request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub enum AdminResponse {
    /// It was carried out.
    #[serde(rename = "done")]
    Applied {
        /// The log index at which it was applied.
        #[serde(rename = "number")]
        index: u64,
    },
    /// It was not.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

impl AdminAction {
    fn validate(&self) -> Result<(), FieldError> {
        match self {
            Self::SetBudget { name, terms } => {
                check_name("what.budget.name", name)?;
                terms.validate("what.budget.terms")
            }
            Self::SetWallet { name, terms } => {
                check_name("what.wallet.name", name)?;
                terms.validate("what.wallet.terms")
            }
            Self::TopUp { wallet, units } => {
                check_name("what.top_up.wallet", wallet)?;
                check_range("what.top_up.units", *units, 1, MAX_UNITS)
            }
            Self::Withdraw { wallet, units } => {
                check_name("what.correct.wallet", wallet)?;
                check_range("what.correct.units", *units, 1, MAX_UNITS)
            }
            Self::ProposeSchema { schema } => {
                schema::validate_fields("what.schema.fields", &schema.fields, 0)
            }
            Self::PublishDocument { .. } => Ok(()),
            Self::EndIncarnation { incarnation } => {
                check_range("what.over.incarnation", *incarnation, 1, u64::MAX)
            }
        }
    }
}

impl Message for AdminRequest {
    fn validate(&self) -> Result<(), FieldError> {
        check_name("id.word", &self.key.token)?;
        self.action.validate()
    }
}

impl Message for AdminResponse {
    fn validate(&self) -> Result<(), FieldError> {
        Ok(())
    }
}
