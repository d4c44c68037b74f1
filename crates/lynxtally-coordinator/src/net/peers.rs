//! Implements openraft's network: messages to other coordinators.

use super::client::{post, RequestError};
use crate::Types;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::BasicNode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;

type PeerError<E = openraft::error::Infallible> = RPCError<u64, BasicNode, RaftError<u64, E>>;

/// The addresses of all coordinators in the order of their numbers, which count from 1.
pub struct Peers(pub Vec<SocketAddr>);

/// A connection to another coordinator.
pub struct Peer {
    id: u64,
    /// `None` if the settings have no coordinator with this number.
    address: Option<SocketAddr>,
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, id: u64, _: &BasicNode) -> Peer {
        let address = usize::try_from(id).ok().and_then(|id| self.0.get(id.checked_sub(1)?).copied());
        Peer { id, address }
    }
}

impl Peer {
    async fn request<T, R, E>(&self, path: &str, message: &T, option: &RPCOption) -> Result<R, PeerError<E>>
    where
        T: Serialize,
        R: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let unknown =
            || io::Error::other(format!("the settings have no coordinator with number {}", self.id));
        let address = self.address.ok_or_else(|| network_error(&unknown()))?;
        let body = serde_json::to_vec(message).map_err(|error| network_error(&error))?;
        let response = post(address, path, body, option.hard_ttl()).await.map_err(|error| match error {
            // `Unreachable` makes openraft wait before it retries; other errors are retried at once.
            RequestError::Unreachable(_) => PeerError::<E>::Unreachable(Unreachable::new(&error)),
            _ => network_error(&error),
        })?;
        let response: Result<R, RaftError<u64, E>> =
            serde_json::from_slice(&response).map_err(|error| network_error(&error))?;
        response.map_err(|error| PeerError::<E>::RemoteError(RemoteError::new(self.id, error)))
    }
}

fn network_error<E: std::error::Error>(error: &dyn std::error::Error) -> PeerError<E> {
    PeerError::<E>::Network(NetworkError::new(&io::Error::other(error.to_string())))
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        message: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, PeerError> {
        self.request("/v1/raft/append", &message, &option).await
    }

    async fn install_snapshot(
        &mut self,
        message: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, PeerError<InstallSnapshotError>> {
        self.request("/v1/raft/snapshot", &message, &option).await
    }

    async fn vote(
        &mut self,
        message: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, PeerError> {
        self.request("/v1/raft/vote", &message, &option).await
    }
}
