//! The proxy's driver: a coroutine for each connection of a client, and one for each request's connection to an upstream.
//! Either of the two transfers the request's bytes, both ways, as far as it goes, and then waits on its own socket; what
//! is decided is decided by the owner.

mod client_connection;
mod exchange;
mod request_direction;
mod response_direction;
mod upstream_connection;

pub(crate) use exchange::ArchivedBody;

use crate::request_manager::Owner;
use crate::settings::Checked;
use crate::upload_archive::UploadArchive;
use lynxtally_engine::Scheduler;
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection_table::ConnectionTable;
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;
use may::io::WaitIoWaker;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// The size of a coroutine's stack, in words.
const STACK_WORDS: usize = 0x10000;

/// The most that one read takes.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Room for the framing of what is read.
const FRAMING_BYTES: u64 = 64;

/// The most that is read of a client that sends more before the response.
const MAX_PIPELINED_BYTES: usize = 2 * 1024;

/// During a shutdown, an idle connection is closed after so long.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Closes the connection of a client.
struct ConnectionHandle {
    close: AtomicBool,
    waker: WaitIoWaker,
}

/// What all coroutines of a server share.
pub struct Proxy<P> {
    /// The owner of all streams.
    pub owner: Mutex<Owner<P>>,
    pub(crate) settings: Checked,
    clock: Clock,
    connections: ConnectionTable<Arc<ConnectionHandle>>,
    /// The listeners.
    pub listeners: ListenerSet,
    timer: Timer,
    fair_yield: FairYield,
    /// What is read goes through this one buffer, as one worker runs all coroutines.
    pub(crate) scratch: Mutex<Vec<u8>>,
    /// Resumable uploads.
    pub archive: Option<Arc<UploadArchive>>,
    own: Weak<Self>,
}

/// What becomes of a client's connection after a request.
pub(crate) enum AfterRequest {
    /// It is used for the next request.
    NextRequest,
    /// It ends.
    Close(CloseReason),
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// A proxy with these settings.
    pub fn new(
        settings: Checked,
        owner: Owner<P>,
        timer: Timer,
        fair_yield: FairYield,
        archive: Option<Arc<UploadArchive>>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|own| Self {
            owner: Mutex::new(owner),
            clock: Clock::default(),
            connections: ConnectionTable::new(settings.limits.connections),
            listeners: ListenerSet::new(timer.clone()),
            timer,
            fair_yield,
            scratch: Mutex::new(vec![0; SCRATCH_BYTES]),
            archive,
            settings,
            own: own.clone(),
        })
    }

    /// Bounds what the kernel buffers for a connection: with thousands that stall, that is most of the memory.
    fn limit_buffers(&self, socket: &Socket) {
        let octets = (self.settings.limits.socket_kb << 10) as usize;
        if octets > 0 {
            socket.limit_buffers(octets);
        }
    }

    /// Handles expired timers and decides.
    pub fn turn(&self) {
        self.with(|_, _| ());
    }

    /// Does something with the owner, has it decide, and sets the timer for its next decision.
    pub fn with<T>(&self, work: impl FnOnce(&mut Owner<P>, lynxtally::Instant) -> T) -> T {
        let mut owner = lock(&self.owner);
        let now = self.clock.now();
        let done = work(&mut owner, now);
        let wait = owner.turn(now);
        drop(owner);
        if let Some(wait) = wait {
            let own = self.own.clone();
            self.timer.run_after(Duration::from_micros(wait.micros()), move || {
                if let Some(own) = own.upgrade() {
                    own.turn();
                }
            });
        }
        done
    }

    /// Closes connections that are idle for too long; during a shutdown sooner, but late enough for a request that is on
    /// its way.
    pub fn sweep(&self, leaving: bool) {
        let idle = Duration::from_millis(self.settings.limits.idle_ms);
        for handle in self.connections.idle_for(if leaving { idle.min(SHUTDOWN_IDLE_TIMEOUT) } else { idle })
        {
            handle.close.store(true, Ordering::Relaxed);
            handle.waker.wakeup();
        }
        let open = self.connections.len();
        lock(&self.owner).connections(open);
    }
}

/// A number for a client's machine: its IPv4 address, or the network part of its IPv6 address.
pub(crate) fn caller(from: IpAddr) -> u64 {
    match from {
        IpAddr::V4(from) => u64::from(u32::from(from)),
        IpAddr::V6(from) => (u128::from(from) >> 64) as u64,
    }
}
