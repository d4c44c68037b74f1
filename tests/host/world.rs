//! Stand-ins for those that a node talks to, on loopback, and the node itself as a program.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A kernel in which a run ends as its body says: `ok:R` with the result R, `error`, `call:B` with the
/// reply to a call with the body B, or not at all; after `calls:B` it goes on after the reply.
#[derive(Clone)]
pub struct Kernel(Arc<Mutex<Inside>>);

#[derive(Default)]
struct Inside {
    link: Option<TcpStream>,
    notices: Vec<Vec<u8>>,
    runs: BTreeMap<String, bool>,
    /// Runs that go on after a reply.
    go_on: BTreeSet<String>,
    /// Every command but those for gauges, and how many of those there were.
    heard: Vec<String>,
    asked: usize,
    /// Runs that end while this is set are told of only on the next link.
    silent: bool,
    /// A run that stands at a call for so long ends there, as its task is over.
    ends_at_calls: Option<Duration>,
    /// When it comes up, where that is late.
    up: Option<Instant>,
}

impl Inside {
    fn send(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut().filter(|_| !self.silent) {
            let _ = link.write_all(bytes);
        }
    }

    fn notify(&mut self, word: &str, rest: &str, part: Option<&[u8]>) {
        let mut bytes = format!("{word} {} {rest}", self.notices.len() + 1).into_bytes();
        if let Some(part) = part {
            bytes.extend(format!(" {}\r\n", part.len()).bytes());
            bytes.extend(part);
        }
        bytes.extend(b"\r\n");
        self.notices.push(bytes.clone());
        self.send(&bytes);
    }

    fn end(&mut self, id: &str, how: &str, result: &[u8]) {
        if self.runs.insert(id.to_owned(), false) != Some(false) {
            self.notify("REAP", &format!("{id} {how} 1.5"), Some(result));
        }
    }

    fn command(&mut self, words: &[&str], part: &[u8]) {
        if words[0] != "SYSINFO" {
            self.heard.push(words.join(" "));
        } else if words[1].starts_with("gauges") {
            self.asked += 1;
        }
        match *words {
            ["OPEN", n] => {
                let n: usize = n.parse().expect("a number");
                self.send(b"BOOTED WARM 60000.5\r\n");
                let missed = self.notices[n..].concat();
                self.send(&missed);
            }
            ["SYSINFO", tag] => self.send(format!("INFO {tag} 0.5 1 0.1 9\r\n").as_bytes()),
            ["SCHED", id, ..] if !self.runs.contains_key(id) => {
                self.runs.insert(id.to_owned(), true);
                match String::from_utf8_lossy(part).split_once(':') {
                    Some(("ok", result)) => self.end(id, "OK", result.as_bytes()),
                    Some((how @ ("call" | "calls"), body)) => {
                        if how == "calls" {
                            self.go_on.insert(id.to_owned());
                        }
                        self.notify("IOREQ", id, Some(body.as_bytes()));
                    }
                    _ if part == b"error" => self.end(id, "ERROR", b""),
                    _ => {}
                }
            }
            ["IODONE", id, _] if self.go_on.contains(id) => {}
            ["IODONE", id, _] => self.end(id, "OK", part),
            ["PREEMPT", id] => self.end(id, "STOPPED", b""),
            _ => {}
        }
    }
}

impl Kernel {
    /// Listens on one more address, for the same runs and notices.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let inside = self.0.clone();
        thread::spawn(move || {
            for link in listener.incoming().map_while(Result::ok) {
                let mut reader = BufReader::new(link.try_clone().expect("a clone"));
                lock(&inside).link = Some(link);
                let inside = inside.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                        let up = lock(&inside).up;
                        thread::sleep(
                            up.map_or(Duration::ZERO, |up| up.saturating_duration_since(Instant::now())),
                        );
                        let words: Vec<&str> = line.split_whitespace().collect();
                        let mut part = Vec::new();
                        if matches!(words[0], "SCHED" | "IODONE") {
                            let length: usize = words[words.len() - 1].parse().expect("a length");
                            part.resize(length + 2, 0);
                            if reader.read_exact(&mut part).is_err() {
                                return;
                            }
                            part.truncate(length);
                        }
                        lock(&inside).command(&words, &part);
                        let ends = lock(&inside).ends_at_calls;
                        if let (Some(after), "SCHED", Some(id)) = (ends, words[0], words.get(1)) {
                            let (inside, id) = (inside.clone(), (*id).to_owned());
                            thread::spawn(move || {
                                thread::sleep(after);
                                lock(&inside).end(&id, "STOPPED", b"");
                            });
                        }
                        line.clear();
                    }
                });
            }
        });
        at
    }

    /// The kernel starts anew with its node: it knows of no run and no notice.
    fn restart(&self) {
        let mut inside = lock(&self.0);
        let up = inside.up;
        *inside = Inside { up, ends_at_calls: inside.ends_at_calls, ..Inside::default() };
    }

    /// From now on no link is answered before that time.
    pub fn up_from(&self, up: Instant) {
        lock(&self.0).up = Some(up);
    }

    /// From now on a run that stands at a call for so long ends there.
    pub fn end_at_calls(&self, after: Duration) {
        lock(&self.0).ends_at_calls = Some(after);
    }

    /// Ends a run well.
    pub fn end(&self, id: &str, result: &str) {
        lock(&self.0).end(id, "OK", result.as_bytes());
    }

    /// Writes bytes of the story's choosing on the link.
    pub fn send(&self, bytes: &[u8]) {
        lock(&self.0).send(bytes);
    }

    /// From now on nothing that happens is told on this link.
    pub fn hush(&self, silent: bool) {
        lock(&self.0).silent = silent;
    }

    /// Breaks the link; the next one is told all.
    pub fn drop_link(&self) {
        let mut inside = lock(&self.0);
        inside.silent = false;
        let link = inside.link.take().expect("a link");
        link.shutdown(Shutdown::Both).expect("it closes");
    }

    /// Waits until it was asked for gauges and has told them: all that it read before shows as read.
    pub fn asked_again(&self) {
        let before = lock(&self.0).asked;
        until("gauges are asked for", || lock(&self.0).asked >= before + 2);
    }

    /// How many commands began like this.
    pub fn heard(&self, start: &str) -> usize {
        lock(&self.0).heard.iter().filter(|line| line.starts_with(start)).count()
    }
}

