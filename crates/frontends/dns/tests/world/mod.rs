//! A names server in this process, in a folder of its own.

use lynxtally_dns::client::Client;
use lynxtally_dns::control::{self, Verb};
use lynxtally_dns::server::{self, Heard, Running};
use lynxtally_dns::settings::{Checked, File, GrantFile, Limits, Stages, Transfer, ZoneFile};
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

pub fn name(text: &str) -> Name {
    Name::parse(text.as_bytes(), Some(&APEX.parse().expect("a name"))).expect("a name")
}

pub fn key() -> Arc<Key> {
    Arc::new(Key {
        name: "nodes.".parse().expect("a name"),
        algorithm: Algorithm::Sha256,
        secret: vec![7; 32],
    })
}

/// A folder that goes with the story.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("lynxtally-zones-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    pub fn write(&self, file: &str, text: &str) -> PathBuf {
        let path = self.0.join(file);
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("its mode");
        path
    }

    pub fn zone(&self, serial: u32, rest: &str) {
        self.write("zone", &text(serial, rest));
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn address() -> [u8; 4] {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    [127, 77, (number / 250) as u8, (number % 250) as u8 + 1]
}

pub fn text(serial: u32, rest: &str) -> String {
    format!("$TTL 300\n@ SOA ns host {serial} 1 1 86400 60\n@ NS ns\nns A 192.0.2.1\n{rest}")
}

/// The settings of a primary in a folder.
pub fn primary(folder: &Folder) -> File {
    let keys =
        folder.write("keys", &format!("hmac-sha256 nodes {}\n", data_encoding::BASE64.encode(&[7; 32])));
    let grant = |kinds: &[&str]| GrantFile {
        key: "nodes".into(),
        name: None,
        tree: Some(APEX.into()),
        below: None,
        kinds: kinds.iter().map(|kind| (*kind).to_owned()).collect(),
    };
    File {
        // An address of its own: what others connect from can't be in its way.
        listen: vec![(address(), 0).into()],
        state: folder.0.join("state"),
        zones: vec![ZoneFile {
            apex: APEX.into(),
            file: Some(folder.0.join("zone")),
            primaries: vec![],
            key: None,
            notify: vec![],
            transfer: Transfer { keys: vec!["nodes".into()], anyone: true },
            updates: vec![grant(&[])],
            refused_most: 5,
        }],
        keys: vec![keys],
        cookie_secret: None,
        stages: Stages::default(),
        limits: Limits { log_mb: 1, ..Limits::default() },
        stop_ms: 3000,
        grace_ms: 1000,
    }
}

/// The settings of a secondary of some primaries.
pub fn secondary(folder: &Folder, primaries: &[SocketAddr]) -> File {
    let mut file = primary(folder);
    let zone = &mut file.zones[0];
    (zone.file, zone.primaries, zone.key) = (None, primaries.to_vec(), Some("nodes".into()));
    zone.updates.clear();
    file
}

pub struct World {
    pub at: SocketAddr,
    pub running: Running,
    pub settings: Checked,
}

impl World {
    pub fn start(file: File) -> Self {
        let settings = file.check().expect("they fit");
        let running = server::start(settings.clone(), server::module).expect("it starts");
        Self { at: running.listen[0], running, settings }
    }

    pub fn resolver(&self) -> Resolver {
        Resolver::new(([127, 0, 0, 1], 0).into(), self.at).expect("a socket")
    }

    pub fn updater(&self, id: u16) -> Updater {
        Updater::new(self.at, key(), name("@"), id).expect("a connection")
    }

    pub fn client(&self) -> Client {
        Client { server: self.at, key: Some(key()), patience: RESPONSE_TIMEOUT }
    }

    pub fn say(&self, verb: &Verb) -> String {
        control::ask(&self.settings.state, verb).expect("it answers")
    }

    pub fn serial(&self) -> Serial {
        self.client().serial(&name("@"), 1).unwrap_or_default()
    }

    /// Leaves; tells the counters, which must add up.
    pub fn leave(self) -> String {
        self.running.ear.say(Heard::Leave);
        let ended = self.running.end.recv_timeout(Duration::from_secs(20)).expect("it ends");
        assert!(ended.adds_up, "{}", ended.counters);
        std::fs::remove_file(control::path(&self.settings.state)).expect("it is there");
        ended.counters
    }
}

pub fn count(line: &str, key: &str) -> u64 {
    let at =
        line.find(&format!("\"{key}\":")).unwrap_or_else(|| panic!("no {key} in {line}")) + key.len() + 3;
    line[at..].chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a number")
}

pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < RESPONSE_TIMEOUT, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
