//! What the drivers of the cases share: processes, records, an HTTP client and an HTTP upstream. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case that runs for longer than this is ended.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// One run of a case: its record, its temporary folder and whether the disruption takes place.
pub struct Case {
    started: Instant,
    record: Mutex<File>,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Case {
    /// The first argument of the program is the folder of the case, in which `record.txt` is written.
    pub fn begin() -> Arc<Self> {
        let of_case = std::env::args().nth(1).expect("the folder of the case");
        let record = File::create(Path::new(&of_case).join("record.txt")).expect("record.txt");
        let folder = std::env::temp_dir().join(format!("lynxtally-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Self { started: Instant::now(), record: Mutex::new(record), folder, has_trouble };
        case.note(&format!("the disruption takes place: {has_trouble}"));
        let case = Arc::new(case);
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            watched.end(NOT_RUN, "the case took too long");
        });
        case
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut record = self.record.lock().expect("record");
        let _ = writeln!(record, "{at:8.3}  {text}");
        println!("{at:8.3}  {text}");
    }

    /// Writes a settings file and returns its path.
    pub fn write_file(&self, name: &str, content: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, content).expect("a file in the temporary folder");
        path.display().to_string()
    }

    pub fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Copies a log of a process into the record, and removes the temporary folder.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.note(verdict);
        if let Ok(log) = fs::read_to_string(self.folder.join("server.log")) {
            let mut record = self.record.lock().expect("record");
            let _ = writeln!(record, "\nlog of the server:\n{log}");
        }
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }
}

/// A free port on the loopback address.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// A process of the project. It is killed when this value is dropped.
pub struct Process(Child);

impl Process {
    /// Starts `target/release/lynxtally` with these arguments, from the root of the repository. Its output goes to
    /// `server.log` in the temporary folder.
    pub fn start(case: &Case, arguments: &[&str]) -> Self {
        let log = fs::OpenOptions::new().create(true).append(true).open(case.folder.join("server.log"));
        let log = log.expect("a log");
        let child = Command::new("target/release/lynxtally")
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                case.note(&format!("started: lynxtally {} (process {})", arguments.join(" "), child.id()));
                Self(child)
            }
            Err(error) => case.end(NOT_RUN, &format!("target/release/lynxtally can't be started: {error}")),
        }
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(mut self, case: &Case) {
        case.note(&format!("SIGKILL to process {}", self.0.id()));
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// SIGTERM; returns whether the process ended within this time, and kills it otherwise.
    pub fn terminate(mut self, case: &Case, within: Duration) -> bool {
        let id = self.0.id().to_string();
        case.note(&format!("SIGTERM to process {id}"));
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let until = Instant::now() + within;
        while !self.has_ended() {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Waits until somebody listens.
pub fn wait_for_listener(case: &Case, process: &mut Process, address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(15);
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until || process.has_ended() {
            case.end(NOT_RUN, "the server does not listen");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// The head of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: BTreeMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut head = Head { first_line: lines.first().cloned().unwrap_or_default(), ..Head::default() };
    for line in lines.iter().skip(1) {
        if let Some((name, value)) = line.split_once(':') {
            head.fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(head)
}

/// Reads the body that a head announces by its length, or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut String::new())?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.field("content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// A final response.
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the final response to a request; interim responses are skipped.
    pub fn response(&mut self, has_body: bool) -> io::Result<Response> {
        loop {
            let head = read_head(&mut self.reader)?;
            let status = head.status();
            if (100..200).contains(&status) {
                continue;
            }
            let has_body = has_body && status != 204;
            let body = if has_body { read_body(&mut self.reader, &head)? } else { Vec::new() };
            return Ok(Response { status, head, body });
        }
    }
}

/// A request that an upstream has read completely.
#[derive(Clone)]
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

/// An upstream: reads one request a connection, works on it for a while, and answers 200.
pub struct Upstream {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Received>>>,
}

impl Upstream {
    pub fn start(
        case: &Arc<Case>,
        work: Duration,
        answer: impl Fn(&Received) -> String + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let (case, log, answer) = (case.clone(), received.clone(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (case, log, answer) = (case.clone(), log.clone(), answer.clone());
                thread::spawn(move || {
                    // A connection without a whole request brought no work.
                    let _ = serve(&case, stream, work, &log, &*answer);
                });
            }
        });
        Self { address, received }
    }

    pub fn all(&self) -> Vec<Received> {
        self.received.lock().expect("received").clone()
    }
}

fn serve(
    case: &Case,
    mut stream: TcpStream,
    work: Duration,
    log: &Mutex<Vec<Received>>,
    answer: &dyn Fn(&Received) -> String,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    let request = Received { head, body };
    let number = {
        let mut log = log.lock().expect("received");
        log.push(request.clone());
        log.len()
    };
    case.note(&format!(
        "upstream runs request {number}: {} ({} bytes)",
        request.head.first_line,
        request.body.len()
    ));
    thread::sleep(work);
    let text = answer(&request);
    case.note(&format!("upstream answers request {number}: 200 {text:?}"));
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{text}",
        text.len()
    )
}
