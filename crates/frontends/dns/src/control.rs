//! The control protocol between the operator's program and a running server, over a Unix socket in the state folder: a
//! command is one line of words, its reply one line of JSON.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// A command to a running server; zones are given by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Refuse updates of this zone.
    Freeze(String),
    /// Accept updates of this zone again.
    Thaw(String),
    /// Reload the zone file.
    Reread(String),
    /// Write a snapshot of the zone and start a new log.
    Compact(String),
    /// Return the counters and the state of each zone.
    Status,
}

impl Command {
    /// The command as a line of the protocol, without the line end.
    pub fn line(&self) -> String {
        match self {
            Self::Freeze(zone) => format!("freeze {zone}"),
            Self::Thaw(zone) => format!("thaw {zone}"),
            Self::Reread(zone) => format!("reread {zone}"),
            Self::Compact(zone) => format!("compact {zone}"),
            Self::Status => "status".to_owned(),
        }
    }

    /// Parses a line; `None` if it is not a command.
    pub fn parse(line: &str) -> Option<Self> {
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["freeze", zone] => Some(Self::Freeze(zone.to_owned())),
            ["thaw", zone] => Some(Self::Thaw(zone.to_owned())),
            ["reread", zone] => Some(Self::Reread(zone.to_owned())),
            ["compact", zone] => Some(Self::Compact(zone.to_owned())),
            ["status"] => Some(Self::Status),
            _ => None,
        }
    }
}

/// The path of the control socket in a state folder.
pub fn path(state: &Path) -> PathBuf {
    state.join("control.sock")
}

/// How long a reply is waited for, both in the server and in the operator's program.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Listens for commands as long as the program runs. A socket file that a stopped server left is replaced.
///
/// # Errors
/// Another server listens on the socket, or it can't be created.
pub fn listen(
    state: &Path,
    on_command: impl Fn(Command, Sender<String>) + Send + Clone + 'static,
) -> std::io::Result<()> {
    let path = path(state);
    if UnixStream::connect(&path).is_ok() {
        return Err(std::io::Error::other("another server uses this state folder"));
    }
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let on_command = on_command.clone();
            std::thread::spawn(move || {
                let mut line = String::new();
                let mut reader = BufReader::new(&stream);
                if reader.read_line(&mut line).is_err() {
                    return;
                }
                let reply = match Command::parse(&line) {
                    Some(command) => {
                        let (reply_sender, reply_receiver) = std::sync::mpsc::channel();
                        on_command(command, reply_sender);
                        reply_receiver
                            .recv_timeout(RESPONSE_TIMEOUT)
                            .unwrap_or_else(|_| error("the server did not reply within 60 s"))
                    }
                    None => error("unknown command"),
                };
                // The operator's program may have disconnected.
                let _ = writeln!(&stream, "{reply}");
            });
        }
    });
    Ok(())
}

/// An error reply as JSON.
pub fn error(message: &str) -> String {
    format!("{{\"error\":\"{}\"}}", message.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Sends a command to a running server and returns its reply.
pub fn send(state: &Path, command: &Command) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(path(state))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    writeln!(stream, "{}", command.line())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
