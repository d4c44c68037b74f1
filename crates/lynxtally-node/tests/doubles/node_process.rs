//! A node as a child process, connected to test doubles.

use super::{wait_until, Client, FakeDependency, FakeExecutor, TEST_TIMEOUT};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The path of the node's program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_lynxtally-node");
/// The default descriptor limit of a test node, far more than it needs.
const DEFAULT_MAX_DESCRIPTORS: u32 = 1024;

/// The addresses in the configuration of a node.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub dependency: SocketAddr,
    pub control_plane: SocketAddr,
}

impl Addresses {
    /// Uses the same address for all, for configurations that are never connected.
    pub fn all(address: SocketAddr) -> Self {
        Self { listen: address, executor: address, dependency: address, control_plane: address }
    }
}

/// Returns a configuration with two request classes: `a` with a long deadline, `b` with a short one.
pub fn config(addresses: Addresses) -> String {
    let Addresses { listen, executor, dependency, control_plane } = addresses;
    format!(
        r#"{{"name":"n1","listen":"{listen}","kernel":"{executor}","ledger":"{dependency}","control":"{control_plane}",
        "seed":"8c1f30d27a5be964","stop_ms":3000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":64}},"settings":{{
        "lanes":[{{"name":"a","importance":1,"promise-ms":10000,"deadline-ms":15000,"idempotency":"pure"}},
        {{"name":"b","importance":1,"promise-ms":1000,"deadline-ms":3000,"idempotency":"pure"}}],
        "rules":{{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":8,"warm-after-ms":9000}},
        "specifics":{{"cores":4,"blowup":2,"ram-kb":90000,"say":"credit","heeded-ms":1000,"stop-mode":"pause",
        "gauges":["cpu_busy","runnable","mem_used","sockets"],"class-calls":[true,true],"idle-ms":30000}}}}}}"#
    )
}

/// A node process with its own test doubles.
pub struct TestNode {
    process: Option<Child>,
    pub address: SocketAddr,
    pub executor: FakeExecutor,
    pub dependency: FakeDependency,
    pub control_plane: UdpSocket,
    folder: PathBuf,
    /// The initial configuration.
    pub config_text: String,
    max_descriptors: u32,
}

/// The end of a node process.
pub struct Exit {
    /// Whether the exit code was zero.
    pub succeeded: bool,
    /// The standard output, which has the printed counters.
    pub output: String,
}

impl TestNode {
    /// Starts a node and waits until it is healthy.
    pub fn start() -> Self {
        Self::with_descriptors(DEFAULT_MAX_DESCRIPTORS)
    }

    /// Starts a node with this descriptor limit, independent of its configuration, and waits until it is healthy.
    pub fn with_descriptors(max_descriptors: u32) -> Self {
        Self::start_with(max_descriptors, |text| text)
    }

    /// Starts a node with a changed configuration and waits until it is healthy.
    pub fn with_config(change: impl FnOnce(String) -> String) -> Self {
        Self::start_with(DEFAULT_MAX_DESCRIPTORS, change)
    }

    /// Starts a node with this descriptor limit and a changed configuration, and waits until it is healthy.
    pub fn start_with(max_descriptors: u32, change: impl FnOnce(String) -> String) -> Self {
        let node = Self::spawn(max_descriptors, change);
        wait_until("the node is healthy", || node.is_healthy());
        node
    }

    /// Starts a node with a changed configuration without waiting until it is healthy.
    pub fn spawn_with_config(change: impl FnOnce(String) -> String) -> Self {
        Self::spawn(DEFAULT_MAX_DESCRIPTORS, change)
    }

    fn spawn(max_descriptors: u32, change: impl FnOnce(String) -> String) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("lynxtally-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the folder");
        let executor = FakeExecutor::new();
        let dependency = FakeDependency::new();
        let control_plane = UdpSocket::bind("127.0.0.1:0").expect("bind a socket");
        control_plane.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the timeout");
        let address = unique_address(number);
        let config_text = change(config(Addresses {
            listen: address,
            executor: executor.listen(),
            dependency: dependency.listen(),
            control_plane: control_plane.local_addr().expect("get the socket's address"),
        }));
        std::fs::write(folder.join("config.json"), &config_text).expect("write the file");
        let mut node = Self {
            process: None,
            address,
            executor,
            dependency,
            control_plane,
            folder,
            config_text,
            max_descriptors,
        };
        node.restart();
        node
    }

    /// Kills the node if it runs and starts it again with the same name and address, without waiting until it is
    /// healthy.
    pub fn restart(&mut self) {
        self.kill();
        self.executor.restart();
        let start = format!("ulimit -n {}; exec \"$0\" \"$1\"", self.max_descriptors);
        let process = Command::new("sh")
            .args(["-c", &start, PROGRAM])
            .arg(self.folder.join("config.json"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the node");
        self.process = Some(process);
    }

    /// Whether health checks report that the node is healthy.
    pub fn is_healthy(&self) -> bool {
        TcpStream::connect(self.address).is_ok_and(|stream| {
            let mut client = Client::new(stream);
            client.try_send("GET /alive HTTP/1.1\r\n\r\n")
                && client.message().is_some_and(|(head, _)| head.starts_with("HTTP/1.1 200"))
        })
    }

    /// Kills the node with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the number of descriptors that the node has open.
    pub fn open_descriptors(&self) -> usize {
        let process = self.process.as_ref().expect("the node is running").id();
        std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
    }

    /// Opens a new connection to the node.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends the signal with this name to the node.
    pub fn signal(&self, name: &str) {
        let process = self.process.as_ref().expect("the node is running").id().to_string();
        let sent =
            Command::new("kill").args(["-s", name, &process]).status().expect("run the `kill` command");
        assert!(sent.success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config_text: &str) {
        std::fs::write(self.folder.join("config.json"), config_text).expect("write the file");
        self.signal("HUP");
    }

    /// Waits for the end of the node process.
    pub fn wait(&mut self) -> Exit {
        let process = self.process.take().expect("the node is running");
        let Output { status, stdout, .. } = process.wait_with_output().expect("wait for the node");
        Exit { succeeded: status.success(), output: String::from_utf8(stdout).expect("valid UTF-8") }
    }
}

/// Returns a loopback address that only one node of this test process uses, so that no connection of another node can
/// occupy its port.
fn unique_address(number: u32) -> SocketAddr {
    let process = std::process::id();
    let [high, low] = [process / 250 % 250, process % 250].map(|part| part as u8);
    ([127, 10 + number as u8, high, low + 1], 8443).into()
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
