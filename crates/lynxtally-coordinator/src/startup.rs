//! What a replica checks before it takes part: whether its log is as long as the others know it was.
//!
//! Safety rule. A replica that is started on an older copy of its folder has forgotten entries and votes that it had
//! acknowledged, and its vote could bring about a majority that takes back what was agreed on. Each tick therefore
//! carries how much of the log each replica acknowledged, and a replica that starts asks the others. It shows as a
//! coordinator that ends with "this is an older copy". What was acknowledged since the last tick, or what only
//! replicas know that do not answer, is not found out.

use crate::net::{self, AcknowledgedIndex, StartupCheck};
use crate::settings::Settings;
use crate::CoordinatorError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tracing::warn;

/// The others are asked this many times before the start, where not all answer; one round takes up to an election
/// timeout.
const ROUNDS: u32 = 10;
/// Pauses between two rounds in an election timeout.
const PAUSES_PER_ELECTION: u32 = 5;

/// Checks that the log is as long as any other coordinator knows it was.
///
/// # Errors
/// It is not.
pub async fn check_log(settings: &Settings, last_index: u64) -> Result<(), CoordinatorError> {
    let acknowledged_index = ask_others(settings).await;
    if acknowledged_index > last_index {
        return Err(CoordinatorError::StaleLog { last_index, acknowledged_index });
    }
    Ok(())
}

/// How much of the log the others know that this replica acknowledged. As many answers are waited for as make a
/// majority together with this replica.
async fn ask_others(settings: &Settings) -> u64 {
    let needed = settings.coordinators.len() / 2;
    let others = settings.coordinators.len() - 1;
    let mut answers: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for round in 0_u32.. {
        ask_missing(settings, &mut answers).await;
        if answers.len() == others || answers.len() >= needed && round >= ROUNDS {
            break;
        }
        if round == ROUNDS {
            warn!(answers = answers.len(), needed, "waiting for other coordinators");
        }
        tokio::time::sleep(settings.election_timeout / PAUSES_PER_ELECTION).await;
    }
    answers.values().copied().max().unwrap_or(0)
}

/// Asks those that have not answered yet, all at once.
async fn ask_missing(settings: &Settings, answers: &mut BTreeMap<SocketAddr, u64>) {
    let body = serde_json::to_vec(&StartupCheck { id: settings.id }).unwrap_or_default();
    let mut requests = JoinSet::new();
    for (id, address) in (1..).zip(settings.coordinators.iter().copied()) {
        if id == settings.id || answers.contains_key(&address) {
            continue;
        }
        let (body, timeout) = (body.clone(), settings.election_timeout);
        requests.spawn(async move { (address, net::post(address, "/v1/check", body, timeout).await) });
    }
    while let Some(done) = requests.join_next().await {
        let Ok((address, Ok(response))) = done else { continue };
        if let Ok(AcknowledgedIndex { index }) = serde_json::from_slice(&response) {
            answers.insert(address, index);
        }
    }
}
