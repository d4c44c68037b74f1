//! What an operator's program says to a running server, over a socket in the state folder: one line of words, one
//! line of JSON back.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Take no updates for this zone.
    Freeze(String),
    /// Take them again.
    Thaw(String),
    /// Read the zone's file again.
    Reread(String),
    /// Shorten the zone's log by a snapshot.
    Compact(String),
    /// Tell how all stands.
    Status,
}

impl Command {
    /// As one line.
    pub fn line(&self) -> String {
        match self {
            Self::Freeze(zone) => format!("freeze {zone}"),
            Self::Thaw(zone) => format!("thaw {zone}"),
            Self::Reread(zone) => format!("reread {zone}"),
            Self::Compact(zone) => format!("compact {zone}"),
            Self::Status => "status".to_owned(),
        }
    }

    /// Reads it.
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

/// Where the socket of a state folder is.
pub fn path(state: &Path) -> PathBuf {
    state.join("control.sock")
}

/// One that waits for an answer is told so after this.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Listens for as long as the program runs. One left by a program that is gone is taken over.
pub fn listen(
    state: &Path,
    on_command: impl Fn(Command, Sender<String>) + Send + Clone + 'static,
) -> std::io::Result<()> {
    let path = path(state);
    if UnixStream::connect(&path).is_ok() {
        return Err(std::io::Error::other("another server runs on this state folder"));
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
                            .unwrap_or_else(|_| error("no answer in time"))
                    }
                    None => error("not understood"),
                };
                // Who asked may be gone.
                let _ = writeln!(&stream, "{reply}");
            });
        }
    });
    Ok(())
}

/// An error as JSON.
pub fn error(message: &str) -> String {
    format!("{{\"error\":\"{}\"}}", message.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Asks a running server.
pub fn send(state: &Path, command: &Command) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(path(state))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    writeln!(stream, "{}", command.line())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
