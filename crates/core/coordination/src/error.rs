//! The errors for which an operator's request is rejected.

use crate::schemas::{DocumentError, SchemaError};
use crate::{budgets, wallets};
use lynxtally_messages::{AdminResponse, Rejection};
use std::fmt;

/// Why an operator's request is rejected.
///
/// The error texts must not change: they are part of stored responses, and replicas that run other versions of the
/// program compare digests of the state that contains these responses. The texts name fields by their wire names.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminError {
    /// The request may be older than all recorded requests, so it may have been applied before.
    KeyTooOld {
        /// The observed log index in the request's key.
        observed_index: u64,
        /// The log index up to which the records of requests were evicted.
        evicted_index: u64,
    },
    /// The limit of budgets is reached.
    TooManyBudgets {
        /// The name of the budget that was to be created.
        budget: String,
    },
    /// The kind of an existing budget can't be changed.
    BudgetKindChanged {
        /// The name of the budget.
        budget: String,
    },
    /// The limit of wallets is reached.
    TooManyWallets {
        /// The name of the wallet that was to be created.
        wallet: String,
    },
    /// The wallet to top up does not exist.
    TopUpOfUnknownWallet {
        /// The name in the request.
        wallet: String,
    },
    /// The wallet would hold more than the largest allowed number of units.
    TooManyUnits {
        /// The number of units bought before.
        bought: u64,
    },
    /// The wallet to withdraw units from does not exist.
    WithdrawalFromUnknownWallet {
        /// The name in the request.
        wallet: String,
    },
    /// The balance has fewer units than were to be withdrawn.
    InsufficientBalance {
        /// The number of units to withdraw.
        units: u64,
        /// The number of units in the balance.
        balance: u64,
    },
    /// The incarnation to end is not a member and holds no lease.
    UnknownIncarnation {
        /// The incarnation in the request.
        incarnation: u64,
    },
    /// A schema can't be proposed.
    Schema(SchemaError),
    /// A document is written in a schema version that is not in force.
    SchemaNotInForce {
        /// The schema version in the request.
        version: u32,
    },
    /// A document does not conform to its schema.
    Document(DocumentError),
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::KeyTooOld { observed_index, evicted_index } => write!(
                f,
                "`id.seen` is {observed_index}; orders up to {evicted_index} are forgotten, draw it up anew with the \
                 present number"
            ),
            Self::TooManyBudgets { budget } => write!(
                f,
                "`what.budget.name` {budget}: there are {} budgets already",
                budgets::MAX_BUDGETS
            ),
            Self::BudgetKindChanged { budget } => {
                write!(f, "`what.budget.terms.kind` can't be changed of {budget}")
            }
            Self::TooManyWallets { wallet } => write!(
                f,
                "`what.wallet.name` {wallet}: there are {} wallets already",
                wallets::MAX_WALLETS
            ),
            Self::TopUpOfUnknownWallet { wallet } => {
                write!(f, "`what.top_up.wallet` {wallet}: there is none of this name")
            }
            Self::TooManyUnits { bought } => write!(f, "`what.top_up.units` has {bought} already"),
            Self::WithdrawalFromUnknownWallet { wallet } => {
                write!(f, "`what.correct.wallet` {wallet}: there is none of this name")
            }
            Self::InsufficientBalance { units, balance } => {
                write!(f, "`what.correct.units` is {units}; {balance} at most are with nobody")
            }
            Self::UnknownIncarnation { incarnation } => {
                write!(f, "`what.over.incarnation` {incarnation}: holds nothing and is not there")
            }
            Self::Schema(error) => error.fmt(f),
            Self::SchemaNotInForce { version } => {
                write!(f, "`what.document.version` is {version}, which is not in force")
            }
            Self::Document(error) => write!(f, "`what.document.body`: {error}"),
        }
    }
}

impl std::error::Error for AdminError {}

impl AdminError {
    pub(crate) fn into_response(self) -> AdminResponse {
        AdminResponse::Rejected(Rejection::Invalid { reason: self.to_string() })
    }
}
