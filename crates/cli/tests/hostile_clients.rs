//! The names server and the stream server as processes, with clients that send slowly, stop in the middle of a request,
//! do not read, or send at full speed. The process must stay within `limits.memory_mb`, and sound clients must get their
//! responses in time.

mod harness;

use harness::Server;
use lynxtally_fault_injection::free_address;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The default of `limits.memory_mb`.
const MEMORY_LIMIT_KB: u64 = 64 * 1024;
/// How long the hostile clients go on.
const ATTACK_TIME: Duration = Duration::from_secs(4);
/// The deadline of a query by default.
const QUERY_DEADLINE: Duration = Duration::from_secs(2);

/// A names server with a zone of three records.
fn names_server() -> Server {
    Server::start("names", |address, folder| {
        let zone = "$ORIGIN example.org.\n$TTL 60\n@ SOA ns host 1 1 1 1 1\n@ NS ns\nns A 192.0.2.1\n";
        std::fs::write(format!("{folder}/zone"), zone).expect("the zone file");
        format!(
            "{{ listen: ['{address}'], state: '{folder}/state', zones: [{{ apex: 'example.org', file: '{folder}/zone' }}] }}"
        )
    })
}

/// A stream server before this upstream.
fn stream_server(upstream: SocketAddr) -> Server {
    Server::start("stream", |address, _| {
        format!(
            "{{ listen: ['{address}'], upstreams: ['{upstream}'], stages: [{{ name: 'all', utility: 1, due_ms: 60000, \
             limit_ms: 60000, effect: 'restartable' }}] }}"
        )
    })
}

/// The most memory that the process has used, in KB.
fn peak_memory_kb(server: &Server) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", server.process.id())).expect("a process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak");
    line.split_whitespace().nth(1).expect("a value").parse().expect("a number")
}

fn assert_memory_within_limit(server: &Server) {
    let peak = peak_memory_kb(server);
    assert!(peak < MEMORY_LIMIT_KB, "the process used {peak} KB of {MEMORY_LIMIT_KB} KB");
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    stream
}

/// Threads that attack a server until the value is dropped.
struct Attack {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Attack {
    /// Calls `attack` again and again in each of `threads` threads.
    fn start(threads: usize, attack: impl Fn(&AtomicBool) + Clone + Send + 'static) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..threads).map(|_| {
            let (is_over, attack) = (is_over.clone(), attack.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    attack(&is_over);
                }
            })
        });
        Self { threads: threads.collect(), is_over }
    }
}

impl Drop for Attack {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic in a hostile client's thread says nothing about the server.
            let _ = thread.join();
        }
    }
}

/// Sends bytes on a new connection without reading, until the connection breaks, the test is over, or a write blocks for
/// long. `again` tells whether the bytes are sent repeatedly.
fn send_without_reading(address: SocketAddr, bytes: &[u8], again: bool, is_over: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(address) else { return thread::sleep(Duration::from_millis(20)) };
    let timeout = Some(Duration::from_millis(200));
    if stream.set_write_timeout(timeout).and(stream.set_read_timeout(timeout)).is_err() {
        return;
    }
    let mut rest = bytes;
    while !is_over.load(Ordering::Relaxed) {
        match stream.write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        if rest.is_empty() && again {
            rest = bytes;
        } else if rest.is_empty() {
            // Waits until the server closes the connection.
            match stream.peek(&mut [0]) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }
}

fn wire_name(name: &str) -> Vec<u8> {
    let labels = name
        .split('.')
        .flat_map(|label| std::iter::once(label.len() as u8).chain(label.bytes()).collect::<Vec<u8>>());
    labels.chain([0]).collect()
}

fn query(id: u16) -> Vec<u8> {
    let header = [id, 0x0100, 1, 0, 0, 0].map(u16::to_be_bytes).concat();
    [header, wire_name("example.org"), vec![0, 6, 0, 1]].concat()
}

/// An update with very many small records, as long as a message can be. It is not signed, so it is refused.
fn large_update() -> Vec<u8> {
    const RECORDS: u16 = 4300;
    let header = [1, 5 << 11, 1, RECORDS, 0, 0].map(u16::to_be_bytes).concat();
    let record = [0, 0, 1, 0, 1, 0, 0, 0, 0, 0, 4, 1, 2, 3, 4];
    [header, wire_name("example.org"), vec![0, 6, 0, 1], record.repeat(RECORDS.into())].concat()
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes(), message].concat()
}

