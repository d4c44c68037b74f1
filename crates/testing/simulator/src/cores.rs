//! The cores of a node: what runs shares them alike (processor sharing), and a crowd slows them down. With n tasks on c
//! cores each gets min(1, c/n) of a core; past `crowd` tasks a core the whole does less, down to a floor, as memory, caches
//! and switching cost more. A cold node is slow at first.

use lynxtally::{Instant, RequestId, Span};
use lynxtally_engine::Executor;
use std::collections::BTreeMap;

/// What cores are like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// How many.
    pub cores: u32,
    /// From so many tasks a core on they slow each other down.
    pub crowd: f64,
    /// By so much for each further task a core: the whole does 1 / (1 + slope x excess).
    pub slope: f64,
    /// A cold one begins with this part of its speed.
    pub cold: f64,
    /// And is warm after this.
    pub warm_after: Span,
}

/// What is told of a run to whoever checks the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Began {
    /// The task.
    pub task: RequestId,
    /// The client's task that it is a try of.
    pub of: u32,
}

/// The cores of one node.
pub struct Cores {
    machine: Machine,
    /// Work that a task running since the start would have had, in seconds; each is over once its own is reached.
    had: f64,
    ends: BTreeMap<(u64, RequestId), ()>,
    of: BTreeMap<RequestId, u64>,
    /// What is left to do of those that have a call to make, and whether that is under way.
    rest: BTreeMap<RequestId, (f64, bool)>,
    now: Instant,
    cold_since: Option<Instant>,
    /// Someone else's doing: this part of the speed is left.
    pub slowed: f64,
    busy: f64,
    busy_since: Instant,
    /// The gauges were asked for.
    pub asked: bool,
    /// Runs that began.
    pub began: Vec<Began>,
    /// Calls that are to be made, and those given up, by their numbers.
    pub calls: Vec<(RequestId, u64, f64)>,
    /// Calls that were given up, by their numbers.
    pub given_up: Vec<u64>,
}

/// Why a run leaves the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It is over.
    Done,
    /// It waits for its call.
    AtCall,
}

/// A try as it comes to a node: the client's task, and its work in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Brought {
    /// The client's task.
    pub of: u32,
    /// Work on a core of its own, in seconds.
    pub work: f64,
    /// Work of the call below that it makes half way, in seconds; zero where it makes none.
    pub call: f64,
}

/// Work is counted in nanoseconds, so that it can be ordered.
const FINE: f64 = 1e9;

impl Cores {
    /// Cores at rest.
    pub fn new(machine: Machine, now: Instant, cold: bool) -> Self {
        Self {
            machine,
            had: 0.0,
            ends: BTreeMap::new(),
            of: BTreeMap::new(),
            rest: BTreeMap::new(),
            now,
            cold_since: cold.then_some(now),
            slowed: 1.0,
            busy: 0.0,
            busy_since: now,
            asked: false,
            began: Vec::new(),
            calls: Vec::new(),
            given_up: Vec::new(),
        }
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.ends.len()
    }

    /// What one of those that run gets, in seconds of work a second.
    fn rate(&self) -> f64 {
        let (n, cores) = (self.ends.len() as f64, f64::from(self.machine.cores));
        let excess = (n / cores - self.machine.crowd).max(0.0);
        let warmth = self.cold_since.map_or(1.0, |since| {
            let age = (self.now - since) / self.machine.warm_after;
            (self.machine.cold + (1.0 - self.machine.cold) * age).min(1.0)
        });
        (cores / n.max(1.0)).min(1.0) * warmth * self.slowed / (1.0 + self.machine.slope * excess)
    }

    /// Time passes.
    pub fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return;
        }
        let past = (now - self.now).secs();
        if !self.ends.is_empty() {
            self.had += past * self.rate();
            self.busy += past * (self.ends.len() as f64 / f64::from(self.machine.cores)).min(1.0);
        }
        self.now = now;
    }

    /// When the next run ends, if nothing changes; while cold it is looked again sooner, as the speed changes.
    pub fn next_end(&self) -> Option<Instant> {
        let ((end, _), ()) = self.ends.first_key_value()?;
        let left = (*end as f64 / FINE - self.had).max(0.0) / self.rate().max(1e-9);
        let warming = self.cold_since.is_some_and(|since| self.now - since < self.machine.warm_after);
        let left = if warming { left.min(self.machine.warm_after.secs() / 50.0) } else { left };
        Some(self.now + Span::from_micros((left * 1e6).ceil() as u64))
    }

    /// The runs that have ended by now, or stand at their call.
    pub fn ended(&mut self, now: Instant) -> Vec<(RequestId, Stop)> {
        self.advance(now);
        let mut over = Vec::new();
        // Time is counted in microseconds: what is less than one away is there.
        let reached = ((self.had + 1e-6) * FINE) as u64;
        while let Some((&(end, task), ())) = self.ends.first_key_value() {
            if end > reached {
                break;
            }
            self.ends.pop_first();
            self.of.remove(&task);
            over.push((task, if self.rest.contains_key(&task) { Stop::AtCall } else { Stop::Done }));
        }
        over
    }

    fn go(&mut self, task: RequestId, work: f64) {
        let end = ((self.had + work) * FINE) as u64;
        self.ends.insert((end, task), ());
        self.of.insert(task, end);
    }

    /// A run goes on after its call.
    pub fn resume(&mut self, task: RequestId) {
        if let Some((rest, _)) = self.rest.remove(&task) {
            self.go(task, rest);
        }
    }

    /// A call ended without its reply: the run stands there again.
    pub fn failed(&mut self, task: RequestId) {
        self.rest.entry(task).and_modify(|rest| rest.1 = false);
    }

    /// A run that stands at its call, with none under way, ends if nobody waits for it any more.
    pub fn drop_standing(&mut self, task: RequestId) -> bool {
        let stands = !self.of.contains_key(&task) && self.rest.get(&task).is_some_and(|rest| !rest.1);
        if stands {
            self.rest.remove(&task);
        }
        stands
    }

    /// How busy they were since this was last asked.
    pub fn busy(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let past = (now - self.busy_since).secs().max(1e-6);
        let busy = (self.busy / past).min(1.0);
        (self.busy, self.busy_since) = (0.0, now);
        busy
    }
}

impl Executor<Brought> for Cores {
    fn start(&mut self, task: RequestId, brought: &mut Brought) {
        let first = if brought.call > 0.0 { brought.work / 2.0 } else { brought.work };
        if brought.call > 0.0 {
            self.rest.insert(task, (brought.work - first, false));
        }
        self.go(task, first);
        self.began.push(Began { task, of: brought.of });
    }

    fn stop(&mut self, task: RequestId, _: &mut Brought) {
        if let Some(end) = self.of.remove(&task) {
            self.ends.remove(&(end, task));
        }
        self.rest.remove(&task);
    }

    fn start_call(&mut self, task: RequestId, brought: &mut Brought, number: u64, _: Span) -> bool {
        self.rest.entry(task).and_modify(|rest| rest.1 = true);
        self.calls.push((task, number, brought.call));
        true
    }

    fn cancel_call(&mut self, _: &mut Brought, number: u64) {
        self.given_up.push(number);
    }

    fn degrade(&mut self, task: RequestId, _: &mut Brought) {
        self.resume(task);
    }

    fn request_gauges(&mut self) {
        self.asked = true;
    }
}
