//! What the drivers of the cases share: a temporary folder, child processes that end with the driver, a record, and a
//! small HTTP/1.1 client and upstream. Only the standard library is used.
#![allow(dead_code)]

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The rule was kept.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// The surroundings of one run. Dropping it ends all children and removes the temporary folder.
pub struct Case {
    /// The root of the repository; programs are started from there.
    pub root: PathBuf,
    /// The temporary folder of this run.
    pub temp: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    record: Arc<Mutex<File>>,
    started: Instant,
    children: Vec<(String, Child)>,
}

impl Case {
    /// Arguments of the driver: the root of the repository and the folder of the case.
    pub fn new() -> Self {
        let mut args = std::env::args().skip(1);
        let (Some(root), Some(folder)) = (args.next(), args.next()) else {
            eprintln!("usage: DRIVER ROOT CASE-FOLDER");
            std::process::exit(NOT_RUN);
        };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let temp = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        let record = std::fs::create_dir_all(&temp)
            .and_then(|()| File::create(Path::new(&folder).join("record.txt")))
            .unwrap_or_else(|fault| {
                eprintln!("no record can be written: {fault}");
                std::process::exit(NOT_RUN)
            });
        // Whatever hangs, the run is over after 110 s; `run.sh` then ends the children.
        std::thread::spawn(|| {
            std::thread::sleep(Duration::from_secs(110));
            eprintln!("the run took too long");
            std::process::exit(NOT_RUN);
        });
        let case = Self {
            root: PathBuf::from(root),
            temp,
            trouble,
            record: Arc::new(Mutex::new(record)),
            started: Instant::now(),
            children: Vec::new(),
        };
        case.note(format!("trouble: {}", u8::from(trouble)));
        case
    }

    /// Writes a line to the record, with the time since the start.
    pub fn note(&self, line: impl AsRef<str>) {
        self.recorder().note(line);
    }

    /// A handle by which other threads write to the record.
    pub fn recorder(&self) -> Recorder {
        Recorder { record: self.record.clone(), started: self.started, temp: self.temp.display().to_string() }
    }

    /// Starts a program of the repository, from its root. Its output goes to a file in the temporary folder.
    pub fn start(&mut self, name: &str, command: &[&str], variables: &[(&str, &str)]) -> io::Result<u32> {
        let log = OpenOptions::new().create(true).append(true).open(self.temp.join(format!("{name}.log")))?;
        let child = Command::new(self.root.join(command[0]))
            .args(&command[1..])
            .envs(variables.iter().copied())
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let id = child.id();
        self.note(format!("started {name}: {}", command.join(" ")));
        self.children.push((name.to_owned(), child));
        Ok(id)
    }

    /// Sends a signal to a child, by the name under which it was started.
    pub fn signal(&mut self, name: &str, signal: &str) {
        let Some((_, child)) = self.children.iter().rev().find(|(known, _)| known == name) else { return };
        let sent = Command::new("kill").args(["-s", signal, &child.id().to_string()]).status();
        self.note(format!("signal {signal} to {name}: {}", sent.is_ok_and(|status| status.success())));
    }

