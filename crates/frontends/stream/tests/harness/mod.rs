//! A stream server on loopback with upstreams behind it, as used by the tests.

#![allow(dead_code)]

pub mod directory;
pub mod uploads;

use lynxtally_stream::server::{self, RunningServer, ServerCommand, ServerExit};
use lynxtally_stream::settings::{SettingsFile, StreamSettings};
use lynxtally_test_doubles::stream::{Client, Upstream};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other listener uses, so that ports cannot collide.
pub fn unused_address() -> SocketAddr {
    let n = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 19, (std::process::id() % 200) as u8, n], 0))
}

pub struct TestServer {
    running: RunningServer,
    pub address: SocketAddr,
    pub upstreams: Vec<Upstream>,
}

/// The settings of most tests, extended by `overrides`.
pub fn settings(upstreams: &[Upstream], overrides: serde_json::Value) -> StreamSettings {
    let mut file = serde_json::json!({
        "listen": [unused_address()],
        "upstreams": upstreams.iter().map(|upstream| upstream.address).collect::<Vec<_>>(),
        "stages": [
            {"name": "down", "methods": ["GET", "HEAD"], "utility": 1.0, "due_ms": 20_000, "limit_ms": 40_000,
             "effect": "restartable"},
            {"name": "log", "paths": ["/log", "/count", "/slow", "/break"], "utility": 4.0, "due_ms": 20_000,
             "limit_ms": 40_000, "effect": "restartable"},
            {"name": "mark", "paths": ["/mark"], "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000,
             "effect": "fingerprinted"},
            {"name": "once", "utility": 2.0, "due_ms": 20_000, "limit_ms": 40_000, "effect": "side-effecting"},
        ],
        "limits": {"memory_mb": 8, "floor_kb": 4, "window_kb": 256, "socket_kb": 32},
        "stop_ms": 4000, "grace_ms": 1000,
    });
    for (key, value) in overrides.as_object().expect("an object") {
        match (file.get_mut(key).and_then(|own| own.as_object_mut()), value.as_object()) {
            (Some(own), Some(value)) => own.extend(value.clone()),
            _ => file[key] = value.clone(),
        }
    }
    let file: SettingsFile = serde_json::from_value(file).expect("settings");
    file.check().expect("valid settings")
}

impl TestServer {
    pub fn start(count: usize, overrides: serde_json::Value) -> Self {
        let upstreams: Vec<Upstream> =
            (0..count).map(|_| Upstream::start(unused_address()).expect("an upstream")).collect();
        Self::with(settings(&upstreams, overrides), upstreams)
    }

    pub fn with(settings: StreamSettings, upstreams: Vec<Upstream>) -> Self {
        let running = server::start(settings, server::scheduling_policy).expect("a server");
        Self { address: running.listen_addresses[0], running, upstreams }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    pub fn begin_shutdown(&self) {
        self.running.commands.send(ServerCommand::Shutdown).expect("the server takes commands");
    }

    pub fn wait_for_exit(&self) -> (serde_json::Value, bool) {
        let ServerExit { counters, is_consistent } =
            self.running.exit.recv_timeout(Duration::from_secs(20)).expect("the server ends");
        (serde_json::from_str(&counters).expect("JSON"), is_consistent)
    }

    /// Shuts the server down, checks that each request received got exactly one response, and returns the
    /// counters.
    pub fn shut_down(self) -> serde_json::Value {
        self.begin_shutdown();
        let (counters, is_consistent) = self.wait_for_exit();
        assert!(is_consistent, "{counters}");
        self.upstreams.iter().for_each(Upstream::stop);
        counters
    }

    pub fn counters(&self) -> serde_json::Value {
        let (reply, replies) = std::sync::mpsc::channel();
        self.running.commands.send(ServerCommand::ReportCounters(reply)).expect("the server takes commands");
        let text = replies.recv_timeout(Duration::from_secs(10)).expect("the server reports its counters");
        serde_json::from_str(&text).expect("JSON")
    }

    /// Waits until the counters satisfy a condition.
    pub fn wait_until(&self, description: &str, mut condition: impl FnMut(&serde_json::Value) -> bool) {
        let start = Instant::now();
        loop {
            let counters = self.counters();
            if condition(&counters) {
                return;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "{description}: {counters}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
