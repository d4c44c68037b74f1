//! Plain policies to compare the module with; only in the lab, never in a program. All are one queue with a bound on
//! what runs; they differ in how the bound moves, who goes first, and who is turned away.

#![forbid(unsafe_code)]

use lynxtally::{Action, Event, Instant, Pcg, RequestId, Span};
use lynxtally_engine::Scheduler;
use std::collections::{BTreeMap, VecDeque};

/// How a baseline works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A pool of workers with a bounded line, first come, first served.
    Pool,
    /// The same, and what would have to wait at all is rejected.
    Cap,
    /// The bound grows by one for each that ends in time and is cut when one is late.
    Aimd,
    /// The bound follows the ratio of the shortest stay seen to the present one.
    Gradient,
    /// What waited too long for a whole interval is dropped at the head, ever faster. Source: K. Nichols, V. Jacobson,
    /// "Controlling Queue Delay" (2012).
    Age,
    /// A fixed part of the places for the stage of the highest utility, the rest for all.
    Split(f64),
    /// The longer the line, the likelier one is rejected at its arrival. Source: S. Floyd, V. Jacobson, "Random Early
    /// Detection Gateways for Congestion Avoidance" (1993).
    Early,
}

struct Waiting {
    task: RequestId,
    since: Instant,
    stage: usize,
}

/// A baseline.
pub struct Baseline {
    kind: Kind,
    slots: f64,
    most: usize,
    /// The stage that a split favours, and how long a task may take.
    favoured: usize,
    due: Span,
    line: VecDeque<Waiting>,
    running: BTreeMap<RequestId, (usize, Instant)>,
    chance: Pcg,
    out: Vec<Action>,
    began: bool,
    shortest: f64,
    stay: f64,
    /// Since when the head of the line is too old; how many were dropped for it; when the next one is.
    old_since: Option<Instant>,
    dropped: u32,
    drop_at: Instant,
}

/// The interval of the rule by age, and the age it holds the line to, as parts of the due time.
const INTERVAL: f64 = 0.2;
const TARGET: f64 = 0.05;
const CUT: f64 = 0.7;
const GAIN: f64 = 1.0 / 16.0;

impl Baseline {
    /// With so many places and a line so long; tasks are wanted within `due`, and `favoured` is the dearest stage.
    pub fn new(kind: Kind, slots: usize, most: usize, due: Span, favoured: usize, seed: u64) -> Self {
        Self {
            kind,
            slots: slots as f64,
            most,
            favoured,
            due,
            line: VecDeque::new(),
            running: BTreeMap::new(),
            chance: Pcg::new(seed),
            out: Vec::new(),
            began: false,
            shortest: f64::INFINITY,
            stay: 0.0,
            old_since: None,
            dropped: 0,
            drop_at: Instant::default(),
        }
    }

    fn reject(&mut self, task: RequestId) {
        self.out.push(Action::Reject { request: task, retry_after: Span::ZERO, no_retry: false });
        self.out.push(Action::ReleaseId(task));
    }

    fn arrived(&mut self, now: Instant, task: RequestId, stage: usize) {
        let full = match self.kind {
            Kind::Cap | Kind::Aimd | Kind::Gradient => {
                self.running.len() + self.line.len() >= self.slots as usize
            }
            Kind::Early => self.chance.unit() < (self.line.len() as f64 / self.most as f64).powi(2),
            _ => false,
        };
        if full || self.line.len() >= self.most {
            return self.reject(task);
        }
        self.line.push_back(Waiting { task, since: now, stage });
    }

    fn ended(&mut self, now: Instant, task: RequestId) {
        self.out.push(Action::ReleaseId(task));
        let Some((_, began)) = self.running.remove(&task) else { return };
        let stay = (now - began).secs();
        self.stay += (stay - self.stay) * GAIN;
        self.shortest = self.shortest.min(stay);
        match self.kind {
            Kind::Aimd if stay > self.due.secs() => self.slots = (self.slots * CUT).max(1.0),
            Kind::Aimd => self.slots += 1.0 / self.slots,
            Kind::Gradient => {
                let ratio = (self.shortest * 2.0 / self.stay.max(1e-9)).clamp(0.5, 1.0);
                let wanted = self.slots * ratio + self.slots.sqrt();
                self.slots = (self.slots + (wanted - self.slots) * GAIN).max(1.0);
            }
            _ => {}
        }
    }

