//! The `lynxtally stream` commands: run a stream server and check its settings.

use crate::Failed;
use clap::Subcommand;
use lynxtally_stream::server::{self, ServerCommand};
use lynxtally_stream::settings::{SettingsFile, StreamSettings};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use std::path::{Path, PathBuf};
use tracing::info;

/// Commands for the stream server.
#[derive(Subcommand)]
pub enum Verb {
    /// Run a stream server until SIGTERM or SIGINT; SIGUSR1 logs the counters
    Serve {
        /// The server's settings
        #[arg(long)]
        settings: PathBuf,
    },
    /// Check settings; with a path, also print the request class (`stages`) of requests with this method and path
    Check {
        /// The server's settings
        #[arg(long)]
        settings: PathBuf,
        /// The request's method
        #[arg(default_value = "GET")]
        method: String,
        /// The request's path
        path: Option<String>,
    },
}

/// Reads and checks the settings of a stream server.
pub fn settings(path: &Path) -> Result<StreamSettings, String> {
    let file: SettingsFile = lynxtally_template::read(path).map_err(|error| error.to_string())?;
    file.check().map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Runs a `lynxtally stream` command.
pub fn run(verb: Verb) -> Result<(), Failed> {
    match verb {
        Verb::Serve { settings: path } => serve(&path),
        Verb::Check { settings: path, method, path: target } => {
            let checked = settings(&path)?;
            let Some(target) = target else {
                println!("{}: valid", path.display());
                return Ok(());
            };
            match checked.class_for(&method, &target) {
                Ok(stage) => {
                    println!("{method} {target}: {}", checked.classes[stage].name);
                    Ok(())
                }
                Err(error) => {
                    println!("{method} {target}: {error}");
                    Err(Failed::CheckFailed)
                }
            }
        }
    }
}

fn serve(path: &Path) -> Result<(), Failed> {
    let running =
        server::start(settings(path)?, server::scheduling_policy).map_err(|error| error.to_string())?;
    for at in &running.listen_addresses {
        println!("listening on {at}");
    }
    let commands = running.commands.clone();
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(|fault| fault.to_string())?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let (response_sender, response) = std::sync::mpsc::channel();
            let command = if signal == SIGUSR1 {
                ServerCommand::ReportCounters(response_sender)
            } else {
                ServerCommand::Shutdown
            };
            if commands.send(command).is_err() {
                return;
            }
            if let Ok(counters) = response.recv() {
                info!("stream server counters: {counters}");
            }
        }
    });
    let ended = running.exit.recv().map_err(|_| "the server failed; the log says why".to_owned())?;
    println!("{}", ended.counters);
    if ended.is_consistent {
        Ok(())
    } else {
        Err(Failed::Error(
            "the counters are inconsistent: a request got no response, or more than one".to_owned(),
        ))
    }
}