/// How the ledger takes calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    /// Each gets its own body back.
    Well,
    /// Turned away, never run.
    Full,
    /// Read, and answered once the mood is better.
    Waits,
    /// Read, and never answered.
    Hangs,
    /// Read, and the connection closed.
    Drops,
    /// Answered with what is no reply.
    Garbles,
}

/// A ledger in some mood.
#[derive(Clone)]
pub struct Ledger(Arc<Mutex<(Mood, u32, u32)>>);

impl Ledger {
    /// Listens on one more address, in the same mood.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let state = self.0.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                thread::spawn(move || {
                    let mut caller = Caller::of(stream);
                    let mut replied: Option<Instant> = None;
                    while let Some((_, body)) = caller.message() {
                        lock(&state).1 += 1;
                        let hasty = replied.is_some_and(|at| at.elapsed() < Duration::from_millis(20));
                        lock(&state).2 += u32::from(hasty);
                        until("the ledger is in the mood", || lock(&state).0 != Mood::Waits);
                        let mood = lock(&state).0;
                        let head = match mood {
                            Mood::Well | Mood::Waits => {
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                            }
                            Mood::Full => {
                                "HTTP/1.1 503 Full\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n".into()
                            }
                            Mood::Hangs => continue,
                            Mood::Drops => return,
                            Mood::Garbles => "what?\r\n\r\n".into(),
                        };
                        replied = Some(Instant::now());
                        caller.send(&head);
                    }
                });
            }
        });
        at
    }

    /// Changes its mood.
    pub fn mood(&self, mood: Mood) {
        lock(&self.0).0 = mood;
    }

    /// How many calls came on a connection so soon after a reply that more could have followed it.
    pub fn hasty(&self) -> u32 {
        lock(&self.0).2
    }

    /// How many calls it has read.
    pub fn calls(&self) -> u32 {
        lock(&self.0).1
    }
}

/// A sidecar's connection; good for the ledger's side of one too.
pub struct Caller(BufReader<TcpStream>);

impl Caller {
    /// A new connection to a node.
    pub fn to(node: SocketAddr) -> Self {
        Self::of(TcpStream::connect(node).expect("it listens"))
    }

    /// One end of a connection.
    pub fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Self(BufReader::new(stream))
    }

    /// Writes as is.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("it is read");
    }

    /// The same where it may have ended; whether it was taken.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// The connection itself.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.0.get_mut()
    }

    /// Whether anything came that was not read yet.
    pub fn unread(&self) -> bool {
        self.0.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Sends no more, and reads on.
    pub fn half_close(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("it closes");
    }

    /// Reads on to the connection's end: whatever comes before it, or how it broke off.
    pub fn rest(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).map(|_| rest)
    }

    /// The next message's head and body, if one comes.
    pub fn message(&mut self) -> Option<(String, String)> {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let start = head.len();
            if self.0.read_line(&mut head).ok()? == 0 {
                return None;
            }
            if let Some(value) = head[start..].strip_prefix("Content-Length: ") {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        Some((head, String::from_utf8(body).ok()?))
    }

    /// The next message's status and body.
    pub fn answer(&mut self) -> (u16, String) {
        let (head, body) = self.message().expect("an answer");
        (head[9..12].parse().expect("a status"), body)
    }
}

/// The bytes of a task whose name is this number, with time enough for any machine.
pub fn task(number: u64, body: &str) -> String {
    staged("a", number, body)
}

/// The same of a stage's.
pub fn staged(stage: &str, number: u64, body: &str) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    format!(
        "POST /ops/{stage} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {number:016x}\r\nX-Arrived-Ms: {}\r\n\
         X-Upstream-Peer: 1\r\nX-Need-Kb: 10.5\r\nX-Criticality: 0.5\r\nContent-Length: {}\r\n\r\n{body}",
        now.as_millis(),
        body.len()
    )
}

