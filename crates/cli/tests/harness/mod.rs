//! Servers as processes, as used by the tests.

#![allow(dead_code)]

use lynxtally_fault_injection::free_address;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A server process. It is killed at the end of the test.
pub struct Server {
    kind: &'static str,
    pub process: Child,
    pub folder: PathBuf,
    pub address: SocketAddr,
}

impl Server {
    /// Starts a server of this kind. `settings` gets the address to listen on and the server's folder.
    pub fn start(kind: &'static str, settings: impl FnOnce(SocketAddr, &str) -> String) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("lynxtally-hostile-{}-{number}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        let address = free_address();
        std::fs::write(folder.join("settings.jsonnet"), settings(address, &folder.display().to_string()))
            .expect("the settings");
        let process = Self::spawn(kind, &folder, address);
        Self { kind, process, folder, address }
    }

    fn spawn(kind: &str, folder: &Path, address: SocketAddr) -> Child {
        let process = Command::new(env!("CARGO_BIN_EXE_lynxtally"))
            .args([kind, "serve", "--log", "off", "--settings"])
            .arg(folder.join("settings.jsonnet"))
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        let start = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(start.elapsed() < Duration::from_secs(20), "the server listens");
            thread::sleep(Duration::from_millis(20));
        }
        process
    }

    /// Kills the process, and starts another one on the same folder.
    pub fn kill_and_restart(&mut self) {
        self.process.kill().expect("the process runs");
        self.process.wait().expect("the process ends");
        self.process = Self::spawn(self.kind, &self.folder, self.address);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // A failure means that the process has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
