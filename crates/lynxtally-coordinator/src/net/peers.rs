//! The other keepers, as the library reaches them.

use super::client::{post, Unheard};
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
use std::net::SocketAddr;

type Failed<E = openraft::error::Infallible> = RPCError<u64, BasicNode, RaftError<u64, E>>;

/// Makes ways to other keepers, by their numbers: where they are is in this keeper's settings.
pub struct Peers(pub Vec<SocketAddr>);

/// A way to one.
pub struct Peer {
    id: u64,
    at: Option<SocketAddr>,
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, id: u64, _: &BasicNode) -> Peer {
        let at = usize::try_from(id).ok().and_then(|id| self.0.get(id.checked_sub(1)?).copied());
        Peer { id, at }
    }
}

impl Peer {
    async fn ask<T, A, E>(&self, path: &str, message: &T, option: &RPCOption) -> Result<A, Failed<E>>
    where
        T: Serialize,
        A: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let network = |why: &(dyn std::error::Error + 'static)| {
            Failed::<E>::Network(NetworkError::new(&std::io::Error::other(why.to_string())))
        };
        let unknown = || std::io::Error::other(format!("the settings name no keeper {}", self.id));
        let to = self.at.ok_or_else(|| network(&unknown()))?;
        let body = serde_json::to_vec(message).map_err(|why| network(&why))?;
        let answer = post(to, path, body, option.hard_ttl()).await.map_err(|why| match why {
            // Nobody is there: it is tried again after a while, not at once.
            Unheard::Lost(_) => Failed::<E>::Unreachable(Unreachable::new(&why)),
            _ => network(&why),
        })?;
        let answer: Result<A, RaftError<u64, E>> =
            serde_json::from_slice(&answer).map_err(|why| network(&why))?;
        answer.map_err(|why| Failed::<E>::RemoteError(RemoteError::new(self.id, why)))
    }
}

impl RaftNetwork<Types> for Peer {
    async fn append_entries(
        &mut self,
        message: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failed> {
        self.ask("/v1/raft/append", &message, &option).await
    }

    async fn install_snapshot(
        &mut self,
        message: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        self.ask("/v1/raft/snapshot", &message, &option).await
    }

    async fn vote(
        &mut self,
        message: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failed> {
        self.ask("/v1/raft/vote", &message, &option).await
    }
}
