//! The connections of a coordinator's server: how many there are, how long a request may take to arrive, and how much
//! memory they may hold before their requests are handled.
//!
//! Anybody who reaches the port can open connections. Without these limits, connections that send slowly or stop in the
//! middle of a request would take descriptors and memory without end.

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use lynxtally_net::connection_table::{ConnectionState, ConnectionTable, Inserted};
use lynxtally_net::memory_account::{AccountLimits, ConnectionMemory, MemoryAccount};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tracing::{debug, warn};

/// The most connections at the same time.
const MAX_CONNECTIONS: usize = 4096;
/// The time for a request's head to arrive. An idle connection is closed after it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The most bytes of a head, and of what is read ahead.
const HEAD_BUFFER_BYTES: usize = 8 * 1024;
/// The most fields of a head.
const MAX_FIELDS: usize = 64;
/// What an open connection costs: its task, its buffers with a head in them, and the allowance.
const CONNECTION_BYTES: usize = 24 * 1024;
/// What a connection may hold of a request's body without a charge. Heartbeats of other coordinators and most requests of
/// nodes are shorter.
const ALLOWANCE_BYTES: usize = 8 * 1024;
/// What all connections may hold: their fixed costs, and two of the longest messages between coordinators.
const ACCOUNT_BYTES: usize = MAX_CONNECTIONS * CONNECTION_BYTES + 2 * super::MAX_PEER_MESSAGE_BYTES;
/// The pause after a failed `accept`, which fails again at once if no descriptor is left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a request handler knows of its request's connection.
#[derive(Clone)]
pub struct ConnectionHandle {
    /// The memory that the connection may hold.
    pub memory: Arc<ConnectionMemory>,
    table: Arc<Table>,
    number: u64,
}

type Table = ConnectionTable<Arc<Notify>>;

impl ConnectionHandle {
    /// Records whether a complete request of the connection is being handled. It is not closed for others then.
    pub fn set_busy(&self, is_busy: bool) {
        let state = if is_busy { ConnectionState::Busy } else { ConnectionState::Idle };
        self.table.set_state(self.number, state);
    }
}

/// Accepts connections and serves them until `shutdown` completes and the pending requests have their responses.
pub async fn serve(listener: TcpListener, routes: Router, shutdown: impl Future<Output = ()>) {
    let connections = Connections {
        table: Arc::new(Table::new(MAX_CONNECTIONS)),
        account: MemoryAccount::new(AccountLimits {
            total: ACCOUNT_BYTES,
            max_connections: MAX_CONNECTIONS,
            per_connection: CONNECTION_BYTES,
            allowance: ALLOWANCE_BYTES,
        }),
        routes,
        graceful: GracefulShutdown::new(),
    };
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.open(stream),
                Err(error) => {
                    warn!(%error, "failed to accept a connection; retrying after a pause");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

struct Connections {
    table: Arc<Table>,
    account: Arc<MemoryAccount>,
    routes: Router,
    graceful: GracefulShutdown,
}

impl Connections {
    /// Serves a connection in a task of its own. If there are too many, the one is closed that has had no request for
    /// longest, or the new one if all others are busy.
    fn open(&self, stream: TcpStream) {
        let closed = Arc::new(Notify::new());
        let Ok(memory) = self.account.open_connection() else {
            return debug!("connection refused: the connections hold as much memory as they may");
        };
        let Ok(Inserted { number, evicted }) = self.table.insert(closed.clone()) else {
            return debug!("connection refused: all connections are busy");
        };
        if let Some(evicted) = evicted {
            evicted.notify_one();
        }
        // A failure is ignored: it means that the connection is already broken.
        let _ = stream.set_nodelay(true);
        let table = self.table.clone();
        let handle = ConnectionHandle { memory, table: table.clone(), number };
        let routes = self.routes.clone().layer(axum::Extension(handle));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_BUFFER_BYTES)
            .max_headers(MAX_FIELDS)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(routes));
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(error) = ended {
                    debug!(%error, "connection ended with an error");
                },
                () = closed.notified() => debug!("connection closed to make room for others"),
            }
            table.remove(number);
        });
    }
}
