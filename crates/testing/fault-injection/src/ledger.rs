//! A ledger that counts for itself what is in its hands: also calls whose callers are gone.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The counts.
#[derive(Default)]
struct Counts {
    in_hand: AtomicU64,
    most: AtomicU64,
    calls: AtomicU64,
    takes_ms: AtomicU64,
    /// For how long one whose caller is gone stays in hand, at most; else as long as it takes.
    lingers_ms: AtomicU64,
    /// When each call came and was out of hand.
    record: Mutex<Vec<(Instant, Instant)>>,
}

/// The ledger.
#[derive(Clone)]
pub struct Ledger {
    /// Where it listens.
    pub at: SocketAddr,
    counts: Arc<Counts>,
}

impl Ledger {
    /// A ledger whose calls take so long.
    ///
    /// # Panics
    /// There is no port.
    pub fn start(takes: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let counts: Arc<Counts> = Arc::default();
        let ledger = Self { at, counts: counts.clone() };
        ledger.takes(takes);
        ledger.lingers(Duration::MAX);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counts = counts.clone();
                thread::spawn(move || serve(&stream, &counts));
            }
        });
        ledger
    }

    /// Calls that come from now on take so long.
    pub fn takes(&self, takes: Duration) {
        self.counts.takes_ms.store(takes.as_millis() as u64, Ordering::Relaxed);
    }

    /// Calls whose callers are gone stay in hand for so long at most.
    pub fn lingers(&self, lingers: Duration) {
        let millis = u64::try_from(lingers.as_millis()).unwrap_or(u64::MAX);
        self.counts.lingers_ms.store(millis, Ordering::Relaxed);
    }

    /// The largest mean of calls in hand over any span so long, of those that are out of hand by now.
    pub fn most_mean(&self, over: Duration) -> f64 {
        let record = self.counts.record.lock().unwrap_or_else(PoisonError::into_inner);
        let within = |from: Instant| {
            let held = |&(came, gone): &(Instant, Instant)| {
                gone.min(from + over).saturating_duration_since(came.max(from)).as_secs_f64()
            };
            record.iter().map(held).sum::<f64>() / over.as_secs_f64()
        };
        // The largest is over a span that begins as a call comes, or ends as one goes.
        let begins = record.iter().map(|(came, _)| *came);
        let ends = record.iter().filter_map(|(_, gone)| gone.checked_sub(over));
        begins.chain(ends).map(within).fold(0.0, f64::max)
    }

    /// How many calls were in hand at most at one moment.
    pub fn most(&self) -> u64 {
        self.counts.most.load(Ordering::Relaxed)
    }

    /// How many are now.
    pub fn in_hand(&self) -> u64 {
        self.counts.in_hand.load(Ordering::Relaxed)
    }

    /// How many calls came.
    pub fn calls(&self) -> u64 {
        self.counts.calls.load(Ordering::Relaxed)
    }
}

fn serve(stream: &TcpStream, counts: &Counts) {
    let mut from = BufReader::new(stream);
    loop {
        let (mut line, mut length) = (String::new(), 0);
        loop {
            line.clear();
            if from.read_line(&mut line).map_or(true, |n| n == 0) {
                return;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        if from.read_exact(&mut body).is_err() {
            return;
        }
        counts.calls.fetch_add(1, Ordering::Relaxed);
        let now = counts.in_hand.fetch_add(1, Ordering::SeqCst) + 1;
        counts.most.fetch_max(now, Ordering::SeqCst);
        let came = Instant::now();
        hold(stream, counts, came);
        counts.in_hand.fetch_sub(1, Ordering::SeqCst);
        counts.record.lock().unwrap_or_else(PoisonError::into_inner).push((came, Instant::now()));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let mut to = stream;
        if to.write_all(&[head.as_bytes(), &body[..]].concat()).is_err() {
            return;
        }
    }
}

/// Has a call in hand until it is done, or for as long as it lingers after its caller went.
fn hold(stream: &TcpStream, counts: &Counts, came: Instant) {
    const LOOK: Duration = Duration::from_millis(5);
    let mut until = came + Duration::from_millis(counts.takes_ms.load(Ordering::Relaxed));
    let mut gone = false;
    loop {
        let now = Instant::now();
        if now >= until {
            return;
        }
        let lingers = counts.lingers_ms.load(Ordering::Relaxed);
        if gone || lingers == u64::MAX {
            thread::sleep(until - now);
        } else {
            // A look that waits: the caller's end is seen at once, anything else after a moment.
            let _ = stream.set_read_timeout(Some(LOOK.min(until - now).max(Duration::from_micros(1))));
            gone = matches!(stream.peek(&mut [0]), Ok(0));
            let _ = stream.set_read_timeout(None);
            if gone {
                until = until.min(Instant::now() + Duration::from_millis(lingers));
            }
        }
    }
}
