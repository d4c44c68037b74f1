//! What a keeper is asked.

use super::{Check, Checked, PEER_MOST};
use crate::leader::{Leader, Unled};
use crate::store::Shared;
use crate::Raft;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use lynxtally_messages::{decode, encode, AdminRequest, AdminResponse, NodeRequest, NodeResponse, Rejection};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;
use std::future::Future;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What the server hands on to.
#[derive(Clone)]
pub struct Doors {
    /// The register, as it is here.
    pub shared: Shared,
    /// The replication; none before this keeper takes part.
    pub raft: watch::Receiver<Option<(Raft, Leader)>>,
}

impl Doors {
    fn leader(&self) -> Option<Leader> {
        self.raft.borrow().as_ref().map(|(_, leader)| leader.clone())
    }

    fn raft(&self) -> Option<Raft> {
        self.raft.borrow().as_ref().map(|(raft, _)| raft.clone())
    }
}

/// Serves until `end` is ready.
///
/// # Errors
/// The listener failed.
pub async fn serve(
    listener: TcpListener,
    doors: Doors,
    end: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let peers = Router::new()
        .route("/v1/raft/append", post(append))
        .route("/v1/raft/vote", post(vote))
        .route("/v1/raft/snapshot", post(snapshot))
        .layer(DefaultBodyLimit::max(PEER_MOST));
    let all = Router::new()
        .route("/v1/say", post(say))
        .route("/v1/order", post(order))
        .route("/v1/state", get(state))
        .route("/v1/check", post(check))
        .layer(DefaultBodyLimit::max(lynxtally_messages::MAX_MESSAGE_BYTES))
        .merge(peers)
        .with_state(doors);
    axum::serve(listener, all).with_graceful_shutdown(end).await
}

fn bad(why: impl ToString) -> Response {
    (StatusCode::BAD_REQUEST, why.to_string()).into_response()
}

fn not_led(unled: Unled) -> Rejection {
    match unled {
        Unled::By(leader) => Rejection::NotLeader { leader },
        Unled::Failed(why) => Rejection::Invalid { reason: why },
    }
}

async fn say(State(doors): State<Doors>, body: Bytes) -> Response {
    let reply = match decode::<NodeRequest>(&body) {
        Err(why) => NodeResponse::Rejected(Rejection::Undecodable { reason: why.to_string() }),
        Ok(say) => match doors.leader() {
            None => NodeResponse::Rejected(Rejection::NotLeader { leader: None }),
            Some(leader) => {
                leader.say(say).await.unwrap_or_else(|unled| NodeResponse::Rejected(not_led(unled)))
            }
        },
    };
    encode(&reply).into_response()
}

async fn order(State(doors): State<Doors>, body: Bytes) -> Response {
    let outcome = match decode::<AdminRequest>(&body) {
        Err(why) => AdminResponse::Rejected(Rejection::Undecodable { reason: why.to_string() }),
        Ok(order) => match doors.leader() {
            None => AdminResponse::Rejected(Rejection::NotLeader { leader: None }),
            Some(leader) => {
                leader.order(order).await.unwrap_or_else(|unled| AdminResponse::Rejected(not_led(unled)))
            }
        },
    };
    encode(&outcome).into_response()
}

async fn state(State(doors): State<Doors>) -> Response {
    let leader = doors.leader().and_then(|leader| leader.known());
    let register = doors.shared.look(|register| {
        let budgets: serde_json::Map<_, _> = register
            .budgets()
            .map(|(name, at)| {
                let state = json!({"whole": at.terms.capacity, "counted": at.outstanding, "free": at.free,
                    "in_force": at.capacity_in_force, "holders": at.holders});
                (name.to_owned(), state)
            })
            .collect();
        let members: Vec<_> = register
            .members()
            .map(|(incarnation, at)| {
                json!({"incarnation": incarnation, "name": at.name, "program": at.program_version, "suspect": at.suspected})
            })
            .collect();
        let wallets: serde_json::Map<_, _> = register
            .wallets()
            .map(|(name, books)| (name.to_owned(), serde_json::to_value(books).unwrap_or_default()))
            .collect();
        let routes = register.route_status();
        let routes = json!({"versions": routes.schema_versions, "document": routes.document_index,
            "waits": routes.waiting});
        let digest = register.digest().to_string();
        json!({"number": register.applied_index(), "digest": digest, "budgets": budgets,
            "wallets": wallets, "routes": routes, "members": members})
    });
    Json(json!({"leader": leader, "register": register})).into_response()
}

async fn check(State(doors): State<Doors>, body: Bytes) -> Response {
    match serde_json::from_slice::<Check>(&body) {
        Err(why) => bad(why),
        Ok(check) => {
            let told = doors.shared.look(|register| register.acknowledged_index(check.id));
            let seen = doors.leader().map_or(0, |leader| leader.matched(check.id));
            Json(Checked { had: told.max(seen) }).into_response()
        }
    }
}

async fn hand_on<T, A, F>(doors: &Doors, body: &[u8], to: impl FnOnce(Raft, T) -> F) -> Response
where
    T: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    let Some(raft) = doors.raft() else {
        return (StatusCode::SERVICE_UNAVAILABLE, "this keeper takes no part yet").into_response();
    };
    match serde_json::from_slice(body) {
        Ok(message) => Json(to(raft, message).await).into_response(),
        Err(why) => bad(why),
    }
}

async fn append(State(doors): State<Doors>, body: Bytes) -> Response {
    hand_on(&doors, &body, |raft, message| async move { raft.append_entries(message).await }).await
}

async fn vote(State(doors): State<Doors>, body: Bytes) -> Response {
    hand_on(&doors, &body, |raft, message| async move { raft.vote(message).await }).await
}

async fn snapshot(State(doors): State<Doors>, body: Bytes) -> Response {
    hand_on(&doors, &body, |raft, message| async move { raft.install_snapshot(message).await }).await
}