    /// Kills a child outright and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(at) = self.children.iter().rposition(|(known, _)| known == name) {
            let (_, mut child) = self.children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
            self.note(format!("killed {name}"));
        }
    }

    /// Waits for a child to end by itself, and returns its exit code; none if it takes longer or was killed.
    pub fn wait_for_end(&mut self, name: &str, longest: Duration) -> Option<i32> {
        let at = self.children.iter().rposition(|(known, _)| known == name)?;
        let until = Instant::now() + longest;
        loop {
            if let Ok(Some(status)) = self.children[at].1.try_wait() {
                self.children.remove(at);
                self.note(format!("{name} ended: {status}"));
                return status.code();
            }
            if Instant::now() > until {
                self.note(format!("{name} still runs after {longest:?}"));
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The log of a child, as far as it is written.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.temp.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Ends the run with a verdict.
    pub fn end(mut self, verdict: i32, why: impl AsRef<str>) -> ! {
        let word = match verdict {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "NOT RUN",
        };
        self.note(format!("{word}: {}", why.as_ref()));
        println!("{word}: {}", why.as_ref());
        self.clean_up();
        std::process::exit(verdict)
    }

    /// The value, or the end of a run that could not take place.
    pub fn need<T, E: std::fmt::Display>(self, what: &str, result: Result<T, E>) -> (Self, T) {
        match result {
            Ok(value) => (self, value),
            Err(fault) => self.end(NOT_RUN, format!("{what}: {fault}")),
        }
    }

    fn clean_up(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        let _ = std::fs::remove_dir_all(&self.temp);
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        self.clean_up();
    }
}

/// Writes to the record of a run.
#[derive(Clone)]
pub struct Recorder {
    record: Arc<Mutex<File>>,
    started: Instant,
    temp: String,
}

impl Recorder {
    /// Writes a line with the time since the start.
    pub fn note(&self, line: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        if let Ok(mut record) = self.record.lock() {
            let line = line.as_ref().replace(&self.temp, "TEMP");
            let _ = writeln!(record, "{ms:>7} ms  {line}");
        }
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64)
}

/// A free port on the loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port is free")
}

/// Waits until a TCP connection to the address can be made.
pub fn wait_for_listener(address: SocketAddr, longest: Duration) -> io::Result<()> {
    let until = Instant::now() + longest;
    loop {
        match connect(address, Duration::from_secs(1)) {
            Ok(_) => return Ok(()),
            Err(fault) if Instant::now() > until => return Err(fault),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// The head of a message, and the value of one of its fields.
#[derive(Clone, Debug, Default)]
pub struct Head(pub String);

impl Head {
    /// The first line.
    pub fn first_line(&self) -> &str {
        self.0.lines().next().unwrap_or("")
    }

    /// The status, if this is the head of a response.
    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.0.lines().skip(1).find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// The announced length of the body.
    pub fn length(&self) -> Option<u64> {
        self.field("Content-Length").and_then(|value| value.parse().ok())
    }
}

/// Reads a head up to its empty line, one byte after another, so that nothing of the body is taken.
pub fn read_head(stream: &mut impl Read) -> io::Result<Head> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.push(byte[0]);
    }
    Ok(Head(String::from_utf8_lossy(&bytes).into_owned()))
}

/// Reads a body: of the announced length, chunked, or up to the end of the connection.
pub fn read_body(stream: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    if head.field("Transfer-Encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            let mut byte = [0];
            while !line.ends_with(b"\r\n") {
                stream.read_exact(&mut byte)?;
                line.push(byte[0]);
            }
            let text = String::from_utf8_lossy(&line);
            let length = usize::from_str_radix(text.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|fault| io::Error::other(fault.to_string()))?;
            let mut chunk = vec![0; length + 2];
            stream.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let mut body = Vec::new();
    match head.length() {
        Some(length) => {
            stream.take(length).read_to_end(&mut body)?;
            if (body.len() as u64) < length {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        None if head.status() > 0 => {
            stream.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Connects with a limit for each read.
pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    // A client that connects to a free port may meet itself.
    if stream.local_addr()? == address {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    Ok(stream)
}

/// The final response on a connection, after interim ones, which are passed over.
pub fn read_response(stream: &mut TcpStream, method: &str) -> io::Result<(Head, Vec<u8>)> {
    loop {
        let head = read_head(stream)?;
        if head.status() >= 200 {
            let body = if method == "HEAD" || matches!(head.status(), 204 | 304) {
                Vec::new()
            } else {
                read_body(stream, &head)?
            };
            return Ok((head, body));
        }
    }
}

/// Sends one request on a connection of its own and returns the final response.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = connect(address, patience)?;
    let length = if method == "GET" || method == "HEAD" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: front\r\n{fields}{length}Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_response(&mut stream, method)
}

/// Bytes that differ at each place of a body.
pub fn body_bytes(length: usize, seed: u64) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    (0..length)
        .map(|_| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 24) as u8
        })
        .collect()
}
