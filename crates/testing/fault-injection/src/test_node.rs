//! A node that consists of a lease client, a thread that drives it, and a demand that the test sets.

use crate::http_client;
use crate::lease_audit::LeaseAudit;
use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, Event, LeaseClient, Settings, UsageCounts};
use rustix::time::{clock_gettime, ClockId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The response timeout of the lease client.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long each unit is in use at a time, in microseconds. A missing unit is requested again after the same time.
const UNIT_USE_US: u128 = 100_000;
/// The delay after an iteration of the node's loop in which no request was sent.
const IDLE_DELAY: Duration = Duration::from_millis(5);

/// The time since the machine booted, on the clock that nodes and the audit share.
pub fn now() -> Instant {
    let at = clock_gettime(ClockId::Boottime);
    Instant::from_micros((at.tv_sec * 1_000_000 + at.tv_nsec / 1000).unsigned_abs())
}

/// The values that the test and the node's thread share.
#[derive(Default)]
struct Controls {
    demand: AtomicU64,
    leased_amount: AtomicU64,
    crash: AtomicBool,
    leave: AtomicBool,
    was_replaced: AtomicBool,
}

/// A node that uses its lease on the budget `calls` up to its demand. Dropping it stops it as by [`TestNode::crash`].
pub struct TestNode {
    controls: Arc<Controls>,
    thread: Option<JoinHandle<()>>,
}

impl TestNode {
    /// Starts a node. `process` identifies it in the audit, as several processes may have the same node name.
    pub fn start(
        name: &str,
        process: &str,
        coordinators: Vec<SocketAddr>,
        demand: u64,
        audit: &LeaseAudit,
    ) -> Self {
        let controls = Arc::new(Controls::default());
        controls.demand.store(demand, Ordering::Relaxed);
        let mut node_loop = NodeLoop {
            client: LeaseClient::new(settings(name, coordinators.len()), seed(process), now()),
            controls: controls.clone(),
            audit: audit.clone(),
            process: process.to_owned(),
            coordinators,
            leaving: false,
            last_update: now(),
            requested_unit_us: 0,
            used_unit_us: 0,
        };
        Self { controls, thread: Some(thread::spawn(move || node_loop.run())) }
    }

    /// The units that the node may use now.
    pub fn leased_amount(&self) -> u64 {
        self.controls.leased_amount.load(Ordering::Relaxed)
    }

    /// Sets the units that the node demands from now on.
    pub fn set_demand(&self, demand: u64) {
        self.controls.demand.store(demand, Ordering::Relaxed);
    }

    /// Whether the coordinators told the node that another process has taken its name.
    pub fn was_replaced(&self) -> bool {
        self.controls.was_replaced.load(Ordering::Relaxed)
    }

    /// Ends the node's session and waits until the coordinators have confirmed it.
    pub fn leave(&mut self) {
        self.controls.leave.store(true, Ordering::Relaxed);
        self.join();
    }

    /// Stops the node without ending its session. In the audit its lease counts until it expires.
    pub fn crash(&mut self) {
        self.controls.crash.store(true, Ordering::Relaxed);
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the node's thread is ignored here: the test finds its effect in the audit.
            let _ = thread.join();
        }
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.crash();
    }
}

fn settings(name: &str, coordinators: usize) -> Settings {
    Settings {
        name: name.to_owned(),
        program_version: "test".to_owned(),
        schema_versions: Vec::new(),
        budgets: vec![BudgetSettings { name: "calls".to_owned(), max_in_flight: Span::ZERO }],
        wallets: Vec::new(),
        coordinators,
        response_timeout: Span::from_micros(RESPONSE_TIMEOUT.as_micros() as u64),
    }
}

/// A seed that differs between processes and is the same in each run of the test.
fn seed(process: &str) -> u64 {
    process.bytes().fold(7, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(byte.into()))
}

/// The loop of the node's thread.
struct NodeLoop {
    client: LeaseClient,
    controls: Arc<Controls>,
    audit: LeaseAudit,
    process: String,
    coordinators: Vec<SocketAddr>,
    leaving: bool,
    last_update: Instant,
    /// The integral of the demand over time, in units times microseconds.
    requested_unit_us: u128,
    /// The integral of the units in use over time, in units times microseconds.
    used_unit_us: u128,
}

impl NodeLoop {
    fn run(&mut self) {
        while !self.controls.crash.load(Ordering::Relaxed) {
            self.update();
            // Checked after the update, which handles the event that ended the session.
            if self.client.has_ended() {
                break;
            }
            self.send_request_or_wait();
        }
        self.controls.leased_amount.store(0, Ordering::Relaxed);
    }

    /// Advances the lease client, reports the usage, and records the lease in the audit.
    fn update(&mut self) {
        let now = now();
        self.client.advance(now);
        if self.controls.leave.load(Ordering::Relaxed) && !self.leaving {
            self.leaving = true;
            self.client.leave();
        }
        self.report_usage(now);
        for event in self.client.drain_events() {
            self.controls.was_replaced.fetch_or(event == Event::Replaced, Ordering::Relaxed);
        }
        self.record(now);
    }

    fn report_usage(&mut self, now: Instant) {
        let demand = if self.leaving { 0 } else { self.controls.demand.load(Ordering::Relaxed) };
        let in_use = self.client.leased_amount(0).min(demand);
        let elapsed_us = u128::from((now - self.last_update).micros());
        self.last_update = now;
        self.requested_unit_us += u128::from(demand) * elapsed_us;
        self.used_unit_us += u128::from(in_use) * elapsed_us;
        let requested = (self.requested_unit_us / UNIT_USE_US) as u64;
        let started = (self.used_unit_us / UNIT_USE_US) as u64;
        self.client.report_usage(0, in_use, UsageCounts { requested, started });
    }

    /// Records what the node may use, whether or not it is in use. The record holds until the next one or until the lease
    /// expires. While the node leaves, 0 is recorded, because it uses nothing more.
    fn record(&self, now: Instant) {
        let amount = self.client.leased_amount(0);
        let expires_at = self.client.lease_expires_at(0).unwrap_or(now);
        self.audit.record(now, &self.process, if self.leaving { 0 } else { amount }, expires_at);
        self.controls.leased_amount.store(amount, Ordering::Relaxed);
    }

    fn send_request_or_wait(&mut self) {
        let Some(outgoing) = self.client.next_request(now()) else {
            thread::sleep(IDLE_DELAY);
            return;
        };
        let address = self.coordinators[outgoing.coordinator];
        let response = http_client::post(address, "/v1/say", &outgoing.request, RESPONSE_TIMEOUT).ok();
        self.client.on_response(now(), outgoing.token, response);
    }
}