/// A name as it stands on the wires.
pub fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// A node among its stand-ins.
pub struct World {
    node: Option<Child>,
    pub listen: SocketAddr,
    pub kernel: Kernel,
    pub ledger: Ledger,
    pub control: UdpSocket,
    folder: PathBuf,
    /// The configuration as it was at the start.
    pub told: String,
    /// The program, and how many descriptors it may hold.
    start: (String, u32),
}

/// The configuration of a node with a stage `a` that has time and a hasty one `b`.
pub fn config(ports: [SocketAddr; 4]) -> String {
    let [listen, kernel, ledger, control] = ports;
    format!(
        r#"{{"name":"n1","listen":"{listen}","kernel":"{kernel}","ledger":"{ledger}","control":"{control}",
        "seed":"8c1f30d27a5be964","stop_ms":3000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":64}},"settings":{{
        "lanes":[{{"name":"a","importance":1,"promise-ms":10000,"deadline-ms":15000,"idempotency":"pure"}},
        {{"name":"b","importance":1,"promise-ms":1000,"deadline-ms":3000,"idempotency":"pure"}}],
        "rules":{{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":8,"warm-after-ms":9000}},
        "specifics":{{"cores":4,"blowup":2,"ram-kb":90000,"say":"credit","heeded-ms":1000,"stop-mode":"pause",
        "gauges":["cpu_busy","runnable","mem_used","sockets"],"class-calls":[true,true],"idle-ms":30000}}}}}}"#
    )
}

impl World {
    /// Starts a node and waits until it is well. `program` is its path.
    pub fn start(program: &str) -> Self {
        Self::limited(program, 1024)
    }

    /// The same for a node that may hold so many descriptors, whatever its configuration says.
    pub fn limited(program: &str, descriptors: u32) -> Self {
        Self::with(program, descriptors, |text| text)
    }

    /// The same for a node that is told something else.
    pub fn with(program: &str, descriptors: u32, told: impl FnOnce(String) -> String) -> Self {
        let world = Self::begin(program, descriptors, told);
        until("the node is well", || world.well());
        world
    }

    /// Starts a node and does not wait for it.
    pub fn begin(program: &str, descriptors: u32, told: impl FnOnce(String) -> String) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("lynxtally-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let kernel = Kernel(Arc::default());
        let ledger = Ledger(Arc::new(Mutex::new((Mood::Well, 0, 0))));
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port");
        control.set_read_timeout(Some(LONG)).expect("a time-out");
        // An address on loopback that is this world's alone, so that no port can be taken by another's
        // connection.
        let process = std::process::id();
        let [high, low] = [process / 250 % 250, process % 250].map(|part| part as u8);
        let free: SocketAddr = ([127, 10 + number as u8, high, low + 1], 8443).into();
        let at = [free, kernel.listen(), ledger.listen(), control.local_addr().expect("an address")];
        let told = told(config(at));
        std::fs::write(folder.join("config.json"), &told).expect("a file");
        let start = (program.to_owned(), descriptors);
        let mut world = Self { node: None, listen: free, kernel, ledger, control, folder, told, start };
        world.restart();
        world
    }

    /// Starts the node anew, under its name and address, and does not wait for it.
    pub fn restart(&mut self) {
        self.kill();
        self.kernel.restart();
        let (program, descriptors) = &self.start;
        let start = format!("ulimit -n {descriptors}; exec \"$0\" \"$1\"");
        let node = Command::new("sh")
            .args(["-c", &start, program])
            .arg(self.folder.join("config.json"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the node starts");
        self.node = Some(node);
    }

    /// Whether health checks hear that all is well.
    pub fn well(&self) -> bool {
        TcpStream::connect(self.listen).is_ok_and(|stream| {
            let mut caller = Caller::of(stream);
            caller.try_send("GET /alive HTTP/1.1\r\n\r\n")
                && caller.message().is_some_and(|(head, _)| head.starts_with("HTTP/1.1 200"))
        })
    }

    /// Kills the node outright.
    pub fn kill(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// How many descriptors the node holds.
    pub fn descriptors(&self) -> usize {
        let node = self.node.as_ref().expect("it runs").id();
        std::fs::read_dir(format!("/proc/{node}/fd")).map_or(0, Iterator::count)
    }

    /// A new connection to the node.
    pub fn caller(&self) -> Caller {
        Caller::to(self.listen)
    }

    /// Sends the node a signal by its name.
    pub fn signal(&self, name: &str) {
        let node = self.node.as_ref().expect("it runs").id().to_string();
        let sent = Command::new("kill").args(["-s", name, &node]).status().expect("kill is there");
        assert!(sent.success());
    }

    /// Replaces the configuration and has it read.
    pub fn configure(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("a file");
        self.signal("HUP");
    }

    /// Waits for the node's end; tells whether it ended well, and its counters.
    pub fn end(&mut self) -> (bool, String) {
        let node = self.node.take().expect("it runs");
        let Output { status, stdout, .. } = node.wait_with_output().expect("it ends");
        (status.success(), String::from_utf8(stdout).expect("UTF-8"))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
