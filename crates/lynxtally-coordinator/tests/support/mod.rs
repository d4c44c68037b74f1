//! A cluster of coordinator processes, with a relay for each direction between two coordinators and one in front of each
//! coordinator for the nodes.

#![allow(dead_code)] // Each test file uses only some of the functions.

use lynxtally::Span;
use lynxtally_fault_injection::http_client;
use lynxtally_fault_injection::process::{coordinator_settings, Process, TempFolder};
use lynxtally_fault_injection::relay::{Faults, Relay};
use lynxtally_messages::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_lynxtally-coordinator");

pub struct Cluster {
    pub folder: TempFolder,
    /// The address that each coordinator listens on.
    pub addresses: Vec<SocketAddr>,
    /// `links[a][b]` relays the messages from coordinator `a` to coordinator `b`.
    links: Vec<Vec<Option<Relay>>>,
    /// The relays that nodes use, one in front of each coordinator.
    pub node_relays: Vec<Relay>,
    pub processes: Vec<Option<Process>>,
}

impl Cluster {
    /// Starts coordinators that build a snapshot every 300 log entries, and waits until one leads.
    pub fn start(count: usize) -> Self {
        Self::start_with(count, ", entries: 300")
    }

    /// Starts coordinators with further settings keys, and waits until one leads.
    pub fn start_with(count: usize, extra_settings: &str) -> Self {
        let folder = TempFolder::new("cluster");
        let addresses: Vec<SocketAddr> =
            (0..count).map(|_| lynxtally_fault_injection::free_address()).collect();
        let link = |a: usize, b: usize| (a != b).then(|| Relay::to(addresses[b]));
        let links: Vec<Vec<Option<Relay>>> =
            (0..count).map(|a| (0..count).map(|b| link(a, b)).collect()).collect();
        let node_relays = addresses.iter().map(|address| Relay::to(*address)).collect();
        let mut cluster = Self { folder, addresses, links, node_relays, processes: Vec::new() };
        for n in 0..count {
            let link_addresses: Vec<Vec<SocketAddr>> = cluster.link_addresses();
            let text = coordinator_settings(&link_addresses, n, &cluster.folder_of(n), extra_settings);
            std::fs::write(cluster.settings(n), text).expect("the settings can be written");
            cluster.processes.push(None);
            cluster.start_replica(n);
        }
        cluster.leader();
        cluster
    }

    /// At `[a][b]`, the address at which coordinator `a` reaches `b`: that of the relay between them, or its own.
    fn link_addresses(&self) -> Vec<Vec<SocketAddr>> {
        let address =
            |a: usize, b: usize| self.links[a][b].as_ref().map_or(self.addresses[a], |relay| relay.address);
        (0..self.addresses.len())
            .map(|a| (0..self.addresses.len()).map(|b| address(a, b)).collect())
            .collect()
    }

    /// The settings file of coordinator `n`.
    pub fn settings(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("coordinator{n}.jsonnet"))
    }

    /// The folder with the log and the state of coordinator `n`.
    pub fn folder_of(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("state{n}"))
    }

    /// The output of coordinator `n` so far.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.folder.0.join(format!("log{n}"))).unwrap_or_default()
    }

    pub fn start_replica(&mut self, n: usize) {
        let log = self.folder.0.join(format!("log{n}"));
        self.processes[n] = Some(Process::start(PROGRAM, &self.settings(n), &log));
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
    }

    /// Sets the faults for messages between coordinator `n` and all others, in both directions.
    pub fn set_faults(&self, n: usize, faults: Faults) {
        for m in 0..self.addresses.len() {
            [&self.links[n][m], &self.links[m][n]]
                .into_iter()
                .flatten()
                .for_each(|relay| relay.set_faults(faults));
        }
    }

    /// The addresses at which nodes reach the coordinators.
    pub fn relay_addresses(&self) -> Vec<SocketAddr> {
        self.node_relays.iter().map(|relay| relay.address).collect()
    }

    /// Waits until all running coordinators report the same leader, which is running too, and returns its index.
    pub fn leader(&self) -> usize {
        let mut found = None;
        lynxtally_fault_injection::wait_until("all running coordinators report the same leader", || {
            let running: Vec<usize> =
                (0..self.processes.len()).filter(|n| self.processes[*n].is_some()).collect();
            let named: Vec<Option<u64>> = running
                .iter()
                .map(|n| {
                    http_client::state(self.addresses[*n]).ok().and_then(|state| state["leader"].as_u64())
                })
                .collect();
            let first = named.first().copied().flatten();
            found = first.filter(|_| named.iter().all(|other| *other == first)).map(|id| id as usize - 1);
            found.is_some_and(|leader| running.contains(&leader))
        });
        found.expect("a leader was found")
    }

    /// Sends a request to one coordinator after another until the leader responds.
    pub fn admin_request(&self, request: &AdminRequest) -> AdminResponse {
        let mut response = None;
        lynxtally_fault_injection::wait_until("the leader responds to an operator's request", || {
            response = self.addresses.iter().find_map(|address| self.admin_request_at(*address, request));
            response.is_some()
        });
        response.expect("the leader responded")
    }

    /// Sends a request to one coordinator. Returns `None` if the coordinator does not respond or does not lead.
    pub fn admin_request_at(&self, address: SocketAddr, request: &AdminRequest) -> Option<AdminResponse> {
        match http_client::post::<_, AdminResponse>(address, "/v1/order", request, Duration::from_secs(2))
            .ok()?
        {
            AdminResponse::Rejected(Rejection::NotLeader { .. }) => None,
            response => Some(response),
        }
    }

    /// Waits until all running coordinators report the same applied log index and the same digest of the state.
    pub fn wait_until_equal(&self) {
        lynxtally_fault_injection::wait_until("all running coordinators have the same state", || {
            let running = (0..self.processes.len()).filter(|n| self.processes[*n].is_some());
            let states: Vec<Option<(u64, String)>> = running
                .map(|n| {
                    let state = http_client::state(self.addresses[n]).ok()?;
                    let report = &state["register"];
                    Some((report["number"].as_u64()?, report["digest"].as_str()?.to_owned()))
                })
                .collect();
            states.iter().all(|state| state.is_some() && *state == states[0])
        });
    }
}

/// The duration of leases in tests that wait for leases to expire.
pub const LEASE: Span = Span::from_millis(1500);

/// A request that sets the budget `calls`, with leases of the duration [`LEASE`]. `token` is its idempotency key.
pub fn budget(token: &str, capacity: u64) -> AdminRequest {
    budget_for(token, capacity, LEASE)
}

/// A request that sets the budget `calls`. `token` is its idempotency key.
pub fn budget_for(token: &str, capacity: u64, lease_duration: Span) -> AdminRequest {
    let terms = BudgetTerms {
        kind: BudgetKind::Concurrency,
        capacity,
        min_per_node: 0,
        newcomer_reserve_permille: 0,
        lease_duration_us: lease_duration.micros(),
        max_clock_drift_ppm: 10_000,
        pause_margin_us: 0,
    };
    let action = AdminAction::SetBudget { name: "calls".into(), terms };
    AdminRequest { key: IdempotencyKey { observed_index: 0, token: token.into() }, action }
}
