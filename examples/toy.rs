//! A toy of everything that a node talks to, to try it with: a kernel, a ledger and a control plane in one
//! program, at the addresses of `examples/node.json`. It starts the node too, and ends when that ends.
//!
//! Build all with `cargo build --release`, then `cargo run --release --example toy`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::{exit, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long the toy works on a task.
const WORK: Duration = Duration::from_millis(50);

fn main() -> std::io::Result<()> {
    let kernel = TcpListener::bind("127.0.0.1:7300")?;
    let ledger = TcpListener::bind("127.0.0.1:5432")?;
    let control = UdpSocket::bind("127.0.0.1:7946")?;
    thread::spawn(move || listen(&control));
    thread::spawn(move || {
        for caller in ledger.incoming().flatten() {
            thread::spawn(move || book(caller));
        }
    });
    thread::spawn(move || {
        for link in kernel.incoming().flatten() {
            thread::spawn(move || work(link));
        }
    });
    // The node as it would run anywhere. Ctrl-C ends both at once; SIGTERM to the node lets it leave in
    // order.
    let status = Command::new("target/release/lynxtally-node").arg("examples/node.json").status()?;
    println!("the node ended: {status}");
    exit(status.code().unwrap_or(1))
}

/// The control plane: prints the first report and each change.
fn listen(control: &UdpSocket) {
    let (mut buffer, mut before) = ([0; 256], String::new());
    while let Ok((length, _)) = control.recv_from(&mut buffer) {
        let report = String::from_utf8_lossy(&buffer[..length]).into_owned();
        if report != before {
            println!("control plane: {report}");
            before = report;
        }
    }
}

/// The ledger: takes each call after a moment and sends its body back.
fn book(caller: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(caller.try_clone().ok()?);
    let mut caller = caller;
    loop {
        let (mut line, mut length) = (String::new(), 0);
        // The head ends at an empty line; only the length matters here.
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().ok()?;
                }
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        thread::sleep(WORK / 5);
        write!(caller, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").ok()?;
        caller.write_all(&body).ok()?;
    }
}

/// One link's notices: their number, and the runs with what each was given.
struct Link {
    out: TcpStream,
    number: u64,
    runs: HashMap<String, String>,
}

impl Link {
    /// Sends a notice with a number and a part.
    fn notify(&mut self, word: &str, rest: &str, part: &str) {
        self.number += 1;
        let notice = format!("{word} {} {rest} {}\r\n{part}\r\n", self.number, part.len());
        // A link that broke is made anew by the node; this toy remembers nothing for it.
        let _ = self.out.write_all(notice.as_bytes());
    }
}

/// The kernel: works on a task for a moment, lets `pay` call the ledger, and makes the result.
fn work(out: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(out.try_clone().ok()?);
    let link = Arc::new(Mutex::new(Link { out, number: 0, runs: HashMap::new() }));
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut part = String::new();
        if matches!(words.first(), Some(&"SCHED" | &"IODONE")) {
            let length: usize = words.last()?.parse().ok()?;
            let mut bytes = vec![0; length + 2];
            reader.read_exact(&mut bytes).ok()?;
            part = String::from_utf8_lossy(&bytes[..length]).into_owned();
        }
        let mut inside = link.lock().ok()?;
        match words[..] {
            ["OPEN", _] => inside.out.write_all(b"BOOTED WARM 60000\r\n").ok()?,
            ["SYSINFO", tag] => {
                inside.out.write_all(format!("INFO {tag} 0.1 1 0.1 3\r\n").as_bytes()).ok()?
            }
            ["SCHED", id, stage, _] if !inside.runs.contains_key(id) => {
                inside.runs.insert(id.to_owned(), part);
                let (id, calls, link) = (id.to_owned(), stage == "pay", link.clone());
                thread::spawn(move || {
                    thread::sleep(WORK);
                    let Ok(mut inside) = link.lock() else { return };
                    if calls {
                        inside.notify("IOREQ", &id, "one coin");
                    } else if let Some(body) = inside.runs.remove(&id) {
                        inside.notify("REAP", &format!("{id} OK 50"), &format!("hello, {body}\n"));
                    }
                });
            }
            ["IODONE", id, _] => {
                if let Some(body) = inside.runs.remove(id) {
                    inside.notify("REAP", &format!("{id} OK 60"), &format!("{body} paid {part}\n"));
                }
            }
            ["PREEMPT", id] if inside.runs.remove(id).is_some() => {
                inside.notify("REAP", &format!("{id} STOPPED 1"), "");
            }
            _ => {}
        }
    }
}