    /// Drops the head of the line where it was too old for a whole interval.
    fn drop_old(&mut self, now: Instant) {
        let (target, interval) = (self.due * TARGET, self.due * INTERVAL);
        while let Some(head) = self.line.front() {
            if now - head.since < target {
                (self.old_since, self.dropped) = (None, 0);
                return;
            }
            let since = *self.old_since.get_or_insert(now);
            if now - since < interval || now < self.drop_at {
                return;
            }
            self.dropped += 1;
            self.drop_at = now + interval * (1.0 / f64::from(self.dropped).sqrt());
            let task = head.task;
            self.line.pop_front();
            self.reject(task);
        }
    }

    /// The next that may start.
    fn next(&self) -> Option<usize> {
        let free = self.slots.max(1.0) - self.running.len() as f64;
        match self.kind {
            Kind::Split(part) => {
                let kept = self.slots * part;
                let own = self.running.values().filter(|(stage, _)| *stage == self.favoured).count() as f64;
                let others = self.running.len() as f64 - own;
                let favoured =
                    self.line.iter().position(|one| one.stage == self.favoured).filter(|_| free >= 1.0);
                // What is kept for the dear stage no other takes.
                let room = self.slots - kept - others >= 1.0 && free >= 1.0;
                favoured
                    .or_else(|| self.line.iter().position(|one| one.stage != self.favoured).filter(|_| room))
            }
            _ => (free >= 1.0 && !self.line.is_empty()).then_some(0),
        }
    }
}

impl Scheduler for Baseline {
    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival.request, arrival.class),
            Event::CallRequested(task) => {
                self.out.push(Action::Call { request: task, timeout: Span::from_millis(5000) })
            }
            Event::RunEnded(task, _) => self.ended(now, task),
            Event::CallerGone(task) => {
                if let Some(at) = self.line.iter().position(|one| one.task == task) {
                    self.line.remove(at);
                    self.out.push(Action::ReleaseId(task));
                }
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.began, true) {
            self.out.push(Action::SetHealth(true));
        }
        if self.kind == Kind::Age {
            self.drop_old(now);
        }
        while let Some(one) = self.next().and_then(|at| self.line.remove(at)) {
            self.running.insert(one.task, (one.stage, now));
            self.out.push(Action::Start(one.task));
        }
        actions.append(&mut self.out);
    }
}

/// First come, first served: so many run at once, so many wait, the others are rejected. It keeps nothing beside the line,
/// so that in measurements of cost it stands for no decision at all.
pub struct PlainQueue {
    slots: usize,
    most: usize,
    running: usize,
    line: VecDeque<RequestId>,
    out: Vec<Action>,
    began: bool,
}
impl PlainQueue {
    /// With so many slots and a line so long.
    pub fn new(slots: usize, most: usize) -> Self {
        Self { slots, most, running: 0, line: VecDeque::new(), out: Vec::new(), began: false }
    }

    /// Nothing waits and nothing is rejected: what a front costs without any decision.
    pub fn straight() -> Self {
        Self::new(usize::MAX, usize::MAX)
    }
}

impl Scheduler for PlainQueue {
    fn handle(&mut self, _: Instant, event: Event) {
        match event {
            Event::Arrived(arrival) if self.line.len() < self.most => self.line.push_back(arrival.request),
            Event::Arrived(arrival) => {
                let task = arrival.request;
                self.out.push(Action::Reject { request: task, retry_after: Span::ZERO, no_retry: false });
                self.out.push(Action::ReleaseId(task));
            }
            Event::CallRequested(task) => {
                self.out.push(Action::Call { request: task, timeout: Span::from_millis(5000) })
            }
            Event::RunEnded(task, _) => {
                self.running -= 1;
                self.out.push(Action::ReleaseId(task));
            }
            _ => {}
        }
    }

    fn decide(&mut self, _: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.began, true) {
            actions.push(Action::SetHealth(true));
        }
        actions.append(&mut self.out);
        while self.running < self.slots {
            let Some(task) = self.line.pop_front() else { break };
            self.running += 1;
            actions.push(Action::Start(task));
        }
    }
}
