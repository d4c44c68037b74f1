//! `lynxtally-node`: one backend on real sockets.

use lynxtally_net::startup::{log_level, Program};
use lynxtally_node::error::NodeError;
use lynxtally_node::{config, node};
use std::process::ExitCode;

/// Names the configuration where the command line does not.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

const PROGRAM: Program = Program {
    name: "lynxtally-node",
    version: env!("CARGO_PKG_VERSION"),
    usage: "usage: lynxtally-node [CONFIG]

Serves requests on real sockets as lynxtally decides. CONFIG is the path of the configuration, JSON; without it
the variable RELAY_CONFIG names the file. RELAY_NAME and RELAY_LISTEN go before what the file says.
LYNXTALLY_LOG sets what is logged: error, warn, info (the default), debug, trace or off.
SIGTERM drains and ends it, SIGHUP has it read CONFIG again, SIGUSR1 print its counters.",
};

fn main() -> ExitCode {
    PROGRAM.run(|| std::env::var(CONFIG_VARIABLE).ok(), start)
}

fn start(path: String) -> Result<(), NodeError> {
    let level = log_level()?;
    let config = config::load(&path)?;
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    node::configure_coroutines();
    node::serve(config, move || config::load(&path))
}
