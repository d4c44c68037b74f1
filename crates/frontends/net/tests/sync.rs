//! Tests of the checks on locks that are held across a wait or taken twice.

use lynxtally_net::coroutine::{catch_panic, spawn};
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::{assert_no_lock_held, lock, Shared};
use lynxtally_net::timer::Timer;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The longest time that a coroutine of these tests may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a function on a coroutine and returns the message of its panic.
fn panic_on_coroutine(work: impl FnOnce() + Send + 'static) -> Option<String> {
    let (sender, receiver) = channel();
    let watched = move || {
        let message = catch_panic(work).err().map(|panic| panic.to_string());
        sender.send(message).expect("the test waits");
    };
    spawn(0x4000, watched, |panic| panic!("{panic}")).expect("a coroutine");
    receiver.recv_timeout(TIMEOUT).expect("the coroutine ends instead of waiting")
}

fn connected_socket() -> Socket {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a listener");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    // The kernel keeps the connection in the accept queue, so it stays open and silent.
    std::mem::forget(listener);
    stream.set_nonblocking(true).expect("a mode");
    Socket::new(stream).expect("a socket")
}

/// Guards against a hang of all coroutines: one waits on its socket, on the timer or for a connection while it holds a
/// lock, and the next one that takes the lock blocks the worker thread.
#[test]
fn a_coroutine_that_would_wait_while_it_holds_a_lock_panics() {
    let address = TcpListener::bind(("127.0.0.1", 0)).and_then(|listener| listener.local_addr());
    let address = address.expect("an address");
    let timer = Timer::start().expect("a timer");
    let waits: [Box<dyn FnOnce() + Send>; 3] = [
        Box::new(|| connected_socket().wait()),
        Box::new(move || timer.sleep(Duration::from_millis(1))),
        Box::new(move || drop(Socket::connect(address, TIMEOUT))),
    ];
    for wait in waits {
        let state = Arc::new(Mutex::new(0));
        let locked = state.clone();
        let message = panic_on_coroutine(move || {
            let _guard = lock(&locked);
            wait();
        });
        let message = message.expect("a panic");
        assert!(message.starts_with("a coroutine waits while it holds the lock"), "{message}");
        assert!(message.contains(file!()), "the message names where the lock was taken: {message}");
        assert_eq!(*lock(&state), 0, "the panic has released the lock");
    }
}

#[test]
fn a_coroutine_that_has_released_its_locks_may_wait() {
    let timer = Timer::start().expect("a timer");
    let message = panic_on_coroutine(move || {
        let (first, second) = (Mutex::new(1), Shared::new(2));
        let first_guard = lock(&first);
        second.with(|value| *value += *first_guard);
        let third = Mutex::new(3);
        let third_guard = lock(&third);
        drop(first_guard);
        drop(third_guard);
        timer.sleep(Duration::from_millis(1));
    });
    assert_eq!(message, None);
}

/// Guards against a coroutine that blocks its worker thread on a lock that it holds itself.
#[test]
fn a_lock_that_is_taken_twice_panics_instead_of_blocking_the_thread() {
    let message = panic_on_coroutine(|| {
        let shared = Shared::new(0);
        shared.with(|_| shared.with(|value| *value += 1));
    });
    assert!(message.expect("a panic").contains("is taken again by its holder"));
}

#[test]
fn a_lock_that_another_thread_holds_is_waited_for() {
    let shared = Arc::new(Shared::new(0));
    let (entered, has_entered) = channel();
    let other = shared.clone();
    let holder = std::thread::spawn(move || {
        other.with(|value| {
            entered.send(()).expect("the test waits");
            std::thread::sleep(Duration::from_millis(50));
            *value += 1;
        });
    });
    has_entered.recv_timeout(TIMEOUT).expect("the lock is taken");
    assert_eq!(shared.with(|value| *value), 1);
    assert_no_lock_held();
    holder.join().expect("the holder ends");
}
