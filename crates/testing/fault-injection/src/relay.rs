//! A relay between two processes that speak HTTP: whole messages, with faults.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Ports that are tried before a relay gives up.
const PORT_ATTEMPTS: usize = 100;

/// What goes wrong with messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Requests are lost: the connection is closed.
    pub drop_requests: bool,
    /// Responses are lost: the request arrives, and the connection is closed.
    pub drop_responses: bool,
    /// Requests are read and nothing comes back, nor does the connection end.
    pub stall: bool,
    /// Each request arrives this many times more.
    pub duplicates: u32,
    /// Each message is delayed by this.
    pub delay: Duration,
    /// A copy of each request arrives this much later, behind what was sent after it.
    pub late_copy: Option<Duration>,
}

impl Faults {
    /// Nothing gets through.
    pub const DROP_ALL: Self = Self {
        drop_requests: true,
        drop_responses: true,
        stall: false,
        duplicates: 0,
        delay: Duration::ZERO,
        late_copy: None,
    };
}

/// A relay.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

fn lock(faults: &Mutex<Faults>) -> MutexGuard<'_, Faults> {
    faults.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Relays to an address, without faults at first.
    ///
    /// # Panics
    /// There is no port.
    pub fn to(target: SocketAddr) -> Self {
        let bind = |_| TcpListener::bind(crate::free_address()).ok();
        let listener = (0..PORT_ATTEMPTS).find_map(bind).expect("a port");
        let address = listener.local_addr().expect("an address");
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let relay = Self { address, faults: faults.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let faults = faults.clone();
                // How a connection ends is what the test is about: nobody is told.
                thread::spawn(move || drop(relay_connection(&stream, target, &faults)));
            }
        });
        relay
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }
}

/// Reads one whole message: its head and its body.
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
            // Until the other side gives up.
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

/// Nobody waits for what comes of the copy.
fn send_late_copy(request: Vec<u8>, target: SocketAddr, later: Duration) {
    thread::spawn(move || {
        thread::sleep(later);
        drop(exchange(&request, target));
    });
}
