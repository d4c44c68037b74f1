//! What every front reads and writes through: the driver under a connection, the ways in which one ends, the
//! clockwork and the clock, listeners and the table of who is connected. It knows no protocol and makes no choice.

pub mod alarm;
pub mod clock;
pub mod end;
pub mod folder;
pub mod gate;
pub mod line;
pub mod seats;
pub mod socket;
pub mod turnstile;
