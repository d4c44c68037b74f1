//! A DNS server in the test process, with a temporary folder of its own.

#![allow(dead_code)]

use lynxtally_dns::client::Client;
use lynxtally_dns::control::{self, Command};
use lynxtally_dns::server::{self, RunningServer, ServerEvent};
use lynxtally_dns::settings::{
    CheckedSettings, ClassesSettings, Limits, RawGrant, RawSettings, RawZoneSettings, TransferAccess,
};
use lynxtally_dns::tsig::{Algorithm, Key};
use lynxtally_test_doubles::dns::{Resolver, Updater, RESPONSE_TIMEOUT};
use lynxtally_zones::{Name, Serial};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const APEX: &str = "example.org";

pub fn name(zone_text: &str) -> Name {
    Name::parse(zone_text.as_bytes(), Some(&APEX.parse().expect("a name"))).expect("a name")
}

pub fn key() -> Arc<Key> {
    Arc::new(Key {
        name: "nodes.".parse().expect("a name"),
        algorithm: Algorithm::Sha256,
        secret: vec![7; 32],
    })
}

/// A temporary folder that is deleted at the end of the test.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("lynxtally-zones-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    pub fn write(&self, file: &str, zone_text: &str) -> PathBuf {
        let path = self.0.join(file);
        std::fs::write(&path, zone_text).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("its mode");
        path
    }

    pub fn zone(&self, serial: u32, rest: &str) {
        self.write("zone", &zone_text(serial, rest));
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn address() -> [u8; 4] {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    [127, 77, (number / 250) as u8, (number % 250) as u8 + 1]
}

pub fn zone_text(serial: u32, rest: &str) -> String {
    format!("$TTL 300\n@ SOA ns host {serial} 1 1 86400 60\n@ NS ns\nns A 192.0.2.1\n{rest}")
}

/// The settings of a primary whose files are in a folder.
pub fn primary(folder: &TempFolder) -> RawSettings {
    let keys =
        folder.write("keys", &format!("hmac-sha256 nodes {}\n", data_encoding::BASE64.encode(&[7; 32])));
    let grant = |kinds: &[&str]| RawGrant {
        key: "nodes".into(),
        name: None,
        tree: Some(APEX.into()),
        below: None,
        kinds: kinds.iter().map(|kind| (*kind).to_owned()).collect(),
    };
    RawSettings {
        // Each server has its own loopback address, so that no client's ephemeral port can occupy the server's port.
        listen: vec![(address(), 0).into()],
        state: folder.0.join("state"),
        zones: vec![RawZoneSettings {
            apex: APEX.into(),
            file: Some(folder.0.join("zone")),
            primaries: vec![],
            key: None,
            notify: vec![],
            transfer: TransferAccess { keys: vec!["nodes".into()], anyone: true },
            updates: vec![grant(&[])],
            refused_most: 5,
        }],
        keys: vec![keys],
        cookie_secret: None,
        stages: ClassesSettings::default(),
        limits: Limits { log_mb: 1, ..Limits::default() },
        stop_ms: 3000,
        grace_ms: 1000,
    }
}

/// The settings of a secondary with these primaries.
pub fn secondary(folder: &TempFolder, primaries: &[SocketAddr]) -> RawSettings {
    let mut file = primary(folder);
    let zone = &mut file.zones[0];
    (zone.file, zone.primaries, zone.key) = (None, primaries.to_vec(), Some("nodes".into()));
    zone.updates.clear();
    file
}

pub struct TestServer {
    pub address: SocketAddr,
    pub running: RunningServer,
    pub settings: CheckedSettings,
}

impl TestServer {
    pub fn start(file: RawSettings) -> Self {
        let settings = file.check().expect("the settings are valid");
        let running = server::start(settings.clone(), server::new_policy).expect("the server starts");
        Self { address: running.addresses[0], running, settings }
    }

    pub fn resolver(&self) -> Resolver {
        Resolver::new(([127, 0, 0, 1], 0).into(), self.address).expect("a socket")
    }

    pub fn updater(&self, id: u16) -> Updater {
        Updater::new(self.address, key(), name("@"), id).expect("a connection")
    }

    pub fn client(&self) -> Client {
        Client { server: self.address, key: Some(key()), timeout: RESPONSE_TIMEOUT }
    }

    pub fn command(&self, command: &Command) -> String {
        control::send(&self.settings.state, command).expect("the server replies")
    }

    pub fn serial(&self) -> Serial {
        self.client().serial(&name("@"), 1).unwrap_or_default()
    }

    /// Shuts the server down and returns its counters, which must be consistent.
    pub fn shut_down(self) -> String {
        self.running.events.push(ServerEvent::Shutdown);
        let ended = self.running.exit.recv_timeout(Duration::from_secs(20)).expect("the server stops");
        assert!(ended.counts_consistent, "{}", ended.counters);
        std::fs::remove_file(control::path(&self.settings.state)).expect("the control socket exists");
        ended.counters
    }
}

pub fn counter(line: &str, key: &str) -> u64 {
    let address =
        line.find(&format!("\"{key}\":")).unwrap_or_else(|| panic!("no {key} in {line}")) + key.len() + 3;
    line[address..].chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a number")
}

pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < RESPONSE_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
