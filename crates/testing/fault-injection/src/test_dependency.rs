//! A dependency that several nodes call. It counts the calls that it is working on, including those whose caller has
//! disconnected, so that a test need not rely on the nodes' own counts.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The start and end of a call.
#[derive(Clone, Copy)]
struct FinishedCall {
    started: Instant,
    ended: Instant,
}

#[derive(Default)]
struct Counts {
    in_flight: AtomicU64,
    max_in_flight: AtomicU64,
    calls: AtomicU64,
    call_duration_ms: AtomicU64,
    /// The longest time that a call keeps running after its caller disconnected; `u64::MAX` if it always completes.
    cancellation_lag_ms: AtomicU64,
    finished: Mutex<Vec<FinishedCall>>,
}

/// A running dependency. It serves calls until the process ends. Clones share the counts.
#[derive(Clone)]
pub struct TestDependency {
    /// The address that the dependency listens on.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl TestDependency {
    /// Starts a dependency whose calls take `call_duration`. At first, calls run to completion when their callers disconnect.
    ///
    /// # Panics
    /// No port is free.
    pub fn start(call_duration: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let counts: Arc<Counts> = Arc::default();
        let dependency = Self { address, counts: counts.clone() };
        dependency.set_call_duration(call_duration);
        dependency.set_cancellation_lag(Duration::MAX);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counts = counts.clone();
                thread::spawn(move || serve(&stream, &counts));
            }
        });
        dependency
    }

    /// Sets how long later calls take.
    pub fn set_call_duration(&self, duration: Duration) {
        self.counts.call_duration_ms.store(duration.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets how long a call keeps running after its caller disconnected.
    pub fn set_cancellation_lag(&self, lag: Duration) {
        let millis = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self.counts.cancellation_lag_ms.store(millis, Ordering::Relaxed);
    }

    /// The largest mean number of calls in flight over any window of this length. Counts only calls that have ended.
    pub fn max_mean_in_flight(&self, window: Duration) -> f64 {
        let finished = self.counts.finished.lock().unwrap_or_else(PoisonError::into_inner);
        let mean_from = |from: Instant| {
            let in_window = |call: &FinishedCall| {
                call.ended.min(from + window).saturating_duration_since(call.started.max(from)).as_secs_f64()
            };
            finished.iter().map(in_window).sum::<f64>() / window.as_secs_f64()
        };
        // The mean is largest over a window that starts at the start of a call, or ends at the end of one.
        let starts = finished.iter().map(|call| call.started);
        let ends = finished.iter().filter_map(|call| call.ended.checked_sub(window));
        starts.chain(ends).map(mean_from).fold(0.0, f64::max)
    }

    /// The largest number of calls that were in flight at the same time.
    pub fn max_in_flight(&self) -> u64 {
        self.counts.max_in_flight.load(Ordering::Relaxed)
    }

    /// The number of calls in flight now.
    pub fn in_flight(&self) -> u64 {
        self.counts.in_flight.load(Ordering::Relaxed)
    }

    /// The number of calls received.
    pub fn calls(&self) -> u64 {
        self.counts.calls.load(Ordering::Relaxed)
    }
}

/// Serves the calls on one connection, one after another.
fn serve(stream: &TcpStream, counts: &Counts) {
    let mut reader = BufReader::new(stream);
    while let Some(body) = read_call(&mut reader) {
        counts.calls.fetch_add(1, Ordering::Relaxed);
        let in_flight = counts.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        counts.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
        let started = Instant::now();
        run_call(stream, counts, started);
        counts.in_flight.fetch_sub(1, Ordering::SeqCst);
        let call = FinishedCall { started, ended: Instant::now() };
        counts.finished.lock().unwrap_or_else(PoisonError::into_inner).push(call);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut writer = stream;
        if writer.write_all(&[head.as_bytes(), &body[..]].concat()).is_err() {
            return;
        }
    }
}

/// Reads the body of the next call; `None` if the connection ended.
fn read_call(reader: &mut BufReader<&TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    let mut length = 0;
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line).map_or(true, |read| read == 0) {
            return None;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Waits until a call is complete or, after its caller disconnected, until the cancellation lag is over.
fn run_call(stream: &TcpStream, counts: &Counts, started: Instant) {
    const PEEK_INTERVAL: Duration = Duration::from_millis(5);
    let mut end = started + Duration::from_millis(counts.call_duration_ms.load(Ordering::Relaxed));
    let mut caller_gone = false;
    loop {
        let now = Instant::now();
        if now >= end {
            return;
        }
        let lag_ms = counts.cancellation_lag_ms.load(Ordering::Relaxed);
        if caller_gone || lag_ms == u64::MAX {
            thread::sleep(end - now);
            continue;
        }
        // `peek` returns at once when the caller disconnects, and otherwise after the read timeout.
        let wait = PEEK_INTERVAL.min(end - now).max(Duration::from_micros(1));
        let _ = stream.set_read_timeout(Some(wait));
        caller_gone = matches!(stream.peek(&mut [0]), Ok(0));
        let _ = stream.set_read_timeout(None);
        if caller_gone {
            end = end.min(Instant::now() + Duration::from_millis(lag_ms));
        }
    }
}
