//! Stand-ins for everything that a node talks to, for trying the node on one machine: an executor, a dependency and a
//! control plane, at the addresses of `examples/node.json`. The program also starts the node, and exits when the node
//! does.
//!
//! Build with `cargo build --release`, then run `cargo run --release --example toy`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::{exit, Command};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How long the executor runs a request.
const RUN_TIME: Duration = Duration::from_millis(50);
/// How long the dependency takes for a call.
const CALL_TIME: Duration = Duration::from_millis(10);
/// The class whose requests call the dependency.
const CALLING_CLASS: &str = "pay";

fn main() -> Result<()> {
    let executor = TcpListener::bind("127.0.0.1:7300")?;
    let dependency = TcpListener::bind("127.0.0.1:5432")?;
    let control_plane = UdpSocket::bind("127.0.0.1:7946")?;
    thread::spawn(move || print_reports(&control_plane));
    thread::spawn(move || serve_connections(&dependency, serve_calls));
    thread::spawn(move || serve_connections(&executor, serve_commands));
    // Ctrl-C ends this program and the node at once. SIGTERM to the node makes it shut down gracefully.
    let status = Command::new("target/release/lynxtally-node").arg("examples/node.json").status()?;
    println!("lynxtally-node exited: {status}");
    exit(status.code().unwrap_or(1))
}

/// Serves each connection in its own thread until the connection ends.
fn serve_connections(listener: &TcpListener, serve: fn(TcpStream) -> Result<()>) {
    for connection in listener.incoming().flatten() {
        thread::spawn(move || {
            if let Err(error) = serve(connection) {
                println!("connection to the executor or the dependency failed: {error}");
            }
        });
    }
}

/// The control plane: prints the first health report and each report that differs from the one before.
fn print_reports(control_plane: &UdpSocket) {
    let mut buffer = [0; 256];
    let mut last_report = String::new();
    while let Ok((length, _)) = control_plane.recv_from(&mut buffer) {
        let report = String::from_utf8_lossy(&buffer[..length]).into_owned();
        if report != last_report {
            println!("control plane received: {report}");
            last_report = report;
        }
    }
}

/// The dependency: responds to each call with the call's body after `CALL_TIME`.
fn serve_calls(connection: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(connection.try_clone()?);
    let mut connection = connection;
    while let Some(length) = read_call_head(&mut reader)? {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        thread::sleep(CALL_TIME);
        write!(connection, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")?;
        connection.write_all(&body)?;
    }
    Ok(())
}

/// Reads the head of a call up to its empty line. Returns the body's length, or `None` at the end of the connection.
fn read_call_head(reader: &mut impl BufRead) -> Result<Option<usize>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line == "\r\n" {
            return Ok(Some(length));
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
    }
}

/// The state of one connection from the node: the output stream, the number of the last event sent, and the input of
/// each run by request id.
struct Session {
    output: TcpStream,
    last_event: u64,
    runs: HashMap<String, String>,
}

impl Session {
    /// Sends a numbered event with a payload.
    fn send_event(&mut self, verb: &str, arguments: &str, payload: &str) {
        self.last_event += 1;
        let event = format!("{verb} {} {arguments} {}\r\n{payload}\r\n", self.last_event, payload.len());
        // Ignores errors: if a connection breaks, the node opens a new one, and this program resends no lost events.
        let _ = self.output.write_all(event.as_bytes());
    }

    /// Continues a run after its run time: the run calls the dependency or returns its result.
    fn run_time_elapsed(&mut self, id: &str, calls: bool) {
        if calls {
            self.send_event("IOREQ", id, "one coin");
        } else if let Some(input) = self.runs.remove(id) {
            self.send_event("REAP", &format!("{id} OK 50"), &format!("hello, {input}\n"));
        }
    }
}

/// The executor: runs each request for `RUN_TIME`, lets runs of `CALLING_CLASS` call the dependency, and returns the
/// results.
fn serve_commands(connection: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(connection.try_clone()?);
    let session = Session { output: connection, last_event: 0, runs: HashMap::new() };
    let session = Arc::new(Mutex::new(session));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let payload = match words.first() {
            Some(&"SCHED" | &"IODONE") => read_payload(&mut reader, words.last())?,
            _ => String::new(),
        };
        execute_command(&words, payload, &session)?;
    }
}

/// Reads the payload after a command line. The last word of the line is the payload's length.
fn read_payload(reader: &mut impl Read, length: Option<&&str>) -> Result<String> {
    let length: usize = length.and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut bytes = vec![0; length + "\r\n".len()];
    reader.read_exact(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes[..length]).into_owned())
}

/// Executes one command. Unknown commands are ignored.
fn execute_command(words: &[&str], payload: String, shared: &Arc<Mutex<Session>>) -> Result<()> {
    let mut session = shared.lock().unwrap_or_else(PoisonError::into_inner);
    match *words {
        ["OPEN", _] => session.output.write_all(b"BOOTED WARM 60000\r\n")?,
        ["SYSINFO", tag] => session.output.write_all(format!("INFO {tag} 0.1 1 0.1 3\r\n").as_bytes())?,
        ["SCHED", id, class, _] if !session.runs.contains_key(id) => {
            session.runs.insert(id.to_owned(), payload);
            let id = id.to_owned();
            let calls = class == CALLING_CLASS;
            let shared = shared.clone();
            thread::spawn(move || {
                thread::sleep(RUN_TIME);
                shared.lock().unwrap_or_else(PoisonError::into_inner).run_time_elapsed(&id, calls);
            });
        }
        ["IODONE", id, _] => {
            if let Some(input) = session.runs.remove(id) {
                session.send_event("REAP", &format!("{id} OK 60"), &format!("{input} paid {payload}\n"));
            }
        }
        ["PREEMPT", id] if session.runs.remove(id).is_some() => {
            session.send_event("REAP", &format!("{id} STOPPED 1"), "");
        }
        _ => {}
    }
    Ok(())
}
