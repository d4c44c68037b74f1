//! Connects lynxtally's policy to the simulator: reads the simulator's JSON lines from standard input, runs a policy
//! for each backend of the simulated fleet, and writes their actions to standard output.

#![forbid(unsafe_code)]

mod backend;
mod error;
mod fleet;
mod incoming;
mod outgoing;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the policy is reported to the simulator as a message. The default hook would print a backtrace that
    // hides it.
    std::panic::set_hook(Box::new(|_| {}));
    match fleet::run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxtally-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
