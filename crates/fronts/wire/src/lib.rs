//! What every front reads and writes through: the driver under a connection, the ways in which one ends, the
//! clockwork and the clock. It knows no protocol and makes no choice.

pub mod alarm;
pub mod clock;
pub mod end;
pub mod line;
