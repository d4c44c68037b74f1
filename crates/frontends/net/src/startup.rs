//! What the `main` functions of the programs have in common: the command line with one path, exit codes, and the log
//! level.

use std::fmt;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// Names the log level: error, warn, info, debug, trace or off.
const LOG_LEVEL_VARIABLE: &str = "LYNXTALLY_LOG";
/// The exit code after a command line that can't be understood.
const EXIT_USAGE: u8 = 2;

/// A program whose command line is one path.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name, which begins each error message.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// The text for `--help`, and for a command line that can't be understood.
    pub usage: &'static str,
}

impl Program {
    /// Runs the program with the path of the command line, or with the default path where the command line has none,
    /// and returns its exit code. An error is printed as one line.
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

/// The environment names a log level that does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevelError {
    value: String,
}

impl fmt::Display for LogLevelError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{LOG_LEVEL_VARIABLE}: {:?} is no level", self.value)
    }
}

impl std::error::Error for LogLevelError {}

/// The log level that the environment names; info where it names none.
///
/// # Errors
/// It names a level that does not exist.
pub fn log_level() -> Result<LevelFilter, LogLevelError> {
    match std::env::var(LOG_LEVEL_VARIABLE) {
        Ok(value) => value.parse().map_err(|_| LogLevelError { value }),
        Err(_) => Ok(LevelFilter::INFO),
    }
}
