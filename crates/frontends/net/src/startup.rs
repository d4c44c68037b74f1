//! Code shared by the `main` functions of the programs: a command line with one path, exit codes, and the log level.

use std::fmt;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// The environment variable that sets the log level: error, warn, info, debug, trace or off.
const LOG_LEVEL_VARIABLE: &str = "LYNXTALLY_LOG";
/// The exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// A program whose command line has one path.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The name of the program, with which each error message begins.
    pub name: &'static str,
    /// The version of the program.
    pub version: &'static str,
    /// The text that is printed for `--help` and for an invalid command line.
    pub usage: &'static str,
}

impl Program {
    /// Runs the program with the path from the command line, or with the default path if the command line has none. Prints
    /// an error as one line, and returns the exit code.
    pub fn run<E: fmt::Display>(
        &self,
        default_path: impl FnOnce() -> Option<String>,
        start: impl FnOnce(String) -> Result<(), E>,
    ) -> ExitCode {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let path = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["--help" | "-h"] => {
                println!("{}", self.usage);
                return ExitCode::SUCCESS;
            }
            ["--version" | "-V"] => {
                println!("{} {}", self.name, self.version);
                return ExitCode::SUCCESS;
            }
            [] => default_path(),
            [path] if !path.starts_with('-') => Some(path.to_owned()),
            _ => None,
        };
        let Some(path) = path else {
            eprintln!("{}", self.usage);
            return ExitCode::from(EXIT_USAGE);
        };
        match start(path) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }
}

/// The environment variable for the log level has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevelError {
    value: String,
}

impl fmt::Display for LogLevelError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{LOG_LEVEL_VARIABLE}: {:?} is not a log level", self.value)
    }
}

impl std::error::Error for LogLevelError {}

/// The log level that the environment variable `LYNXTALLY_LOG` sets; info if it is not set.
///
/// # Errors
/// The variable does not name a log level.
pub fn log_level() -> Result<LevelFilter, LogLevelError> {
    match std::env::var(LOG_LEVEL_VARIABLE) {
        Ok(value) => value.parse().map_err(|_| LogLevelError { value }),
        Err(_) => Ok(LevelFilter::INFO),
    }
}
