//! Addresses for listeners while other threads start processes.

use lynxtally_fault_injection::free_address;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

const STARTING_THREADS: usize = 3;
/// Enough that some addresses are chosen just as a process starts.
const PROCESSES_PER_THREAD: usize = 300;

/// A process that is being started held a copy of the listener that had looked whether the address is free. The test's own
/// listener then failed with "address in use".
#[test]
fn a_free_address_can_be_listened_on_while_processes_start() {
    let start_processes = || {
        for _ in 0..PROCESSES_PER_THREAD {
            let mut process = Command::new("true").spawn().expect("a process");
            process.wait().expect("the process ends");
        }
    };
    let starting: Vec<_> = (0..STARTING_THREADS).map(|_| thread::spawn(start_processes)).collect();
    let (mut addresses, mut in_use) = (0, 0);
    while starting.iter().any(|thread| !thread.is_finished()) {
        addresses += 1;
        in_use += usize::from(TcpListener::bind(free_address()).is_err());
    }
    for thread in starting {
        thread.join().expect("each process was started");
    }
    assert_eq!(in_use, 0, "of {addresses} addresses");
}
