//! An operator's request to a coordinator, and the response.

use crate::envelope::Message;
use crate::rejection::Rejection;
use crate::schema::{self, Schema};
use crate::terms::{BudgetTerms, WalletTerms};
use crate::validation::{check_name, check_range, FieldError};
use crate::wallet::MAX_UNITS;
use serde::{Deserialize, Serialize};

/// Identifies an operator's request. A request that is sent again keeps its key, so that it is applied only once.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(deny_unknown_fields, expecting = "struct Id")]
pub struct IdempotencyKey {
    /// The latest log index that was known when the request was created. The coordinators record a limited number of
    /// requests. One that may be older than all recorded ones is rejected, because it may have been applied before.
    #[serde(rename = "seen")]
    pub observed_index: u64,
    /// Distinguishes requests that were created at the same log index.
    #[serde(rename = "word")]
    pub token: String,
}

/// An operator's request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Order")]
pub struct AdminRequest {
    /// Identifies the request when it is sent again.
    #[serde(rename = "id")]
    pub key: IdempotencyKey,
    /// The change that is requested.
    #[serde(rename = "what")]
    pub action: AdminAction,
}

/// A change that an operator requests.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum AdminAction {
    /// Creates a budget, or changes its terms.
    #[serde(rename = "budget")]
    SetBudget {
        /// The budget's name.
        name: String,
        /// The budget's new terms.
        terms: BudgetTerms,
    },
    /// Creates a wallet, or changes its terms.
    #[serde(rename = "wallet")]
    SetWallet {
        /// The wallet's name.
        name: String,
        /// The wallet's new terms.
        terms: WalletTerms,
    },
    /// Adds units that a tenant bought to the balance of a wallet.
    #[serde(rename = "top_up")]
    TopUp {
        /// The wallet's name.
        wallet: String,
        /// The number of units to add.
        units: u64,
    },
    /// Removes units from the balance of a wallet. Rejected if the balance has fewer units.
    #[serde(rename = "correct")]
    Withdraw {
        /// The wallet's name.
        wallet: String,
        /// The number of units to remove.
        units: u64,
    },
    /// Proposes a new schema version for route documents.
    #[serde(rename = "schema")]
    ProposeSchema {
        /// The proposed schema.
        schema: Schema,
    },
    /// Publishes a new route document.
    #[serde(rename = "document")]
    PublishDocument {
        /// The schema version that the document is written in.
        version: u32,
        /// The document.
        body: serde_json::Value,
    },
    /// Frees the units that an incarnation holds, without waiting for its leases to expire. The operator has to make
    /// sure that the process no longer runs. The coordinators can't check that, and calls that a live process starts
    /// afterwards would exceed the budget.
    #[serde(rename = "over")]
    EndIncarnation {
        /// The incarnation to end.
        incarnation: u64,
    },
}

/// The response to an operator's request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub enum AdminResponse {
    /// The request was applied.
    #[serde(rename = "done")]
    Applied {
        /// The log index at which the request was applied.
        #[serde(rename = "number")]
        index: u64,
    },
    /// The request was not applied.
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
