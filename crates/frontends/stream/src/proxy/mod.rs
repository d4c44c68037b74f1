//! The driver of the proxy. Each client connection has a coroutine, and each request has one for its
//! connection to an upstream. Either of the two transfers the request's bytes in both directions as far as
//! possible, and then waits on its own socket. All decisions are made by the [`RequestManager`].

mod client_connection;
mod exchange;
mod request_direction;
mod response_direction;
mod upstream_connection;

pub(crate) use exchange::{ArchivedBody, BYTES_PER_TURN};

use crate::request_manager::RequestManager;
use crate::settings::StreamSettings;
use crate::upload_archive::UploadArchive;
use lynxtally_engine::Scheduler;
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection_table::ConnectionTable;
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::memory_account::MemoryAccount;
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::{lock, Shared};
use lynxtally_net::timer::Timer;
use may::io::WaitIoWaker;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// The size of a coroutine's stack, in words.
const STACK_WORDS: usize = 0x10000;

/// What an open connection costs: the touched pages of its stack, its entries in tables, and the allowance.
pub(crate) const CONNECTION_BYTES: usize = 12 * 1024;

/// What a connection may hold of a request's head without a charge.
pub(crate) const ALLOWANCE_BYTES: usize = 2 * 1024;

/// The most bytes that one read takes from a socket.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Bytes kept free for framing, beside the bytes that are read.
const FRAMING_BYTES: u64 = 64;

/// The most bytes that are read ahead from a client that sends its next request before the response.
const MAX_PIPELINED_BYTES: usize = 2 * 1024;

/// The time after which an idle connection is closed during a shutdown.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Lets other coroutines close the connection of a client.
struct ConnectionHandle {
    /// The connection is to be closed if it is between two requests.
    close: AtomicBool,
    /// The connection is to be closed unless a request is open, even in the middle of a head.
    is_evicted: AtomicBool,
    waker: WaitIoWaker,
}

impl ConnectionHandle {
    fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }
}

/// The state that all coroutines of a server share.
pub struct Proxy<P> {
    /// The manager of all requests.
    pub manager: Mutex<RequestManager<P>>,
    pub(crate) settings: StreamSettings,
    clock: Clock,
    connections: ConnectionTable<Arc<ConnectionHandle>>,
    account: Arc<MemoryAccount>,
    /// The listening sockets.
    pub listeners: ListenerSet,
    timer: Timer,
    pub(crate) fair_yield: FairYield,
    /// The buffer for all reads. One is enough, because a single worker thread runs all coroutines.
    pub(crate) scratch: Shared<Vec<u8>>,
    /// The archive of resumable uploads, if the settings name a directory for it.
    pub archive: Option<Arc<UploadArchive>>,
    weak_self: Weak<Self>,
}

/// What happens to a client's connection after a request.
pub(crate) enum AfterRequest {
    /// The connection is used for the next request.
    NextRequest,
    /// The connection is closed, for this reason.
    Close(CloseReason),
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Creates a proxy without connections.
    pub fn new(
        settings: StreamSettings,
        manager: RequestManager<P>,
        timer: Timer,
        fair_yield: FairYield,
        archive: Option<Arc<UploadArchive>>,
    ) -> Arc<Self> {
        let account = manager.account().clone();
        Arc::new_cyclic(|weak_self| Self {
            manager: Mutex::new(manager),
            clock: Clock::default(),
            connections: ConnectionTable::new(settings.limits.connections),
            account,
            listeners: ListenerSet::new(timer.clone()),
            timer,
            fair_yield,
            scratch: Shared::new(vec![0; SCRATCH_BYTES]),
            archive,
            settings,
            weak_self: weak_self.clone(),
        })
    }

    /// Limits the kernel's buffers of a connection. With thousands of stalled connections, these would take
    /// most of the memory.
    fn limit_buffers(&self, socket: &Socket) {
        let bytes = (self.settings.limits.socket_kb << 10) as usize;
        if bytes > 0 {
            socket.limit_buffers(bytes);
        }
    }

    /// Lets the manager handle expired timers and carry out the scheduler's decisions.
    pub fn run_manager(&self) {
        self.with_manager(|_, _| ());
    }

    /// Calls `work` with the manager under its lock, lets the manager carry out the scheduler's decisions,
    /// and sets the timer for its next run.
    pub fn with_manager<T>(&self, work: impl FnOnce(&mut RequestManager<P>, lynxtally::Instant) -> T) -> T {
        let mut manager = lock(&self.manager);
        let now = self.clock.now();
        let result = work(&mut manager, now);
        let wait = manager.run(now);
        drop(manager);
        if let Some(wait) = wait {
            let weak_self = self.weak_self.clone();
            self.timer.run_after(Duration::from_micros(wait.micros()), move || {
                if let Some(proxy) = weak_self.upgrade() {
                    proxy.run_manager();
                }
            });
        }
        result
    }

    /// All counters, as a JSON object.
    pub fn counters(&self, manager: &RequestManager<P>) -> serde_json::Value {
        let mut counters = manager.counters();
        if let Some(archive) = &self.archive {
            let uploads = archive.uploads.with(|uploads| uploads.counts());
            counters["uploads"] = uploads.uploads.into();
            counters["uploads_executed"] = uploads.executed.into();
            counters["uploads_record_octets"] = uploads.record_bytes.into();
        }
        counters
    }

    /// Closes connections that have been idle for too long. During a shutdown the timeout is shorter, but
    /// still long enough for a request that is on its way.
    pub fn sweep(&self, is_shutting_down: bool) {
        let idle_timeout = Duration::from_millis(self.settings.limits.idle_ms);
        for handle in self.connections.idle_for(if is_shutting_down {
            idle_timeout.min(SHUTDOWN_IDLE_TIMEOUT)
        } else {
            idle_timeout
        }) {
            handle.close.store(true, Ordering::Relaxed);
            handle.waker.wakeup();
        }
        let open = self.connections.len();
        let archive = self.archive.as_ref();
        let uploads = archive.map(|archive| archive.uploads.with(|uploads| uploads.record_bytes()));
        let mut manager = lock(&self.manager);
        manager.set_open_connections(open);
        manager.set_upload_record_bytes(uploads.unwrap_or(0));
    }
}

/// Identifies a client's machine by its IPv4 address, or by the network part of its IPv6 address.
pub(crate) fn caller_number(from: IpAddr) -> u64 {
    match from {
        IpAddr::V4(from) => u64::from(u32::from(from)),
        IpAddr::V6(from) => (u128::from(from) >> 64) as u64,
    }
}