/// Asks by UDP for `time`, a query every 20 ms. Returns the longest time until a response.
fn longest_udp_response(server: SocketAddr, time: Duration) -> Duration {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.connect(server).and(socket.set_read_timeout(Some(2 * QUERY_DEADLINE))).expect("a socket");
    let (start, mut longest, mut id) = (Instant::now(), Duration::ZERO, 0);
    while start.elapsed() < time {
        id += 1;
        let asked = Instant::now();
        socket.send(&query(id)).expect("sent");
        let mut response = [0; 512];
        loop {
            socket.recv(&mut response).expect("a response");
            if response[..2] == id.to_be_bytes() {
                break;
            }
        }
        assert_eq!(response[3] & 15, 0, "NOERROR");
        longest = longest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    longest
}

/// Two hundred clients send the longest updates with very many short records, and read no response. The parsed records of
/// the waiting updates took about 2 GB.
#[test]
fn updates_of_many_records_whose_responses_are_not_read_stay_within_the_memory() {
    let server = names_server();
    let (address, update) = (server.address, framed(&large_update()));
    let attack = Attack::start(200, move |is_over| send_without_reading(address, &update, true, is_over));
    let longest = longest_udp_response(server.address, ATTACK_TIME);
    drop(attack);
    assert_memory_within_limit(&server);
    assert!(longest < QUERY_DEADLINE, "a query was answered after {longest:?}");
}

/// More clients than there are connections send one byte each and wait. They shut out all other clients.
#[test]
fn half_messages_that_fill_the_connection_table_shut_nobody_out() {
    let server = names_server();
    let mut half_messages: Vec<TcpStream> = (0..520).map(|_| connect(&server)).collect();
    for stream in &mut half_messages {
        // The server may have evicted the connection already.
        let _ = stream.write_all(&[0]);
    }
    thread::sleep(Duration::from_millis(200));
    for id in 0..20 {
        let mut sound = connect(&server);
        sound.write_all(&framed(&query(id))).expect("sent");
        let mut response = [0; 4];
        sound.read_exact(&mut response).expect("a response");
        assert_eq!(response[2..], id.to_be_bytes());
    }
}

/// An upstream that reads each request's head and then waits, and answers requests for `/ok` at once.
fn slow_upstream() -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).expect("an upstream");
    thread::spawn(move || {
        let mut waiting = Vec::new();
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut head = [0; 64];
            let read = stream.read(&mut head).unwrap_or(0);
            if head[..read].starts_with(b"GET /ok") {
                let _ =
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            } else {
                waiting.push(stream);
            }
        }
    });
    address
}

/// Asks the stream server for `time`, a request every 20 ms. Returns the longest time until a response.
fn longest_http_response(server: &Server, time: Duration) -> Duration {
    let (start, mut longest) = (Instant::now(), Duration::ZERO);
    while start.elapsed() < time {
        let asked = Instant::now();
        let mut client = connect(server);
        client.write_all(b"GET /ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").expect("sent");
        let mut response = String::new();
        client.read_to_string(&mut response).expect("a response");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        longest = longest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    longest
}

/// One client sends empty lines at full speed. They are allowed before a request, and the server read on without a
/// pause: others waited for seconds.
#[test]
fn a_client_that_sends_empty_lines_at_full_speed_does_not_delay_others() {
    let server = stream_server(slow_upstream());
    let (address, lines) = (server.address, b"\r\n".repeat(8192));
    let attack = Attack::start(1, move |is_over| send_without_reading(address, &lines, true, is_over));
    let longest = longest_http_response(&server, ATTACK_TIME);
    drop(attack);
    assert!(longest < Duration::from_secs(1), "a request was answered after {longest:?}");
}

/// Seven hundred clients send a long head of many fields and only the beginning of the body.
#[test]
fn long_heads_before_half_a_body_stay_within_the_memory() {
    let server = stream_server(slow_upstream());
    let fields: String = (0..90).map(|n| format!("a{n}: {}\r\n", "z".repeat(160))).collect();
    let request = format!("PUT /half HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n{fields}\r\nbegin");
    let address = server.address;
    let attack =
        Attack::start(700, move |is_over| send_without_reading(address, request.as_bytes(), false, is_over));
    thread::sleep(Duration::from_secs(1));
    longest_http_response(&server, ATTACK_TIME);
    drop(attack);
    assert_memory_within_limit(&server);
}
