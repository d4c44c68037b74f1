//! Several processes of the programs on loopback, with faults between them: relays that delay, lose, repeat and cut
//! ([`relay`]), processes that are killed, stopped and started again ([`process`]), members without a program round
//! them ([`member`]) whose records are summed ([`audit`]), and a ledger that counts for itself what is in its hands
//! ([`ledger`]).

#![forbid(unsafe_code)]

pub mod ask;
pub mod audit;
pub mod ledger;
pub mod member;
pub mod process;
pub mod relay;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(30);

/// Waits until something holds.
///
/// # Panics
/// It does not in a time that is long for any machine.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An address on loopback that nobody listens on: of this process alone, so that no other's connection has it.
///
/// # Panics
/// There is none.
pub fn address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let [high, low] = [process / 250 % 250, process % 250].map(|part| part as u8);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (number % 10_000) as u16;
        let at: SocketAddr = ([127, 100, high, low + 1], port).into();
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}
