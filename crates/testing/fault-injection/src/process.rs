//! Processes of the programs, ended and stopped by their ids.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder that is removed when it is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// A new one.
    ///
    /// # Panics
    /// It can't be made.
    pub fn new(name: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("lynxtally-{name}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process.
pub struct Process(Option<Child>);

impl Process {
    /// Starts a program with one argument; its log goes to a file.
    ///
    /// # Panics
    /// It can't be started.
    pub fn start(program: &str, argument: &Path, log: &Path) -> Self {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new(program)
            .arg(argument)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("it starts");
        Self(Some(child))
    }

    /// Sends a signal by its name.
    ///
    /// # Panics
    /// It is over already.
    pub fn signal(&self, name: &str) {
        let id = self.0.as_ref().expect("it runs").id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status().expect("kill is there");
        assert!(sent.success());
    }

    /// Kills it, and waits until it is gone.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its end; whether it ended with success.
    ///
    /// # Panics
    /// It was waited for before.
    pub fn wait_for_success(&mut self) -> bool {
        let mut child = self.0.take().expect("it runs");
        child.wait().expect("it ends").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings of a coordinator. `addresses[a][b]` is where coordinator `a` reaches `b`, so that faults can be put
/// between them; `extra` is further keys.
pub fn coordinator_settings(
    addresses: &[Vec<SocketAddr>],
    coordinator: usize,
    folder: &Path,
    extra: &str,
) -> String {
    let quoted: Vec<String> = addresses[coordinator].iter().map(|address| format!("'{address}'")).collect();
    format!(
        "{{ id: {}, keepers: [{}], folder: '{}', election_ms: 150, tick_ms: 25{extra} }}",
        coordinator + 1,
        quoted.join(", "),
        folder.display()
    )
}
