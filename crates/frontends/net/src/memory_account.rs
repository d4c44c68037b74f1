//! The account of the memory that connections hold: their coroutines and buffers, what was parsed of their messages, and
//! the messages and responses that are queued for them.
//!
//! All connections of a frontend share one account. Each connection pays a fixed amount while it is open, an allowance for
//! small messages included. What it holds beyond the allowance is charged to a part of the account of its own, so that
//! connections are accepted and small requests are read however much other connections hold. A charge that the account
//! has no room for is refused.

use crate::sync::lock;
use std::fmt;
use std::sync::{Arc, Mutex};

/// The account has no room for a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

impl fmt::Display for OutOfMemory {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("connections hold as much memory as they may")
    }
}

impl std::error::Error for OutOfMemory {}

/// The limits of an account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// What all connections together may hold.
    pub total: usize,
    /// The number of connections whose fixed cost has room in `total`, if that leaves enough for large messages.
    pub max_connections: usize,
    /// What an open connection costs: its coroutine, its entries in tables, and its allowance.
    pub per_connection: usize,
    /// The part of `per_connection` that the connection may use for its messages without a charge.
    pub allowance: usize,
}

/// At least this part of the account, one over it, is for what connections hold beyond their allowances.
const MIN_LARGE_DIVISOR: usize = 8;

impl AccountLimits {
    /// The part of the account for what connections hold beyond their allowances.
    fn large_bytes(&self) -> usize {
        let fixed = self.max_connections.saturating_mul(self.per_connection);
        self.total.saturating_sub(fixed).max(self.total / MIN_LARGE_DIVISOR)
    }
}

/// The bytes of one part of an account.
#[derive(Debug)]
struct Part {
    limit: usize,
    used: Mutex<usize>,
}

impl Part {
    fn new(limit: usize) -> Self {
        Self { limit, used: Mutex::default() }
    }

    fn reserve(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let mut used = lock(&self.used);
        if used.saturating_add(bytes) > self.limit {
            return Err(OutOfMemory);
        }
        *used += bytes;
        Ok(())
    }

    fn release(&self, bytes: usize) {
        *lock(&self.used) -= bytes;
    }
}

/// The memory that all connections of a frontend share.
#[derive(Debug)]
pub struct MemoryAccount {
    limits: AccountLimits,
    /// The fixed costs of the open connections.
    connections: Part,
    /// What connections hold beyond their allowances.
    large: Part,
}

impl MemoryAccount {
    /// Creates an account of which nothing is used.
    pub fn new(limits: AccountLimits) -> Arc<Self> {
        let large = limits.large_bytes();
        let connections = Part::new(limits.total - large);
        Arc::new(Self { limits, connections, large: Part::new(large) })
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        *lock(&self.connections.used) + *lock(&self.large.used)
    }

    /// Charges the fixed cost of a new connection.
    ///
    /// # Errors
    /// The account has no room for another connection.
    pub fn open_connection(self: &Arc<Self>) -> Result<Arc<ConnectionMemory>, OutOfMemory> {
        self.connections.reserve(self.limits.per_connection)?;
        Ok(Arc::new(ConnectionMemory { account: self.clone(), held: Mutex::default() }))
    }
}

/// The memory of one connection.
#[derive(Debug)]
pub struct ConnectionMemory {
    account: Arc<MemoryAccount>,
    /// The bytes that charges hold, those within the allowance included.
    held: Mutex<usize>,
}

impl ConnectionMemory {
    /// Returns a charge of no bytes yet.
    pub fn charge(self: &Arc<Self>) -> Charge {
        Charge { memory: self.clone(), bytes: 0 }
    }

    /// Returns a charge of `bytes` bytes.
    ///
    /// # Errors
    /// The account has no room for them.
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Result<Charge, OutOfMemory> {
        let mut charge = self.charge();
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// The part of `held` bytes that the account is charged for.
    fn beyond_allowance(&self, held: usize) -> usize {
        held.saturating_sub(self.account.limits.allowance)
    }

    fn change(&self, from: usize, to: usize) -> Result<(), OutOfMemory> {
        let mut held = lock(&self.held);
        let new = *held - from + to;
        let (charged_before, charged) = (self.beyond_allowance(*held), self.beyond_allowance(new));
        if charged > charged_before {
            self.account.large.reserve(charged - charged_before)?;
        } else {
            self.account.large.release(charged_before - charged);
        }
        *held = new;
        Ok(())
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.account.connections.release(self.account.limits.per_connection);
    }
}

/// Bytes that a connection holds. Dropping the charge releases them.
#[derive(Debug)]
pub struct Charge {
    memory: Arc<ConnectionMemory>,
    bytes: usize,
}

impl Charge {
    /// Changes how many bytes are charged. Reducing them always succeeds.
    ///
    /// # Errors
    /// The account has no room for more; the charge stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.memory.change(self.bytes, bytes)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        // Reducing a charge can't be refused.
        let _ = self.memory.change(self.bytes, 0);
    }
}
