//! Small models of what coordination rests on, for a library that looks at every interleaving up to a bound
//! (stateright). Each model comes with defects that have to be caught.

#![forbid(unsafe_code)]

pub mod leases;
pub mod wallets;
