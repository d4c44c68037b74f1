//! The check before a replica takes part in the replication: its log must not be shorter than what it acknowledged.
//!
//! Safety rule: a replica must not vote with an older copy of its folder. It lacks entries and votes that it
//! acknowledged, so its vote could form a majority that undoes committed entries. Each tick therefore records in the
//! replicated state how much of the log each replica acknowledged, and a replica asks the other coordinators for this when
//! it starts. With an older copy the coordinator ends with the error "this is an older copy".
//!
//! The check does not detect the loss of entries that were acknowledged after the last tick, or of entries that are known
//! only to replicas that do not respond.

use crate::net::{self, AcknowledgedIndex, StartupCheck};
use crate::settings::Settings;
use crate::CoordinatorError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tracing::warn;

/// After this many rounds of requests, responses from a majority suffice. Until then all other coordinators have to respond.
/// A round takes up to one election timeout.
const ROUNDS_FOR_ALL_RESPONSES: u32 = 10;
/// The delay between two rounds is the election timeout divided by this.
const ROUND_DELAYS_PER_ELECTION_TIMEOUT: u32 = 5;

/// Checks that the log reaches the highest index that another coordinator reports for this one. Waits without limit for
/// responses from a majority.
///
/// # Errors
/// The log is shorter: [`CoordinatorError::StaleLog`].
pub async fn check_log(settings: &Settings, last_index: u64) -> Result<(), CoordinatorError> {
    let acknowledged_index = max_acknowledged_index(settings).await;
    if acknowledged_index > last_index {
        return Err(CoordinatorError::StaleLog { last_index, acknowledged_index });
    }
    Ok(())
}

/// The highest index that this replica acknowledged, as reported by the other coordinators. Waits until the coordinators
/// that responded and this one form a majority.
async fn max_acknowledged_index(settings: &Settings) -> u64 {
    let needed = settings.coordinators.len() / 2;
    let others = settings.coordinators.len() - 1;
    let mut responses: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for round in 0_u32.. {
        query_missing(settings, &mut responses).await;
        if responses.len() == others || responses.len() >= needed && round >= ROUNDS_FOR_ALL_RESPONSES {
            break;
        }
        if round == ROUNDS_FOR_ALL_RESPONSES {
            warn!(
                responses = responses.len(),
                needed, "startup check waits for responses from other coordinators"
            );
        }
        tokio::time::sleep(settings.election_timeout / ROUND_DELAYS_PER_ELECTION_TIMEOUT).await;
    }
    responses.values().copied().max().unwrap_or(0)
}

/// Sends a request to each coordinator that has not responded yet, all at the same time.
async fn query_missing(settings: &Settings, responses: &mut BTreeMap<SocketAddr, u64>) {
    let body = serde_json::to_vec(&StartupCheck { id: settings.id }).unwrap_or_default();
    let mut requests = JoinSet::new();
    for (id, address) in (1..).zip(settings.coordinators.iter().copied()) {
        if id == settings.id || responses.contains_key(&address) {
            continue;
        }
        let (body, timeout) = (body.clone(), settings.election_timeout);
        requests.spawn(async move { (address, net::post(address, "/v1/check", body, timeout).await) });
    }
    while let Some(done) = requests.join_next().await {
        let Ok((address, Ok(response))) = done else { continue };
        if let Ok(AcknowledgedIndex { index }) = serde_json::from_slice(&response) {
            responses.insert(address, index);
        }
    }
}
