//! A fake downstream dependency with configurable faults.

use super::{lock, wait_until, Client};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The minimum time between a response and the next call on its connection. A call that arrives earlier counts as
/// early, because the node could mistake late bytes after the response for the next response.
const QUIET_TIME: Duration = Duration::from_millis(20);

/// What the dependency does with calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Answers a call with the call's body.
    Echo,
    /// Refuses a call and declares that it was not executed.
    Refuse,
    /// Reads a call, and answers it after the behavior changes.
    Wait,
    /// Reads a call and never answers it.
    Hang,
    /// Reads a call and closes the connection.
    Close,
    /// Answers a call with bytes that are not a valid response.
    Garble,
}

/// A fake downstream dependency.
#[derive(Clone)]
pub struct FakeDependency(Arc<Mutex<State>>);

struct State {
    behavior: Behavior,
    calls: u32,
    early_calls: u32,
}

impl FakeDependency {
    /// Creates a dependency that echoes calls. It does not listen yet.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State { behavior: Behavior::Echo, calls: 0, early_calls: 0 })))
    }

    /// Listens on a new address, in addition to previous ones.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a socket");
        let address = listener.local_addr().expect("get the socket's address");
        let dependency = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let dependency = dependency.clone();
                thread::spawn(move || dependency.serve(Client::new(stream)));
            }
        });
        address
    }

    /// Serves the calls of one connection.
    fn serve(&self, mut connection: Client) {
        let mut last_response: Option<Instant> = None;
        while let Some((_, body)) = connection.message() {
            lock(&self.0).calls += 1;
            let is_early = last_response.is_some_and(|at| at.elapsed() < QUIET_TIME);
            lock(&self.0).early_calls += u32::from(is_early);
            wait_until("the dependency's behavior changes", || lock(&self.0).behavior != Behavior::Wait);
            let behavior = lock(&self.0).behavior;
            let response = match behavior {
                Behavior::Echo | Behavior::Wait => {
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                }
                Behavior::Refuse => "HTTP/1.1 503 Full\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n".into(),
                Behavior::Hang => continue,
                Behavior::Close => return,
                Behavior::Garble => "what?\r\n\r\n".into(),
            };
            last_response = Some(Instant::now());
            connection.send(&response);
        }
    }

    /// Changes the behavior for all connections.
    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.0).behavior = behavior;
    }

    /// Returns the number of calls that arrived within [`QUIET_TIME`] after a response on the same connection.
    pub fn early_calls(&self) -> u32 {
        lock(&self.0).early_calls
    }

    /// Returns the number of calls read so far.
    pub fn calls(&self) -> u32 {
        lock(&self.0).calls
    }
}
