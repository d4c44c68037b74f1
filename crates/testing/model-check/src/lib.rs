//! Small models of what the shares rest on, for a library that looks at every interleaving up to a bound
//! (stateright). Each model comes with deliberately broken variants that have to be caught.

#![forbid(unsafe_code)]

pub mod grants;
pub mod wallets;
