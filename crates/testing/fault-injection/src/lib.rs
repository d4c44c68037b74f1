//! Several processes of the programs on loopback, with faults between them: relays that delay, lose, repeat and cut
//! ([`relay`]), processes that are killed, paused and started again ([`process`]), nodes without a program round them
//! ([`test_node`]) whose leases are summed ([`lease_audit`]), and a ledger that counts for itself what is in flight there
//! ([`test_dependency`]).

#![forbid(unsafe_code)]

pub mod http_client;
pub mod lease_audit;
pub mod process;
pub mod relay;
pub mod test_dependency;
pub mod test_node;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Far longer than anything here takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// A pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until something holds.
///
/// # Panics
/// It does not in a time that is long for any machine.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// An address on loopback that nobody listens on. It is of this process alone: another's connection can't have its port.
///
/// # Panics
/// There is none.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let [high, low] = [process / 250 % 250, process % 250].map(|part| part as u8);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (number % 10_000) as u16;
        let address: SocketAddr = ([127, 100, high, low + 1], port).into();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
