//! Small models of the protocols that coordination relies on, for the model checker stateright, which explores every
//! interleaving up to a bound. Each model can be built with a known defect; the tests require that the checker finds each.

#![forbid(unsafe_code)]

pub mod leases;
pub mod wallets;
