//! The simulator's adapter: reads the simulator's JSON lines on standard input, runs a policy for each backend of the
//! simulated fleet, and writes their actions to standard output.

#![forbid(unsafe_code)]

mod backend;
mod error;
mod fleet;
mod incoming;
mod outgoing;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the policy is reported to the simulator; its trace would only hide the message.
    std::panic::set_hook(Box::new(|_| {}));
    match fleet::run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxtally-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
