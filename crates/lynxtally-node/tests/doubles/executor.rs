//! A fake executor that runs a node's requests, and can stop reporting events or break its link.

use super::{lock, wait_until};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A fake executor. The body of a request determines its run:
///
/// - `ok:R` succeeds at once with the result R.
/// - `error` fails at once.
/// - `call:B` requests a call with the body B, and succeeds with the call's response as the result.
/// - `calls:B` requests a call with the body B, and continues to run after the call's response.
/// - Any other run does not end by itself.
#[derive(Clone)]
pub struct FakeExecutor(Arc<Mutex<State>>);

#[derive(Clone, Copy, PartialEq)]
enum Run {
    Running,
    Ended,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// The encoded numbered events, for replay on a new link.
    events: Vec<Vec<u8>>,
    runs: BTreeMap<String, Run>,
    /// The ids of runs that continue after the response to their call.
    continuing_runs: BTreeSet<String>,
    /// The lines of all commands except those for gauges.
    commands: Vec<String>,
    /// The number of commands that asked for gauges.
    gauges_requested: usize,
    /// While true, events are not written to the link, and are only replayed on the next link.
    is_silent: bool,
    /// The time after which a run is stopped.
    runs_stop_after: Option<Duration>,
    /// The time before which no link is answered.
    up_at: Option<Instant>,
}

impl State {
    fn write(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut().filter(|_| !self.is_silent) {
            let _ = link.write_all(bytes);
        }
    }

    fn report(&mut self, word: &str, rest: &str, body: &[u8]) {
        let number = self.events.len() + 1;
        let mut bytes = format!("{word} {number} {rest} {}\r\n", body.len()).into_bytes();
        bytes.extend(body);
        bytes.extend(b"\r\n");
        self.events.push(bytes.clone());
        self.write(&bytes);
    }

    fn end_run(&mut self, id: &str, status: &str, result: &[u8]) {
        if self.runs.insert(id.to_owned(), Run::Ended) != Some(Run::Ended) {
            self.report("REAP", &format!("{id} {status} 1.5"), result);
        }
    }

    fn command(&mut self, words: &[&str], body: &[u8]) {
        if words[0] != "SYSINFO" {
            self.commands.push(words.join(" "));
        } else if words[1].starts_with("gauges") {
            self.gauges_requested += 1;
        }
        match *words {
            ["OPEN", last_event] => {
                let last_event: usize = last_event.parse().expect("parse the event number");
                self.write(b"BOOTED WARM 60000.5\r\n");
                let missed = self.events[last_event..].concat();
                self.write(&missed);
            }
            ["SYSINFO", tag] => self.write(format!("INFO {tag} 0.5 1 0.1 9\r\n").as_bytes()),
            ["SCHED", id, ..] if !self.runs.contains_key(id) => self.start_run(id, body),
            ["IODONE", id, _] if self.continuing_runs.contains(id) => {}
            ["IODONE", id, _] => self.end_run(id, "OK", body),
            ["PREEMPT", id] => self.end_run(id, "STOPPED", b""),
            _ => {}
        }
    }

    fn start_run(&mut self, id: &str, body: &[u8]) {
        self.runs.insert(id.to_owned(), Run::Running);
        match String::from_utf8_lossy(body).split_once(':') {
            Some(("ok", result)) => self.end_run(id, "OK", result.as_bytes()),
            Some((how @ ("call" | "calls"), call_body)) => {
                if how == "calls" {
                    self.continuing_runs.insert(id.to_owned());
                }
                self.report("IOREQ", id, call_body.as_bytes());
            }
            _ if body == b"error" => self.end_run(id, "ERROR", b""),
            _ => {}
        }
    }
}

impl FakeExecutor {
    /// Creates an executor that is up. It does not listen yet.
    pub fn new() -> Self {
        Self(Arc::default())
    }

    /// Listens on a new address, in addition to previous ones. All addresses share the runs and events.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a socket");
        let address = listener.local_addr().expect("get the socket's address");
        let executor = self.clone();
        thread::spawn(move || {
            for link in listener.incoming().map_while(Result::ok) {
                let reader = BufReader::new(link.try_clone().expect("clone the stream"));
                lock(&executor.0).link = Some(link);
                let executor = executor.clone();
                thread::spawn(move || executor.serve(reader));
            }
        });
        address
    }

    /// Reads and executes the commands of one link.
    fn serve(&self, mut reader: BufReader<TcpStream>) {
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let up_at = lock(&self.0).up_at;
            thread::sleep(up_at.map_or(Duration::ZERO, |up| up.saturating_duration_since(Instant::now())));
            let words: Vec<&str> = line.split_whitespace().collect();
            let mut body = Vec::new();
            if matches!(words[0], "SCHED" | "IODONE") {
                let length: usize = words[words.len() - 1].parse().expect("parse the length");
                body.resize(length + 2, 0);
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(length);
            }
            lock(&self.0).command(&words, &body);
            if let ("SCHED", Some(id)) = (words[0], words.get(1)) {
                self.stop_run_later(id);
            }
            line.clear();
        }
    }

    fn stop_run_later(&self, id: &str) {
        let Some(after) = lock(&self.0).runs_stop_after else { return };
        let (executor, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(after);
            lock(&executor.0).end_run(&id, "STOPPED", b"");
        });
    }

    /// Restarts the executor, which forgets its runs, events and commands.
    pub fn restart(&self) {
        let mut state = lock(&self.0);
        let (up_at, runs_stop_after) = (state.up_at, state.runs_stop_after);
        *state = State { up_at, runs_stop_after, ..State::default() };
    }

    /// Answers no link before this time.
    pub fn set_up_at(&self, up_at: Instant) {
        lock(&self.0).up_at = Some(up_at);
    }

    /// Stops each run that starts from now on and has not ended after this time.
    pub fn stop_runs_after(&self, after: Duration) {
        lock(&self.0).runs_stop_after = Some(after);
    }

    /// Ends a run successfully.
    pub fn complete_run(&self, id: &str, result: &str) {
        lock(&self.0).end_run(id, "OK", result.as_bytes());
    }

    /// Writes raw bytes to the link.
    pub fn write(&self, bytes: &[u8]) {
        lock(&self.0).write(bytes);
    }

    /// Sets whether events are withheld from the current link.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.0).is_silent = is_silent;
    }

    /// Breaks the link and stops withholding events. The next link gets all events that the node has not read.
    pub fn break_link(&self) {
        let mut state = lock(&self.0);
        state.is_silent = false;
        let link = state.link.take().expect("an open link");
        link.shutdown(Shutdown::Both).expect("close the link");
    }

    /// Waits until gauges were requested twice more. The node then knows that the executor has read all commands that
    /// it sent before.
    pub fn wait_for_gauges(&self) {
        let before = lock(&self.0).gauges_requested;
        wait_until("gauges are requested", || lock(&self.0).gauges_requested >= before + 2);
    }

    /// Returns the number of received commands that start with this prefix.
    pub fn commands(&self, prefix: &str) -> usize {
        lock(&self.0).commands.iter().filter(|line| line.starts_with(prefix)).count()
    }
}
