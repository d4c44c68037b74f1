//! A relay between an HTTP client and a server that forwards complete messages and injects faults.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// The number of ports that a new relay tries to listen on.
const PORT_ATTEMPTS: usize = 100;

/// The faults that a relay injects. By default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reads requests without forwarding them, then closes the connection.
    pub drop_requests: bool,
    /// Forwards requests, drops the responses, then closes the connection.
    pub drop_responses: bool,
    /// Reads requests without forwarding them, and keeps the connection open.
    pub stall: bool,
    /// Forwards each request this many additional times.
    pub duplicates: u32,
    /// Delays each request by this time.
    pub delay: Duration,
    /// Forwards a copy of each request after this time, when later requests have already been forwarded.
    pub late_copy: Option<Duration>,
}

impl Faults {
    /// Drops all requests and responses.
    pub const DROP_ALL: Self = Self {
        drop_requests: true,
        drop_responses: true,
        stall: false,
        duplicates: 0,
        delay: Duration::ZERO,
        late_copy: None,
    };
}

/// A running relay. It forwards messages until the process ends. Clones share the faults.
#[derive(Clone)]
pub struct Relay {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

fn lock(faults: &Mutex<Faults>) -> MutexGuard<'_, Faults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts a relay to `target`, without faults at first.
    ///
    /// # Panics
    /// No port is free.
    pub fn to(target: SocketAddr) -> Self {
        let bind = |_| TcpListener::bind(crate::free_address()).ok();
        let listener = (0..PORT_ATTEMPTS).find_map(bind).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let relay = Self { address, faults: faults.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let faults = faults.clone();
                // Errors are ignored: connections end with an error when faults are injected.
                thread::spawn(move || drop(relay_connection(&stream, target, &faults)));
            }
        });
        relay
    }

    /// Sets the faults for later requests. `drop_responses` also applies to requests that have no response yet.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }
}

/// Reads one complete HTTP message, head and body.
pub(crate) fn read_message(reader: &mut BufReader<&TcpStream>) -> io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut body_length = 0;
    loop {
        let line_start = message.len();
        if reader.read_until(b'\n', &mut message)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&message[line_start..]).to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            body_length = value.trim().parse().map_err(io::Error::other)?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let head_length = message.len();
    message.resize(head_length + body_length, 0);
    reader.read_exact(&mut message[head_length..])?;
    Ok(message)
}

fn relay_connection(stream: &TcpStream, target: SocketAddr, faults: &Mutex<Faults>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut requests = BufReader::new(stream);
    loop {
        let request = read_message(&mut requests)?;
        let now = *lock(faults);
        thread::sleep(now.delay);
        if now.drop_requests {
            return Ok(());
        }
        if now.stall {
            // Blocks until the client closes the connection.
            let _ = requests.read(&mut [0]);
            return Ok(());
        }
        if let Some(later) = now.late_copy {
            send_late_copy(request.clone(), target, later);
        }
        let mut response = exchange(&request, target)?;
        for _ in 0..now.duplicates {
            response = exchange(&request, target)?;
        }
        if now.drop_responses || lock(faults).drop_responses {
            return Ok(());
        }
        let mut back = stream;
        back.write_all(&response)?;
    }
}

fn exchange(request: &[u8], target: SocketAddr) -> io::Result<Vec<u8>> {
    let stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request)?;
    read_message(&mut BufReader::new(&stream))
}

/// Sends a copy of a request after `later` and ignores the response.
fn send_late_copy(request: Vec<u8>, target: SocketAddr, later: Duration) {
    thread::spawn(move || {
        thread::sleep(later);
        drop(exchange(&request, target));
    });
}
