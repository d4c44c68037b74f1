//! Shares of the fleet in simulated time: the real register and the real holders, hundreds of them, with clocks
//! that drift apart, messages that are lost, repeated and late, keepers that change their leader or are gone,
//! nodes that are stopped, cut off, killed and started again. A dependency counts what is in its hands, and the
//! sum is checked at every event.

mod clock;
mod keepers;
mod node;
mod script;
mod world;

pub use script::{Fault, Need, Script, What};
pub use world::{run, Broken, Figures, Rule};
