//! `lynxtally-coordinator`: one replica of the coordination state.

use lynxtally_coordinator::{coordinator, settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

const USAGE: &str = "usage: lynxtally-coordinator SETTINGS

Agrees with the other coordinators that SETTINGS names on leases and quotas. SETTINGS is a Jsonnet template such as
deploy/shares/coordinator.jsonnet. LYNXTALLY_LOG sets what is logged: error, warn, info (the default), debug, trace
or off. SIGTERM ends it; it may be started again at any time.";

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
        Err(fault) => {
            eprintln!("lynxtally-coordinator: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &str) -> Result<(), Box<dyn std::error::Error>> {
    let level = match std::env::var("LYNXTALLY_LOG") {
        Ok(level) => {
            level.parse::<LevelFilter>().map_err(|_| format!("LYNXTALLY_LOG: {level:?} is no level"))?
        }
        Err(_) => LevelFilter::INFO,
    };
    let settings = settings::read(Path::new(path))?;
    // The library tells each of its steps at info; they are of use where somebody looks for a fault in it.
    let library = if level > LevelFilter::INFO { level } else { level.min(LevelFilter::WARN) };
    let levels = Targets::new().with_default(level).with_target("openraft", library);
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    tracing_subscriber::registry().with(lines).with(levels).init();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let mut leave = signal(SignalKind::terminate())?;
        let end = async move {
            leave.recv().await;
        };
        coordinator::run(settings, end).await?;
        Ok(())
    })
}
