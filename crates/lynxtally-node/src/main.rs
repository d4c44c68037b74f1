//! `lynxtally-node`: one backend on real sockets.

use lynxtally_node::{config, node};
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

const USAGE: &str = "usage: lynxtally-node [CONFIG]

Serves tasks on real sockets as lynxtally decides. CONFIG is the path of the configuration, JSON; without it
the variable RELAY_CONFIG names the file. RELAY_NAME and RELAY_LISTEN go before what the file says.
LYNXTALLY_LOG sets what is logged: error, warn, info (the default), debug, trace or off.
SIGTERM makes it leave, SIGHUP read CONFIG again, SIGUSR1 print its counters.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let path = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["--help" | "-h"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        ["--version" | "-V"] => {
            println!("lynxtally-node {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        [] => std::env::var("RELAY_CONFIG").ok(),
        [path] if !path.starts_with('-') => Some(path.to_owned()),
        _ => None,
    };
    let Some(path) = path else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    match start(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lynxtally-node: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: String) -> Result<(), String> {
    let level = match std::env::var("LYNXTALLY_LOG") {
        Ok(level) => {
            level.parse::<LevelFilter>().map_err(|_| format!("LYNXTALLY_LOG: {level:?} is no level"))?
        }
        Err(_) => LevelFilter::INFO,
    };
    let read = move || {
        let text = std::fs::read_to_string(&path).map_err(|fault| format!("{path}: {fault}"))?;
        config::read(&text, |name| std::env::var(name).ok()).map_err(|fault| format!("{path}: {fault}"))
    };
    let config = read()?;
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    node::prepare();
    node::serve(config, read)
}
