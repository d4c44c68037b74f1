//! Tools for tests that run several processes on loopback and inject faults:
//!
//! - [`relay`]: a relay between two processes that delays, drops or duplicates HTTP messages.
//! - [`process`]: processes that a test can kill, pause and restart.
//! - [`test_node`]: a node that consists of a lease client only. It records its leases in a [`lease_audit`], which sums the
//!   leases of all nodes.
//! - [`test_dependency`]: a dependency that counts the calls in flight, independently of the callers' own counts.

#![forbid(unsafe_code)]

pub mod http_client;
pub mod lease_audit;
pub mod process;
pub mod relay;
pub mod test_dependency;
pub mod test_node;

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longer than any condition takes to become true, even on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition is true. `description` names the condition in the panic message.
///
/// # Panics
/// The condition is still false after 30 seconds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition not met within {WAIT_TIMEOUT:?}: {description}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A loopback address that nobody listens on. The IP address is derived from the process ID, so that a connection of another
/// process can't take the port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process_id = std::process::id();
    let [high, low] = [process_id / 250 % 250, process_id % 250].map(|part| part as u8);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (number % 10_000) as u16;
        let address: SocketAddr = ([127, 100, high, low + 1], port).into();
        if can_bind(address) {
            return address;
        }
    }
}

/// Whether a listener could bind this address. The socket never listens: a process that another thread starts meanwhile
/// holds a copy of it until it executes its program, and a copy that listens would keep the address in use.
fn can_bind(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket is free");
    socket.set_reuse_address(true).expect("the option exists");
    socket.bind(&address.into()).is_ok()
}
