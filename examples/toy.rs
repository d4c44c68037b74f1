//! A toy of everything that a node talks to, to try it with: an executor, a dependency and a control plane in one
//! program, at the addresses of `examples/node.json`. It starts the node too, and ends when that ends.
//!
//! Build all with `cargo build --release`, then `cargo run --release --example toy`.

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
/// The class of requests that call the dependency.
const CALLING_CLASS: &str = "pay";

fn main() -> Result<()> {
    let executor = TcpListener::bind("127.0.0.1:7300")?;
    let dependency = TcpListener::bind("127.0.0.1:5432")?;
    let control_plane = UdpSocket::bind("127.0.0.1:7946")?;
    thread::spawn(move || print_reports(&control_plane));
    thread::spawn(move || serve_each(&dependency, serve_calls));
    thread::spawn(move || serve_each(&executor, serve_commands));
    // The node as it would run anywhere. Ctrl-C ends both at once; SIGTERM to the node lets it shut down in order.
    let status = Command::new("target/release/lynxtally-node").arg("examples/node.json").status()?;
    println!("the node ended: {status}");
    exit(status.code().unwrap_or(1))
}

/// Serves each connection in a thread of its own, until it ends.
fn serve_each(listener: &TcpListener, serve: fn(TcpStream) -> Result<()>) {
    for connection in listener.incoming().flatten() {
        thread::spawn(move || {
            if let Err(error) = serve(connection) {
                println!("a connection ended: {error}");
            }
        });
    }
}

/// The control plane: prints the first load report and each change.
fn print_reports(control_plane: &UdpSocket) {
    let mut buffer = [0; 256];
    let mut last_report = String::new();
    while let Ok((length, _)) = control_plane.recv_from(&mut buffer) {
        let report = String::from_utf8_lossy(&buffer[..length]).into_owned();
        if report != last_report {
            println!("control plane: {report}");
            last_report = report;
        }
    }
}

/// The dependency: takes each call after a moment and sends its body back.
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

/// Reads the head of a call, up to its empty line: the length of the body, or none at the end of the connection.
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

/// One connection's output: events are numbered, and each run's input is kept until it ends.
struct Session {
    output: TcpStream,
    last_event: u64,
    runs: HashMap<String, String>,
}

impl Session {
    /// Sends an event of a run with a payload.
    fn send_event(&mut self, verb: &str, rest: &str, payload: &str) {
        self.last_event += 1;
        let event = format!("{verb} {} {rest} {}\r\n{payload}\r\n", self.last_event, payload.len());
        // The node makes a new connection in place of one that broke; this toy remembers nothing for it.
        let _ = self.output.write_all(event.as_bytes());
    }

    /// A run has had its time: it calls the dependency, or ends with its result.
    fn run_time_over(&mut self, id: &str, calls: bool) {
        if calls {
            self.send_event("IOREQ", id, "one coin");
        } else if let Some(input) = self.runs.remove(id) {
            self.send_event("REAP", &format!("{id} OK 50"), &format!("hello, {input}\n"));
        }
    }
}

/// The executor: runs each request for a moment, lets those of one class call the dependency, and returns the result.
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
        carry_out(&words, payload, &session)?;
    }
}

/// Reads the payload that follows a command line, whose last word is the payload's length.
fn read_payload(reader: &mut impl Read, length: Option<&&str>) -> Result<String> {
    let length: usize = length.and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut bytes = vec![0; length + "\r\n".len()];
    reader.read_exact(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes[..length]).into_owned())
}

/// Carries out one command; one that it does not know is ignored.
fn carry_out(words: &[&str], payload: String, shared: &Arc<Mutex<Session>>) -> Result<()> {
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
                shared.lock().unwrap_or_else(PoisonError::into_inner).run_time_over(&id, calls);
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
