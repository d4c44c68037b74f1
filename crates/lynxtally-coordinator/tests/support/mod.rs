//! Cluster as processes, with a relay between each pair and before each.

#![allow(dead_code)] // Each file of stories uses a part of it.

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
    /// Where each listens.
    pub at: Vec<SocketAddr>,
    /// The way from one coordinator to another.
    links: Vec<Vec<Option<Relay>>>,
    /// The links of members.
    pub entries: Vec<Relay>,
    pub processes: Vec<Option<Process>>,
}

impl Cluster {
    pub fn start(count: usize) -> Self {
        Self::with(count, ", entries: 300")
    }

    pub fn with(count: usize, rest: &str) -> Self {
        let folder = TempFolder::new("cluster");
        let at: Vec<SocketAddr> = (0..count).map(|_| lynxtally_fault_injection::free_address()).collect();
        let way = |a: usize, b: usize| (a != b).then(|| Relay::to(at[b]));
        let links: Vec<Vec<Option<Relay>>> =
            (0..count).map(|a| (0..count).map(|b| way(a, b)).collect()).collect();
        let entries = at.iter().map(|at| Relay::to(*at)).collect();
        let mut cluster = Self { folder, at, links, entries, processes: Vec::new() };
        for n in 0..count {
            let addresses: Vec<Vec<SocketAddr>> = cluster.addresses();
            let text = coordinator_settings(&addresses, n, &cluster.state(n), rest);
            std::fs::write(cluster.settings(n), text).expect("a file");
            cluster.processes.push(None);
            cluster.start_replica(n);
        }
        cluster.leader();
        cluster
    }

    fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let own = |a: usize, b: usize| self.links[a][b].as_ref().map_or(self.at[a], |relay| relay.address);
        (0..self.at.len()).map(|a| (0..self.at.len()).map(|b| own(a, b)).collect()).collect()
    }

    pub fn settings(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("coordinator{n}.jsonnet"))
    }

    pub fn state(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("state{n}"))
    }

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

    /// What becomes of messages between one coordinator and all others, both links.
    pub fn set_faults(&self, n: usize, faults: Faults) {
        for m in 0..self.at.len() {
            [&self.links[n][m], &self.links[m][n]]
                .into_iter()
                .flatten()
                .for_each(|relay| relay.set_faults(faults));
        }
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Waits until one leads that the others know of; which.
    pub fn leader(&self) -> usize {
        let mut found = None;
        lynxtally_fault_injection::wait_until("somebody leads", || {
            let running: Vec<usize> =
                (0..self.processes.len()).filter(|n| self.processes[*n].is_some()).collect();
            let named: Vec<Option<u64>> = running
                .iter()
                .map(|n| http_client::state(self.at[*n]).ok().and_then(|state| state["leader"].as_u64()))
                .collect();
            let first = named.first().copied().flatten();
            found = first.filter(|_| named.iter().all(|other| *other == first)).map(|id| id as usize - 1);
            found.is_some_and(|leader| running.contains(&leader))
        });
        found.expect("a leader")
    }

    /// Sends a request to one coordinator after another until it has an outcome.
    pub fn admin_request(&self, request: &AdminRequest) -> AdminResponse {
        let mut outcome = None;
        lynxtally_fault_injection::wait_until("the request has a response", || {
            outcome = self.at.iter().find_map(|at| self.admin_request_at(*at, request));
            outcome.is_some()
        });
        outcome.expect("an outcome")
    }

    /// The outcome at one coordinator, where it leads.
    pub fn admin_request_at(&self, at: SocketAddr, request: &AdminRequest) -> Option<AdminResponse> {
        match http_client::post::<_, AdminResponse>(at, "/v1/order", request, Duration::from_secs(2)).ok()? {
            AdminResponse::Rejected(Rejection::NotLeader { .. }) => None,
            outcome => Some(outcome),
        }
    }

    /// Waits until all that run have applied the same and are equal.
    pub fn agree(&self) {
        lynxtally_fault_injection::wait_until("all coordinators are equal", || {
            let running = (0..self.processes.len()).filter(|n| self.processes[*n].is_some());
            let states: Vec<Option<(u64, String)>> = running
                .map(|n| {
                    let state = http_client::state(self.at[n]).ok()?;
                    let report = &state["register"];
                    Some((report["number"].as_u64()?, report["digest"].as_str()?.to_owned()))
                })
                .collect();
            states.iter().all(|state| state.is_some() && *state == states[0])
        });
    }
}

/// How long a lease lasts in stories in which it ends.
pub const LEASE: Span = Span::from_millis(1500);

pub fn budget(word: &str, whole: u64) -> AdminRequest {
    budget_for(word, whole, LEASE)
}

pub fn budget_for(word: &str, whole: u64, span: Span) -> AdminRequest {
    let terms = BudgetTerms {
        kind: BudgetKind::Concurrency,
        capacity: whole,
        min_per_node: 0,
        newcomer_reserve_permille: 0,
        lease_duration_us: span.micros(),
        max_clock_drift_ppm: 10_000,
        pause_margin_us: 0,
    };
    let what = AdminAction::SetBudget { name: "calls".into(), terms };
    AdminRequest { key: IdempotencyKey { observed_index: 0, token: word.into() }, action: what }
}
