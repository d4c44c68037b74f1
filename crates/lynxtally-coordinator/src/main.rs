//! The program `lynxtally-coordinator`, which runs one coordinator.

use lynxtally_coordinator::{coordinator, settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

const USAGE: &str = "usage: lynxtally-coordinator SETTINGS

Runs one coordinator. Together with the other coordinators in SETTINGS it grants leases and reservations to
nodes. SETTINGS is a Jsonnet template such as deploy/shares/coordinator.jsonnet. LYNXTALLY_LOG sets the log
level: error, warn, info (the default), debug, trace or off. SIGTERM stops the coordinator; it can be started
again at any time.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let path = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["--help" | "-h"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        ["--version" | "-V"] => {
            println!("lynxtally-coordinator {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        [path] if !path.starts_with('-') => path.to_owned(),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match start(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxtally-coordinator: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &str) -> Result<(), Box<dyn std::error::Error>> {
    let level = match std::env::var("LYNXTALLY_LOG") {
        Ok(level) => level
            .parse::<LevelFilter>()
            .map_err(|_| format!("LYNXTALLY_LOG: {level:?} is not a log level"))?,
        Err(_) => LevelFilter::INFO,
    };
    let settings = settings::read(Path::new(path))?;
    // openraft logs each of its steps at level info. These lines are written only if a more verbose level than info is
    // set.
    let openraft_level = if level > LevelFilter::INFO { level } else { level.min(LevelFilter::WARN) };
    let levels = Targets::new().with_default(level).with_target("openraft", openraft_level);
    let log_layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    tracing_subscriber::registry().with(log_layer).with(levels).init();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let mut sigterm = signal(SignalKind::terminate())?;
        let shutdown = async move {
            sigterm.recv().await;
        };
        coordinator::run(settings, shutdown).await?;
        Ok(())
    })
}
