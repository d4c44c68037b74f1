//! A member without a program round it: a holder, a thread, and a need.

use crate::ask;
use crate::audit::Audit;
use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, Event, LeaseClient, Settings, UsageCounts};
use rustix::time::{clock_gettime, ClockId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The machine's clock that nobody sets.
pub fn now() -> Instant {
    let at = clock_gettime(ClockId::Boottime);
    Instant::from_micros((at.tv_sec * 1_000_000 + at.tv_nsec / 1000).unsigned_abs())
}

#[derive(Default)]
struct State {
    need: AtomicU64,
    amount: AtomicU64,
    end: AtomicBool,
    leave: AtomicBool,
    replaced: AtomicBool,
}

/// A member.
pub struct Member {
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

/// A reply is waited for as long.
const PATIENCE: Duration = Duration::from_millis(150);

impl Member {
    /// Starts one that wants so much. It uses all it may, at once.
    pub fn start(name: &str, who: &str, keepers: Vec<SocketAddr>, need: u64, audit: &Audit) -> Self {
        let state = Arc::new(State::default());
        state.need.store(need, Ordering::Relaxed);
        let (own, audit, name, who) = (state.clone(), audit.clone(), name.to_owned(), who.to_owned());
        let thread = thread::spawn(move || live(&own, &audit, name, &who, &keepers));
        Self { state, thread: Some(thread) }
    }

    /// What is in force.
    pub fn amount(&self) -> u64 {
        self.state.amount.load(Ordering::Relaxed)
    }

    /// Wants something else from now on.
    pub fn need(&self, need: u64) {
        self.state.need.store(need, Ordering::Relaxed);
    }

    /// Whether it was told that another has its name.
    pub fn replaced(&self) -> bool {
        self.state.replaced.load(Ordering::Relaxed)
    }

    /// Gives all back and says so.
    pub fn leave(&mut self) {
        self.state.leave.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Ends without a word. What it had counts on as if it were used.
    pub fn vanish(&mut self) {
        self.state.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.vanish();
    }
}

fn live(state: &State, audit: &Audit, name: String, who: &str, keepers: &[SocketAddr]) {
    let settings = Settings {
        name,
        program_version: "test".to_owned(),
        schema_versions: Vec::new(),
        budgets: vec![BudgetSettings { name: "calls".to_owned(), max_in_flight: Span::ZERO }],
        wallets: Vec::new(),
        coordinators: keepers.len(),
        response_timeout: Span::from_micros(PATIENCE.as_micros() as u64),
    };
    let seed = who.bytes().fold(7, |seed: u64, octet| seed.wrapping_mul(31).wrapping_add(octet.into()));
    let mut holder = LeaseClient::new(settings, seed, now());
    let mut leaving = false;
    let (mut began, mut wanted, mut begun) = (now(), 0_u128, 0_u128);
    while !state.end.load(Ordering::Relaxed) {
        let at = now();
        holder.advance(at);
        if state.leave.load(Ordering::Relaxed) && !leaving {
            leaving = true;
            holder.leave();
        }
        // One whose part is what it uses: all of it, up to its need.
        let need = if leaving { 0 } else { state.need.load(Ordering::Relaxed) };
        let in_use = holder.leased_amount(0).min(need);
        // Each unit is in use for a tenth of a second at a time, and one that is lacked is wanted as often.
        let past = (at - began).micros();
        began = at;
        wanted += u128::from(need) * u128::from(past);
        begun += u128::from(in_use) * u128::from(past);
        let counts = UsageCounts { requested: (wanted / 100_000) as u64, started: (begun / 100_000) as u64 };
        holder.report_usage(0, in_use, counts);
        for event in holder.drain_events().collect::<Vec<_>>() {
            state.replaced.fetch_or(event == Event::Replaced, Ordering::Relaxed);
        }
        // What it may use counts, whether it does or not; with no more said, until the span is over.
        let until = holder.lease_expires_at(0).unwrap_or(at);
        audit.note(at, who, if leaving { 0 } else { holder.leased_amount(0) }, until);
        state.amount.store(holder.leased_amount(0), Ordering::Relaxed);
        if holder.has_ended() {
            break;
        }
        if let Some(outgoing) = holder.next_request(now()) {
            let reply = ask::post(keepers[outgoing.coordinator], "/v1/say", &outgoing.request, PATIENCE).ok();
            holder.on_response(now(), outgoing.token, reply);
        } else {
            thread::sleep(Duration::from_millis(5));
        }
    }
    state.amount.store(0, Ordering::Relaxed);
}
