//! Shared code of the tests in which several nodes call one dependency: the configuration of the nodes, and their
//! load.

use super::{request, Client, TestNode};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The executor double stops a run after this time, which is longer than the clients' deadline.
const RUN_TIME: Duration = Duration::from_millis(1000);

/// The settings of a node for a dependency that it shares with other nodes.
pub struct SharedDependency {
    pub address: SocketAddr,
    /// This node's share of the concurrent calls that the dependency can handle.
    pub concurrent_calls: serde_json::Value,
    /// The time over which the number of concurrent calls is averaged.
    pub averaging_window: Duration,
    /// How long the dependency continues to execute a cancelled call.
    pub cancellation_lag: Duration,
}

impl SharedDependency {
    /// Writes the settings into a configuration, and sets deadlines of less than a second.
    pub fn configure(&self, config: &mut serde_json::Value) {
        config["ledger"] = self.address.to_string().into();
        for class in config["settings"]["lanes"].as_array_mut().expect("`lanes` is an array") {
            class["promise-ms"] = 700.into();
            class["deadline-ms"] = 900.into();
        }
        let specifics = &mut config["settings"]["specifics"];
        specifics["below"] = "shared".into();
        specifics["calls-out"] = self.concurrent_calls.clone();
        specifics["calls-over-ms"] = (self.averaging_window.as_millis() as u64).into();
        specifics["linger-ms"] = (self.cancellation_lag.as_millis() as u64).into();
    }

    /// Makes the node's executor double stop runs that are still waiting for their call after the clients' deadline,
    /// as real executors do.
    pub fn stop_runs_after_deadline(node: &TestNode) {
        node.executor.stop_runs_after(RUN_TIME);
    }
}

/// Clients that request more calls than the nodes' shares allow. Each connection sends one request after another
/// until this value is dropped.
pub struct Load {
    end: Arc<AtomicBool>,
    completed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Opens one connection for each address. `reconnect_pause` is the pause before another attempt to connect,
    /// `failure_pause` the pause after a request that did not complete.
    pub fn start(
        addresses: impl Iterator<Item = SocketAddr>,
        reconnect_pause: Duration,
        failure_pause: Duration,
    ) -> Self {
        let (end, completed) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let start_connection = |(connection, address): (u64, SocketAddr)| {
            let client = LoadClient {
                address,
                end: end.clone(),
                completed: completed.clone(),
                reconnect_pause,
                failure_pause,
            };
            thread::spawn(move || client.run(connection << 32))
        };
        let threads = (1..).zip(addresses).map(start_connection).collect();
        Self { end, completed, threads }
    }

    /// Returns the number of requests completed so far.
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct LoadClient {
    address: SocketAddr,
    end: Arc<AtomicBool>,
    completed: Arc<AtomicU64>,
    reconnect_pause: Duration,
    failure_pause: Duration,
}

impl LoadClient {
    /// Sends requests whose ids count up from this number. Reconnects if the connection breaks.
    fn run(&self, mut number: u64) {
        while !self.is_over() {
            match TcpStream::connect(self.address) {
                Ok(stream) => self.send_until_broken(Client::new(stream), &mut number),
                Err(_) => thread::sleep(self.reconnect_pause),
            }
        }
    }

    fn send_until_broken(&self, mut client: Client, number: &mut u64) {
        while !self.is_over() {
            *number += 1;
            if !client.try_send(&request(*number, "call:x")) {
                return;
            }
            let Some((head, _)) = client.message() else { return };
            if head.starts_with("HTTP/1.1 200") {
                self.completed.fetch_add(1, Ordering::Relaxed);
            } else {
                thread::sleep(self.failure_pause);
            }
        }
    }

    fn is_over(&self) -> bool {
        self.end.load(Ordering::Relaxed)
    }
}
