//! The `lynxtally-node` program: parses the command line, sets up logging and runs one node.

use lynxtally_net::startup::{log_level, Program};
use lynxtally_node::error::NodeError;
use lynxtally_node::{config, node};
use std::process::ExitCode;

/// Environment variable with the path of the configuration file, used if the command line has no path.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

const PROGRAM: Program = Program {
    name: "lynxtally-node",
    version: env!("CARGO_PKG_VERSION"),
    usage: "usage: lynxtally-node [CONFIG]

Accepts requests from clients, schedules them on the executor and answers each of them once. CONFIG is the path of
the JSON configuration file. Without CONFIG, the environment variable RELAY_CONFIG gives the path.
RELAY_NAME and RELAY_LISTEN override `name` and `listen` of the file.
LYNXTALLY_LOG sets the log level: error, warn, info (the default), debug, trace or off.
Signals: SIGTERM drains the node and ends it, SIGHUP reloads CONFIG, SIGUSR1 prints the counters.",
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
