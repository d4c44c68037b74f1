//! Child processes that a test can signal, kill and wait for, and the files that they need.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder. Dropping it removes the folder with its content.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder with a unique path that contains `name`.
    ///
    /// # Panics
    /// The folder can't be created.
    pub fn new(name: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("lynxtally-{name}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A child process. Dropping it kills the process.
pub struct Process(Option<Child>);

impl Process {
    /// Starts a program with one argument. Its output is appended to the file `log`.
    ///
    /// # Panics
    /// The program can't be started.
    pub fn start(program: &str, argument: &Path, log: &Path) -> Self {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file can be opened");
        let child = Command::new(program)
            .arg(argument)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file can be opened"))
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        Self(Some(child))
    }

    /// Sends a signal, given by its name such as `STOP`.
    ///
    /// # Panics
    /// The process has already ended.
    pub fn signal(&self, name: &str) {
        let id = self.0.as_ref().expect("the process was not killed or waited for").id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status().expect("`kill` can be run");
        assert!(sent.success());
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process ends by itself. Returns whether its exit status is 0.
    ///
    /// # Panics
    /// The process was killed or waited for before.
    pub fn wait_for_success(&mut self) -> bool {
        let mut child = self.0.take().expect("the process was not killed or waited for");
        child.wait().expect("the process can be waited for").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings of a coordinator as Jsonnet. `addresses[a][b]` is the address at which coordinator `a` reaches coordinator
/// `b`, such as that of a relay. `extra` is appended to the keys.
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
