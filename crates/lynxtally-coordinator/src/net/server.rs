//! The HTTP server of a coordinator. Nodes use `/v1/say`, operators `/v1/order` and `/v1/state`, and other coordinators
//! `/v1/check` and the paths below `/v1/raft`.

use super::body::ReceivedBody;
use super::connections::{self, ConnectionHandle};
use super::{state_report, AcknowledgedIndex, StartupCheck, MAX_PEER_MESSAGE_BYTES};
use crate::leader::{Leader, WriteError};
use crate::store::SharedState;
use crate::Raft;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use lynxtally_messages::{
    decode, encode, AdminRequest, AdminResponse, NodeRequest, NodeResponse, Rejection, MAX_MESSAGE_BYTES,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::future::Future;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A replica that takes part in the replication.
#[derive(Clone)]
pub struct RunningReplica {
    /// openraft's handle of the replica.
    pub raft: Raft,
    /// Writes commands while this replica leads.
    pub leader: Leader,
}

/// The state shared by all request handlers.
#[derive(Clone)]
pub struct ServerState {
    /// The replicated state of this replica.
    pub state: SharedState,
    /// The replica; `None` until the startup check has passed.
    pub replica: watch::Receiver<Option<RunningReplica>>,
}

impl ServerState {
    fn leader(&self) -> Option<Leader> {
        self.replica.borrow().as_ref().map(|replica| replica.leader.clone())
    }

    fn raft(&self) -> Option<Raft> {
        self.replica.borrow().as_ref().map(|replica| replica.raft.clone())
    }
}

/// Serves requests until `shutdown` completes and the pending requests have their responses.
pub async fn serve(
    listener: TcpListener,
    state: ServerState,
    shutdown: impl Future<Output = ()> + Send + 'static,
) {
    let raft_routes = Router::new()
        .route("/v1/raft/append", post(append_entries))
        .route("/v1/raft/vote", post(vote))
        .route("/v1/raft/snapshot", post(install_snapshot))
        .layer(middleware::from_fn(|request, next| receive(request, next, MAX_PEER_MESSAGE_BYTES)));
    let routes = Router::new()
        .route("/v1/say", post(node_request))
        .route("/v1/order", post(admin_request))
        .route("/v1/state", get(report_state))
        .route("/v1/check", post(startup_check))
        .layer(middleware::from_fn(|request, next| receive(request, next, MAX_MESSAGE_BYTES)))
        .merge(raft_routes)
        // The bodies are received, and so limited, before the handlers.
        .layer(DefaultBodyLimit::disable())
        .with_state(state);
    connections::serve(listener, routes, shutdown).await;
}

/// Receives the whole body of a request within its limits, then has the request handled.
async fn receive(request: Request, next: Next, max_bytes: usize) -> Response {
    let connection = request.extensions().get::<ConnectionHandle>().cloned();
    let (parts, body) = request.into_parts();
    let received = ReceivedBody::read(Request::from_parts(parts.clone(), body), max_bytes).await;
    let received = match received {
        Ok(received) => received,
        Err(error) => return error.into_response(),
    };
    connection.iter().for_each(|connection| connection.set_busy(true));
    let response = received.handle(|bytes| next.run(Request::from_parts(parts, bytes.into()))).await;
    connection.iter().for_each(|connection| connection.set_busy(false));
    response
}

impl From<WriteError> for Rejection {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::NotLeader { leader } => Self::NotLeader { leader },
            WriteError::Replication(reason) => Self::Invalid { reason },
        }
    }
}

/// The rejection while this replica does not take part in the replication yet.
const NO_LEADER: Rejection = Rejection::NotLeader { leader: None };

async fn node_request(State(server): State<ServerState>, body: Bytes) -> Response {
    let response = match (decode::<NodeRequest>(&body), server.leader()) {
        (Err(error), _) => NodeResponse::Rejected(Rejection::Undecodable { reason: error.to_string() }),
        (Ok(_), None) => NodeResponse::Rejected(NO_LEADER),
        (Ok(request), Some(leader)) => {
            leader.node_request(request).await.unwrap_or_else(|error| NodeResponse::Rejected(error.into()))
        }
    };
    encode(&response).into_response()
}

async fn admin_request(State(server): State<ServerState>, body: Bytes) -> Response {
    let response = match (decode::<AdminRequest>(&body), server.leader()) {
        (Err(error), _) => AdminResponse::Rejected(Rejection::Undecodable { reason: error.to_string() }),
        (Ok(_), None) => AdminResponse::Rejected(NO_LEADER),
        (Ok(request), Some(leader)) => {
            leader.admin_request(request).await.unwrap_or_else(|error| AdminResponse::Rejected(error.into()))
        }
    };
    encode(&response).into_response()
}

async fn report_state(State(server): State<ServerState>) -> Response {
    let leader = server.leader().and_then(|leader| leader.current_leader());
    Json(server.state.read(|state| state_report::report(leader, state))).into_response()
}

/// Handles the startup check of another coordinator. Returns the highest log index that the other coordinator is known to
/// have acknowledged: the index in the replicated state, as of the last tick, or, if this replica leads, a higher index
/// acknowledged to this replica.
async fn startup_check(State(server): State<ServerState>, body: Bytes) -> Response {
    match serde_json::from_slice::<StartupCheck>(&body) {
        Err(error) => bad_request(&error),
        Ok(StartupCheck { id }) => {
            let at_last_tick = server.state.read(|state| state.acknowledged_index(id));
            let at_leader = server.leader().map_or(0, |leader| leader.acknowledged_index(id));
            Json(AcknowledgedIndex { index: at_last_tick.max(at_leader) }).into_response()
        }
    }
}

async fn append_entries(State(server): State<ServerState>, body: Bytes) -> Response {
    forward_to_raft(&server, &body, |raft, message| async move { raft.append_entries(message).await }).await
}

async fn vote(State(server): State<ServerState>, body: Bytes) -> Response {
    forward_to_raft(&server, &body, |raft, message| async move { raft.vote(message).await }).await
}

async fn install_snapshot(State(server): State<ServerState>, body: Bytes) -> Response {
    forward_to_raft(&server, &body, |raft, message| async move { raft.install_snapshot(message).await }).await
}

/// Passes another coordinator's message to openraft and returns its response.
async fn forward_to_raft<T, A, F>(
    server: &ServerState,
    body: &[u8],
    handle: impl FnOnce(Raft, T) -> F,
) -> Response
where
    T: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    let Some(raft) = server.raft() else {
        let reason = "this coordinator does not take part yet";
        return (StatusCode::SERVICE_UNAVAILABLE, reason).into_response();
    };
    match serde_json::from_slice(body) {
        Ok(message) => Json(handle(raft, message).await).into_response(),
        Err(error) => bad_request(&error),
    }
}

fn bad_request(error: &dyn fmt::Display) -> Response {
    (StatusCode::BAD_REQUEST, error.to_string()).into_response()
}
