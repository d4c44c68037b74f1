//! Why a request of an operator can't be carried out.

use crate::schemas::{DocumentError, SchemaError};
use crate::{budgets, wallets};
use lynxtally_messages::{AdminResponse, Rejection};
use std::fmt;

/// Why a request of an operator can't be carried out. The text stands in stored responses, which replicas compare: it
/// is the same in every version of the program, and names fields as they are on the wire.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminError {
    /// The request is older than all that are remembered.
    KeyTooOld {
        /// The log index that it observed.
        observed_index: u64,
        /// Requests up to this log index are forgotten.
        evicted_index: u64,
    },
    /// There are as many budgets as there may be.
    TooManyBudgets {
        /// The budget that was to be created.
        budget: String,
    },
    /// What a budget counts can't be changed.
    BudgetKindChanged {
        /// The budget.
        budget: String,
    },
    /// There are as many wallets as there may be.
    TooManyWallets {
        /// The wallet that was to be created.
        wallet: String,
    },
    /// No wallet to top up has this name.
    TopUpOfUnknownWallet {
        /// The name.
        wallet: String,
    },
    /// The wallet would hold more than a wallet may.
    TooManyUnits {
        /// What was bought before.
        bought: u64,
    },
    /// No wallet to withdraw from has this name.
    WithdrawalFromUnknownWallet {
        /// The name.
        wallet: String,
    },
    /// More was to be withdrawn than is in the balance.
    InsufficientBalance {
        /// What was to be withdrawn.
        units: u64,
        /// What is in the balance.
        balance: u64,
    },
    /// An incarnation that was to be ended is no member and holds no lease.
    UnknownIncarnation {
        /// Which.
        incarnation: u64,
    },
    /// A schema can't be proposed.
    Schema(SchemaError),
    /// A document is written in a version that is not in force.
    SchemaNotInForce {
        /// The version.
        version: u32,
    },
    /// A document does not fit its schema.
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
