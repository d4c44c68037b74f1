//! `lynxtally`: the command-line program for operators.

#![forbid(unsafe_code)]

mod lab;
mod names;
mod output;
mod streams;
mod updates;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// Admission and scheduling for servers behind balancers that nobody can change, and the related programs
#[derive(Parser)]
#[command(name = "lynxtally", version, propagate_version = true)]
struct Arguments {
    /// Format of the results
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Log level: off, error, warn, info, debug or trace
    #[arg(long, global = true, default_value = "info", value_name = "LEVEL")]
    log: LevelFilter,
    /// Format of the log, which is written to standard error
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
    #[command(subcommand)]
    noun: Noun,
}

/// An output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Readable text
    Text,
    /// JSON
    Json,
}

#[derive(Subcommand)]
enum Noun {
    /// DNS zones: zone files, updates, transfers
    #[command(subcommand)]
    Names(names::Verb),
    /// Proxy for long requests and responses between clients and upstreams
    #[command(subcommand)]
    Stream(streams::Verb),
    /// Experiments on a simulated fleet
    #[command(subcommand)]
    Lab(lab::Verb),
    /// Settings templates
    #[command(subcommand)]
    Settings(SettingsVerb),
    /// Print a completion script for a shell
    Completion {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Print the manual page
    Man,
}

#[derive(Subcommand)]
enum SettingsVerb {
    /// Evaluate a template and print the resulting JSON
    Render {
        /// The template
        file: PathBuf,
    },
    /// Check the settings of a DNS or stream server; settings with the key `upstreams` are for a stream server
    Check {
        /// The template
        file: PathBuf,
    },
}

/// Why a command failed.
pub enum Failed {
    /// A check found errors, which are printed already; the exit code is 1.
    CheckFailed,
    /// The command could not be carried out; the message is printed and the exit code is 2.
    Error(String),
}

impl From<String> for Failed {
    fn from(what: String) -> Self {
        Self::Error(what)
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let log =
        tracing_subscriber::fmt().with_max_level(arguments.log).with_writer(std::io::stderr).with_ansi(false);
    match arguments.log_format {
        Format::Text => log.init(),
        Format::Json => log.json().init(),
    }
    let done = match arguments.noun {
        Noun::Names(verb) => names::run(verb, arguments.format),
        Noun::Stream(verb) => streams::run(verb),
        Noun::Lab(verb) => lab::run(verb, arguments.format),
        Noun::Settings(verb) => settings(verb),
        Noun::Completion { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "lynxtally", &mut std::io::stdout());
            Ok(())
        }
        Noun::Man => manual(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::CheckFailed) => ExitCode::from(1),
        Err(Failed::Error(what)) => {
            eprintln!("lynxtally: {what}");
            ExitCode::from(2)
        }
    }
}

fn settings(verb: SettingsVerb) -> Result<(), Failed> {
    match verb {
        SettingsVerb::Render { file } => {
            let json = lynxtally_template::evaluate(&file)
                .map_err(|fault| format!("{}: {fault}", file.display()))?;
            println!("{}", serde_json::to_string_pretty(&json).map_err(|fault| fault.to_string())?);
        }
        SettingsVerb::Check { file } => {
            let json = lynxtally_template::evaluate(&file);
            let checked = json.map_err(|fault| format!("{}: {fault}", file.display())).and_then(|json| {
                match json.get("upstreams") {
                    Some(_) => streams::settings(&file).map(drop),
                    None => names::settings(&file).map(drop),
                }
            });
            if let Err(what) = checked {
                eprintln!("{what}");
                return Err(Failed::CheckFailed);
            }
            println!("{}: valid", file.display());
        }
    }
    Ok(())
}

fn manual() -> Result<(), Failed> {
    let mut command = Arguments::command();
    command.build();
    let write = |command: &clap::Command| {
        clap_mangen::Man::new(command.clone())
            .render(&mut std::io::stdout())
            .map_err(|fault| fault.to_string())
    };
    write(&command)?;
    for noun in command.get_subcommands() {
        write(noun)?;
        for verb in noun.get_subcommands() {
            write(verb)?;
        }
    }
    Ok(())
}
