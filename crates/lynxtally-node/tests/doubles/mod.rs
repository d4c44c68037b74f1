//! Test doubles on loopback for the programs that a node communicates with, and the node itself as a child process.

// Each test target uses only some of the items.
#![allow(dead_code, unused_imports)]

mod client;
mod dependency;
mod executor;
mod load;
mod node_process;

pub use client::{id, request, request_of_class, Client};
pub use dependency::{Behavior, FakeDependency};
pub use executor::FakeExecutor;
pub use load::{Load, SharedDependency};
pub use node_process::{config, Addresses, Exit, TestNode, PROGRAM};

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The timeout for waits that end the test, far longer than any awaited step takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls until the condition holds. Panics with the description after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
