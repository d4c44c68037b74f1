//! All decisions of lynxtally. A host makes one `Policy` for a backend, tells it with `on` each thing that
//! happens, and after the events of one moment calls `settle`, which fills in what the host shall do.
//! The interface (`Settings`, `Event`, `Action`) is in `interface.rs`, time in `time.rs`, chance in `pcg.rs`.
//!
//! The selection is SLICE's (docs/design.md): held tasks stand in the order of utility over demand, and the
//! highest start until one no longer fits under the learned throughput. Tasks change `place` when something is
//! decided; `emit` works out the difference between what is wanted and what the host was told.

use crate::interface::*;
use crate::pcg::Pcg;
use crate::time::{Instant, Span};
use std::collections::BTreeSet;

/// The timer's period, as a share of the shortest due time.
const PERIOD: f64 = 1.0 / 40.0;
/// Final answers go out this many periods before the point that the rule names.
const ANSWER_EARLY: f64 = 2.0;
/// The part of the memory and of the survivable crowd that is used at most.
const CEILING: f64 = 0.85;
/// The part of the shared dependency's survivable calls that is used at most, in the mean.
const CALLS_CEILING: f64 = 0.8;
/// What one finished run moves a stage's expected cost.
const COST_GAIN: f64 = 1.0 / 16.0;
/// A run counts for at most this many times what was expected, so that few huge ones can't fool the mean.
const COST_CLIP: f64 = 4.0;
/// A cost not seen yet is taken for this share of the due time.
const COST_UNSEEN: f64 = 1.0 / 8.0;
/// A held task is given up when less than this share of its expected stay is left before it is due.
const REFUSE_AT: f64 = 0.8;
/// Below this share of busy cores there is idle room.
const IDLE: f64 = 0.92;
/// The span over which the core gauge is averaged, as the interface has it.
const GAUGE_SPAN: Span = Span::from_millis(500);
/// A failed call cuts the window of calls to this share.
const WINDOW_CUT: f64 = 0.7;
/// A call that failed after this many times the usual time counts as crowding below.
const CALL_SLOW: f64 = 4.0;
/// Tries of one call at most.
const CALL_TRIES: u32 = 3;
/// A customer's allowance, in seconds of its part of the quota.
const ALLOWANCE_SECS: f64 = 2.0;
/// Part of the due time that the tasks let in by credit may spend here, all in all.
const CREDIT_STAY: f64 = 0.6;
/// A caller that is itself a backend has spent part of the due time and wants its own share of the rest: so
/// much of it is left for each tier that stands above.
const TIER_SHARE: f64 = 1.0 / 3.0;
/// Tasks that lay unread for this share of the mean due time take all credit.
const UNREAD_SHARE: f64 = 0.25;
/// Unread for this share of the mean due time, a node leaves the callers' lists; at the other it comes back.
const STALE: f64 = 0.3;
const FRESH_AGAIN: f64 = 0.1;
/// It does so by chance within about this share of the mean due time.
const LEAVE_WITHIN: f64 = 0.3;
/// What one arrival moves the time that tasks lie unread.
const UNREAD_GAIN: f64 = 1.0 / 8.0;
/// How fast the shares of the callers are forgotten, for each arrival.
const CALLER_FADE: f64 = 0.98;

/// Where a task is, or is wanted to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In the hold.
    Held,
    /// Running on the cores.
    OnCores,
    /// At a call that was not let go yet.
    Standing,
    /// Its call is out.
    Calling,
    /// Its call is left out; it goes back to the cores.
    Skipping,
    /// Waiting for the result of the task that it repeats.
    Reusing,
    /// Answered, but still using running memory until the run ends.
    Ending,
    /// Over.
    Over,
}

/// The final answer that the module gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Rejected { terminal: bool },
    Abandoned,
}

struct Task {
    stage: usize,
    effect: Effect,
    customer: Option<usize>,
    /// Until when an answer earns what the rate says.
    wanted: Instant,
    limit: Instant,
    kb: f64,
    basis: f64,
    rate: f64,
    demand: f64,
    place: Place,
    told: Place,
    answer: Option<Answer>,
    owed: bool,
    ran: bool,
    worked: f64,
    work_from: f64,
    began: Instant,
    called_at: Instant,
    call_for: Span,
    call_tries: u32,
    look: Instant,
    kept_until: Option<Instant>,
    key_told: bool,
}

/// What all tasks together use.
#[derive(Clone, Copy, Default)]
struct Load {
    kb: f64,
    demand: f64,
    on_cores: f64,
    out: f64,
    calling: f64,
}

/// What is learned of a stage.
struct Row {
    /// Core time of a run on this machine, in seconds, and what it is measured against.
    cost: f64,
    basis: f64,
    seen: bool,
    /// Time a run spends at calls, in seconds.
    waits: f64,
}

/// What is wanted beside the tasks, and what the host was last told.
#[derive(Clone, Copy, PartialEq)]
struct Outward {
    health: bool,
    free: Option<f64>,
}

/// The decisions of one backend.
pub struct Policy {
    set: Settings,
    chance: Pcg,
    now: Instant,
    started: Instant,
    period: Span,
    tasks: Vec<Option<Task>>,
    /// Held tasks, the highest rate first.
    hold: BTreeSet<(u64, TaskId)>,
    /// Tasks standing at a call, the highest rate first.
    standing: BTreeSet<(u64, TaskId)>,
    /// When to look at a task again.
    timed: BTreeSet<(Instant, TaskId)>,
    changed: Vec<TaskId>,
    rows: Vec<Row>,
    allowances: Vec<f64>,
    callers: Vec<(u64, f64)>,
    load: Load,
    /// Core time that one running task has had so far, in seconds.
    clock: f64,
    /// Calls in hand, averaged over the dependency's span.
    calls_mean: f64,
    /// How long tasks lie unread lately, in seconds.
    unread: f64,
    /// Expected core time of all that is held, in seconds.
    held_cost: f64,
    /// Whether what is read is too old to be answered in time, so that callers hear no advice either.
    stale: bool,
    /// Summed demand that the cores have been seen to carry.
    throughput: f64,
    window: f64,
    window_cut_at: Instant,
    /// Usual time of a call that succeeds, in seconds.
    call_time: f64,
    full_since: Option<Instant>,
    kill: Option<(Instant, Instant)>,
    told: Option<Outward>,
    arm: bool,
    logs: Vec<String>,
}

/// Sorts the highest rate first.
fn order(rate: f64) -> u64 {
    !rate.max(0.0).to_bits()
}

impl Policy {
    /// A backend that starts now and knows only its settings.
    pub fn new(set: Settings, seed: u64, now: Instant) -> Self {
        let shortest = set.stages.iter().map(|s| s.due).min().unwrap_or(Span::from_millis(1000));
        let rows = set.stages.iter().map(|s| Row {
            cost: s.due.secs() * COST_UNSEEN,
            basis: 1.0,
            seen: false,
            waits: 0.0,
        });
        let cores = f64::from(set.cores);
        Self {
            chance: Pcg::new(seed),
            now,
            started: now,
            period: (shortest * PERIOD).max(Span::from_millis(5)),
            tasks: Vec::new(),
            hold: BTreeSet::new(),
            standing: BTreeSet::new(),
            timed: BTreeSet::new(),
            changed: Vec::new(),
            rows: rows.collect(),
            allowances: set.quotas.iter().map(|_| 0.0).collect(),
            callers: Vec::new(),
            load: Load::default(),
            clock: 0.0,
            calls_mean: 0.0,
            unread: 0.0,
            held_cost: 0.0,
            stale: false,
            throughput: 0.0,
            window: cores,
            window_cut_at: now,
            call_time: 0.0,
            full_since: None,
            kill: None,
            told: None,
            arm: true,
            logs: Vec::new(),
            set,
        }
    }

    /// Takes in one thing that happened.
    pub fn on(&mut self, now: Instant, event: Event) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival),
            Event::CallerGone(id) => self.caller_gone(id),
            Event::AtCall(id) => {
                if self.task(id).is_some() {
                    self.put(id, Place::Standing);
                    self.settle_told(id);
                }
            }
            Event::CallEnded(id, outcome) => self.call_ended(id, outcome),
            Event::RunEnded(id, outcome) => self.run_ended(id, outcome),
            Event::Timer(gauges) => self.timer(gauges),
            Event::Drain(kill) => self.drain(kill),
        }
    }

    /// Decides, and appends what the host shall do.
    pub fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.select();
        while let Some(&(at, id)) = self.timed.first() {
            if at > now {
                break;
            }
            self.timed.pop_first();
            self.look(id);
        }
        self.let_calls_go();
        self.emit(actions);
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks.get(id.0 as usize)?.as_ref()
    }

    fn task_mut(&mut self, id: TaskId) -> &mut Task {
        self.tasks[id.0 as usize].as_mut().expect("a task that is inside")
    }

    /// Runs the clocks on: what a task on the cores has had, and the mean number of calls in hand.
    fn advance(&mut self, now: Instant) {
        let past = (now - self.now).secs();
        if past <= 0.0 {
            return;
        }
        let cores = f64::from(self.set.cores);
        self.clock += past * (cores / self.load.on_cores.max(1.0)).min(1.0);
        if let Below::Shared { over, .. } = self.set.below {
            let keep = (-past / over.secs().max(1e-3)).exp();
            self.calls_mean = self.calls_mean * keep + self.load.calling * (1.0 - keep);
        }
        for (have, quota) in self.allowances.iter_mut().zip(&self.set.quotas) {
            let part = quota / f64::from(self.set.backends.max(1));
            *have = (*have + part * past).min(part * ALLOWANCE_SECS);
        }
        self.unread *= (-past / self.set.heeded.secs().max(1e-3)).exp();
        self.now = now;
    }

    /// What a task uses where it is.
    fn weight(&self, id: TaskId) -> Load {
        let Some(task) = self.task(id) else { return Load::default() };
        let running = task.kb * self.set.run_memory;
        let key = if task.kept_until.is_some() { self.set.key_kb } else { 0.0 };
        let mut load = Load { kb: key, ..Load::default() };
        match task.place {
            Place::Held => load.kb += task.kb,
            Place::OnCores | Place::Skipping => {
                load = Load { kb: key + running, demand: task.demand, on_cores: 1.0, out: 1.0, calling: 0.0 }
            }
            Place::Reusing => load = Load { kb: key + running, on_cores: 1.0, out: 1.0, ..load },
            Place::Standing | Place::Ending => load = Load { kb: key + running, out: 1.0, ..load },
            Place::Calling => load = Load { kb: key + running, out: 1.0, calling: 1.0, ..load },
            Place::Over => {}
        }
        load
    }

    fn reweigh(&mut self, id: TaskId, change: impl FnOnce(&mut Task)) {
        let before = self.weight(id);
        change(self.task_mut(id));
        let after = self.weight(id);
        self.load.kb += after.kb - before.kb;
        self.load.demand += after.demand - before.demand;
        self.load.on_cores += after.on_cores - before.on_cores;
        self.load.out += after.out - before.out;
        self.load.calling += after.calling - before.calling;
        if self.load.out < 0.5 {
            (self.load.demand, self.load.on_cores, self.load.calling) = (0.0, 0.0, 0.0);
        }
    }

    /// Moves a task to its wanted place and keeps the accounts; `emit` tells the host.
    fn put(&mut self, id: TaskId, place: Place) {
        let clock = self.clock;
        let task = self.task_mut(id);
        let (rate, was) = (task.rate, task.place);
        if was == place {
            return;
        }
        if matches!(was, Place::OnCores | Place::Skipping) {
            task.worked += clock - task.work_from;
        }
        if matches!(place, Place::OnCores | Place::Skipping) {
            task.work_from = clock;
        }
        self.hold.remove(&(order(rate), id));
        self.standing.remove(&(order(rate), id));
        match place {
            Place::Held => drop(self.hold.insert((order(rate), id))),
            Place::Standing => drop(self.standing.insert((order(rate), id))),
            _ => {}
        }
        self.reweigh(id, |task| task.place = place);
        self.changed.push(id);
    }

    /// The host knows already where the task is: the event said so.
    fn settle_told(&mut self, id: TaskId) {
        let task = self.task_mut(id);
        task.told = task.place;
    }

    /// Sets when to look at a task again.
    fn look_at(&mut self, id: TaskId, at: Instant) {
        let task = self.task_mut(id);
        let before = std::mem::replace(&mut task.look, at);
        self.timed.remove(&(before, id));
        self.timed.insert((at, id));
    }

    // --- What a task is worth, what it costs, and when it is too late ---

    /// Expected core time on this machine, in seconds.
    fn cost(&self, stage: usize, basis: f64) -> f64 {
        let row = &self.rows[stage];
        basis * row.cost / row.basis
    }

    /// Expected time to the end for a held task that starts now, in a crowd one larger.
    fn stay(&self, task: &Task) -> Span {
        let crowd = ((self.load.on_cores + 1.0) / f64::from(self.set.cores)).max(1.0);
        Span::from_secs(self.cost(task.stage, task.basis) * crowd + self.rows[task.stage].waits)
    }

    /// The point of refusal: later than this, a held task that starts is not expected to be in time.
    fn refuse_at(&self, task: &Task) -> Instant {
        task.wanted - self.stay(task) * REFUSE_AT
    }

    /// Whether the demand of one more task fits under the learned throughput.
    fn fits(&self, demand: f64) -> bool {
        self.load.demand + demand <= self.throughput || self.load.on_cores < f64::from(self.set.cores)
    }

    /// The largest crowd that this backend survives, less while it is cold.
    fn survivable(&self) -> f64 {
        let age = (self.now - self.started) / self.set.warm_after;
        let warm = if self.set.cold { (self.set.cold_share * (1.0 - age) + age).min(1.0) } else { 1.0 };
        (1.0 + (self.set.crowd_limit - 1.0) * warm) * f64::from(self.set.cores) * CEILING
    }

    /// Memory and crowd: whether one more running task is survived.
    fn survives(&self, kb: f64) -> bool {
        let more = kb * (self.set.run_memory - 1.0);
        self.load.kb + more <= self.set.memory_kb * CEILING && self.load.out + 1.0 <= self.survivable()
    }

    // --- Events ---

    fn arrived(&mut self, arrival: Arrival) {
        let stage = &self.set.stages[arrival.stage];
        let early = self.period * ANSWER_EARLY;
        let came = self.now - arrival.unread;
        let mut limit = arrival.limit.unwrap_or(came + stage.limit) - early;
        if let Some((_, kill)) = self.kill {
            limit = limit.min(kill - early);
        }
        let basis = arrival.hint.map_or(1.0, |hint| hint.secs().max(1e-6));
        let row = &mut self.rows[arrival.stage];
        if arrival.hint.is_some() && !row.seen {
            (row.cost, row.basis) = (basis, basis);
        }
        let mut utility = stage.utility * if self.set.by_work { basis } else { 1.0 };
        if let Some(have) = arrival.customer.and_then(|c| self.allowances.get_mut(c)) {
            if *have < 1.0 {
                utility *= self.set.over_share;
            } else {
                *have -= 1.0;
            }
        }
        let due = came + stage.due * TIER_SHARE.powi(self.set.depth as i32);
        let demand = self.cost(arrival.stage, basis) / stage.due.secs().max(1e-3);
        let (effect, keep_for) = (stage.effect, stage.repeat_window);
        let task = Task {
            stage: arrival.stage,
            effect,
            customer: arrival.customer,
            wanted: due.min(limit),
            limit,
            kb: arrival.kb,
            basis,
            rate: utility / demand.max(1e-9) * (1.0 + arrival.place * 1e-6),
            demand,
            place: Place::Over,
            told: Place::Held,
            answer: None,
            owed: true,
            ran: false,
            worked: 0.0,
            work_from: 0.0,
            began: self.now,
            called_at: self.now,
            call_for: Span::ZERO,
            call_tries: 0,
            look: limit,
            kept_until: None,
            key_told: false,
        };
        let id = arrival.task;
        let index = id.0 as usize;
        if self.tasks.len() <= index {
            self.tasks.resize_with(index + 1, || None);
        }
        self.tasks[index] = Some(task);
        self.put(id, Place::Held);
        self.note_caller(arrival.caller);
        self.unread += (arrival.unread.secs() - self.unread) * UNREAD_GAIN;
        if self.kill.is_some_and(|(grace, _)| came >= grace) {
            return self.end(id, Answer::Rejected { terminal: false });
        }
        let again = match arrival.repeat {
            Repeat::No => false,
            Repeat::OfReleased => true,
            Repeat::Of(first) => {
                effect == Effect::Restartable
                    || self.task(first).is_some_and(|t| t.ran || t.place != Place::Over)
            }
        };
        if again {
            // An effect that may have happened is answered from its first run, never run again or rejected.
            self.task_mut(id).ran = true;
            self.put(id, Place::Reusing);
            self.look_at(id, limit);
            return;
        }
        let shared = effect == Effect::Restartable && arrival.shareable && self.set.share_for > Span::ZERO;
        if effect == Effect::Fingerprinted || shared {
            let keep = if shared { self.set.share_for } else { keep_for + early };
            if self.load.kb + self.set.key_kb <= self.set.memory_kb * CEILING {
                let until = came + keep;
                self.reweigh(id, |task| task.kept_until = Some(until));
            } else if !shared {
                return self.end(id, Answer::Rejected { terminal: false });
            }
        }
        let at = self.refuse_at(self.task(id).expect("just put"));
        self.look_at(id, at);
    }

    fn caller_gone(&mut self, id: TaskId) {
        let Some(task) = self.task(id) else { return };
        let place = task.place;
        self.task_mut(id).owed = false;
        match place {
            Place::Held | Place::Reusing => {
                self.put(id, Place::Over);
                self.settle_told(id);
            }
            Place::Standing => self.put(id, Place::Ending),
            _ => {}
        }
        if self.task(id).is_some_and(|t| t.place == Place::Ending) {
            self.settle_told(id);
        }
    }

    fn call_ended(&mut self, id: TaskId, outcome: CallOutcome) {
        let Some(task) = self.task(id) else { return };
        if task.place != Place::Calling {
            return;
        }
        let took = self.now - task.called_at;
        let owed = task.owed;
        if outcome == CallOutcome::Ok {
            self.window += 1.0 / self.window.max(1.0);
            self.call_time += (took.secs() - self.call_time) * COST_GAIN;
            self.put(id, Place::OnCores);
            return self.settle_told(id);
        }
        // A time-out that the task's own haste made short says nothing of what lies below.
        let slow = took.secs() > self.call_time * CALL_SLOW;
        if (slow || outcome == CallOutcome::NeverRan) && self.now - self.window_cut_at > took {
            self.window = (self.window * WINDOW_CUT).max(1.0);
            self.window_cut_at = self.now;
        }
        if let Below::Shared { over, linger, .. } = self.set.below {
            if outcome == CallOutcome::MayHaveRun {
                self.calls_mean += linger / over;
            }
        }
        self.put(id, Place::Standing);
        self.settle_told(id);
        let task = self.task_mut(id);
        task.call_tries += 1;
        let again = task.effect == Effect::Restartable || outcome == CallOutcome::NeverRan;
        if !owed {
            self.put(id, Place::Ending);
            self.settle_told(id);
        } else if !again || task.call_tries >= CALL_TRIES {
            self.leave_out(id);
        }
    }

    /// A call that can't be had is left out where the stage allows it; else the task is settled.
    fn leave_out(&mut self, id: TaskId) {
        let stage = self.task(id).expect("a task at a call").stage;
        if self.set.stages[stage].skip_part > 0.0 {
            self.put(id, Place::Skipping);
            let at = self.task(id).expect("inside").limit;
            self.look_at(id, at);
        } else {
            self.end(id, Answer::Abandoned);
        }
    }

    fn run_ended(&mut self, id: TaskId, outcome: RunOutcome) {
        let Some(task) = self.task(id) else { return };
        if task.place == Place::Over {
            return;
        }
        let measured = task.place == Place::OnCores && outcome == RunOutcome::Answered;
        let owed = task.owed && outcome != RunOutcome::Answered;
        self.put(id, Place::Over);
        let task = self.task_mut(id);
        (task.told, task.owed) = (Place::Over, owed);
        if owed {
            self.end(id, Answer::Abandoned);
        }
        if measured {
            self.learn_cost(id);
            self.learn_throughput(self.task(id).expect("inside").demand);
        }
    }

    /// Learns the throughput from a run that ended while the cores were full: the demand of as many tasks as
    /// have a core each, of the kind that runs now. It falls and rises with what the cores get done.
    fn learn_throughput(&mut self, demand: f64) {
        let cores = f64::from(self.set.cores);
        let (set, tasks) = (self.load.demand + demand, self.load.on_cores + 1.0);
        if tasks >= cores {
            self.throughput += (set * cores / tasks - self.throughput) * COST_GAIN;
        }
    }

    /// Learns what a run costs from one that ended; slow spells count in full, single huge runs do not.
    fn learn_cost(&mut self, id: TaskId) {
        let task = self.task(id).expect("just ended");
        let (stage, basis, worked) = (task.stage, task.basis, task.worked);
        let waits = ((self.now - task.began).secs() - worked).max(0.0);
        let seen = worked.min(self.cost(stage, basis) * COST_CLIP);
        let row = &mut self.rows[stage];
        let gain = if row.seen { COST_GAIN } else { 0.5 };
        row.cost += (seen - row.cost) * gain;
        row.basis += (basis - row.basis) * gain;
        row.waits += (waits - row.waits) * gain;
        row.seen = true;
    }

    fn timer(&mut self, gauges: Gauges) {
        self.arm = true;
        self.judge_staleness();
        let cores = f64::from(self.set.cores);
        let busy = gauges.cores_busy.unwrap_or(1.0);
        if self.load.on_cores < cores {
            self.full_since = None;
            return;
        }
        let since = *self.full_since.get_or_insert(self.now);
        if busy < IDLE && self.now - since > GAUGE_SPAN {
            self.use_idle_room();
            self.full_since = Some(self.now);
        }
    }

    /// The idle-room exception: the gauge shows free cores though the set is full, so the best held task
    /// starts without the fit test, and the learned throughput rises to what now runs.
    fn use_idle_room(&mut self) {
        if let Some(&(_, id)) = self.hold.first() {
            let kb = self.task(id).map_or(0.0, |t| t.kb);
            if self.survives(kb) {
                self.start(id);
                self.throughput = self.throughput.max(self.load.demand);
            }
        }
    }

    /// Callers whose tries time out while they lie unread never hear the free value; only the list of servers
    /// still reaches them. Each node leaves it by chance, so that one common cause does not take all at once.
    fn judge_staleness(&mut self) {
        let due = self.mean_due();
        let chance = self.chance.unit();
        if self.stale {
            self.stale = self.unread > due * FRESH_AGAIN;
        } else {
            self.stale = self.unread > due * STALE && chance < self.period.secs() / (due * LEAVE_WITHIN);
        }
    }

    fn mean_due(&self) -> f64 {
        self.set.stages.iter().map(|s| s.due.secs()).sum::<f64>() / self.rows.len() as f64
    }

    fn drain(&mut self, kill: Instant) {
        let early = self.period * ANSWER_EARLY;
        self.kill = Some((self.now + self.set.drain_grace - early, kill));
        let ids: Vec<TaskId> = self.timed.iter().map(|&(_, id)| id).collect();
        let mut left = 0;
        for id in ids {
            let task = self.task_mut(id);
            if task.place != Place::Over {
                task.limit = task.limit.min(kill - early);
                let at = task.look.min(task.limit);
                self.look_at(id, at);
                left += 1;
            }
        }
        self.logs.push(format!("leaving: {left} tasks to answer"));
    }

    // --- Decisions ---

    /// Looks at a task whose time has come.
    fn look(&mut self, id: TaskId) {
        let Some(task) = self.task(id) else { return };
        let (place, limit, kept) = (task.place, task.limit, task.kept_until);
        let wanted = task.wanted;
        if place == Place::Over {
            if kept.is_some_and(|until| until <= self.now) {
                self.reweigh(id, |task| task.kept_until = None);
                self.changed.push(id);
            }
            return;
        }
        match place {
            Place::Held => {
                let at = self.refuse_at(self.task(id).expect("inside"));
                if at <= self.now {
                    return self.too_late(id, true);
                }
                self.look_at(id, at);
            }
            Place::Standing if self.now < wanted => self.leave_out(id),
            Place::OnCores if self.set.stopping != Stopping::Never => self.end(id, Answer::Abandoned),
            _ if self.now < limit => self.look_at(id, limit),
            _ => self.end(id, Answer::Abandoned),
        }
    }

    /// A held task can't meet its due time any more: it is rejected, or, where a late answer still earns a
    /// part, goes on with a rate cut to that part until its time limit.
    fn too_late(&mut self, id: TaskId, terminal: bool) {
        let part = self.set.stages[self.task(id).expect("held").stage].late_part;
        let task = self.task_mut(id);
        if part <= 0.0 || task.wanted >= task.limit {
            return self.end(id, Answer::Rejected { terminal });
        }
        let rate = task.rate;
        (task.rate, task.wanted) = (rate * part, task.limit);
        self.hold.remove(&(order(rate), id));
        self.hold.insert((order(rate * part), id));
        let at = self.refuse_at(self.task(id).expect("held"));
        self.look_at(id, at.max(self.now));
    }

    /// Gives a task its final answer. What runs and can't be stopped goes on using the machine.
    fn end(&mut self, id: TaskId, answer: Answer) {
        let task = self.task_mut(id);
        let ran = task.ran && task.effect != Effect::Restartable;
        if task.owed && task.answer.is_none() {
            task.answer = Some(if ran { Answer::Abandoned } else { answer });
        }
        let customer = task.customer;
        let place = task.place;
        self.changed.push(id);
        match place {
            Place::Held | Place::Reusing => {
                if let Some(have) = customer.and_then(|c| self.allowances.get_mut(c)) {
                    *have += 1.0;
                }
                self.put(id, Place::Over);
                self.settle_told(id);
            }
            Place::Standing => {
                self.put(id, Place::Ending);
                self.settle_told(id);
            }
            Place::OnCores if self.set.stopping != Stopping::Never => self.put(id, Place::Ending),
            _ => {}
        }
    }

    /// SLICE's greedy selection: the highest rate first, until one no longer fits.
    fn select(&mut self) {
        while let Some(&(_, id)) = self.hold.first() {
            let task = self.task(id).expect("held");
            // Where every held task finds a free core, a long shot costs nobody anything.
            let free = self.load.on_cores + self.hold.len() as f64 <= f64::from(self.set.cores);
            let late = if free { task.wanted } else { self.refuse_at(task) };
            if late <= self.now {
                self.too_late(id, true);
                continue;
            }
            let jammed =
                self.standing.len() as f64 >= f64::from(self.set.cores) && self.set.stages[task.stage].calls;
            if jammed || !self.fits(task.demand) || !self.survives(task.kb) {
                break;
            }
            self.start(id);
        }
        self.judge_line();
        // The hold itself has to fit: the lowest rates go first.
        while self.load.kb > self.set.memory_kb * CEILING {
            let Some(&(_, id)) = self.hold.last() else { break };
            self.end(id, Answer::Rejected { terminal: false });
        }
    }

    /// The refusal point sees the line too: what stands behind more work than can be done before its due time
    /// is rejected now, while another backend may still be in time, and its caller hears the free value.
    fn judge_line(&mut self) {
        let cores = f64::from(self.set.cores);
        let (mut ahead, mut hopeless) = (0.0, Vec::new());
        for &(_, id) in &self.hold {
            let task = self.task(id).expect("held");
            if self.now + Span::from_secs(ahead / cores) > self.refuse_at(task) {
                hopeless.push(id);
            } else {
                ahead += self.cost(task.stage, task.basis);
            }
        }
        self.held_cost = ahead;
        for id in hopeless {
            self.too_late(id, false);
        }
    }

    fn start(&mut self, id: TaskId) {
        self.put(id, Place::OnCores);
        let (now, stoppable) = (self.now, self.set.stopping != Stopping::Never);
        let task = self.task_mut(id);
        (task.ran, task.began) = (true, now);
        let task = self.task(id).expect("inside");
        let at = if stoppable { task.wanted } else { task.limit };
        self.look_at(id, at);
    }

    /// Lets calls go, the highest rate first, as far as the window and the shared dependency allow.
    fn let_calls_go(&mut self) {
        while let Some(&(_, id)) = self.standing.first() {
            let share = match self.set.below {
                Below::Shared { calls, .. } => calls * CALLS_CEILING,
                _ => f64::INFINITY,
            };
            let room = self.load.calling + 1.0 <= self.window.min(share.max(1.0)) && self.calls_mean < share;
            let task = self.task(id).expect("standing");
            let rest = Span::from_secs((self.cost(task.stage, task.basis) - task.worked).max(0.0));
            let late = self.set.stages[task.stage].late_part > 0.0;
            let wanted = if late { task.limit } else { task.wanted };
            let left = wanted - self.now;
            if left <= rest {
                self.leave_out(id);
                continue;
            }
            if !room {
                let at = wanted - rest;
                self.look_at(id, at);
                break;
            }
            let limit = task.limit;
            self.put(id, Place::Calling);
            let now = self.now;
            let task = self.task_mut(id);
            (task.called_at, task.call_for) = (now, left - rest);
            self.look_at(id, limit);
        }
    }

    /// Remembers which callers send how much, lately.
    fn note_caller(&mut self, caller: u64) {
        for (_, share) in &mut self.callers {
            *share *= CALLER_FADE;
        }
        match self.callers.iter_mut().find(|(known, _)| *known == caller) {
            Some((_, share)) => *share += 1.0 - CALLER_FADE,
            None => self.callers.push((caller, 1.0 - CALLER_FADE)),
        }
        self.callers.retain(|(_, share)| *share > 1e-3);
    }

    /// The free value: how much of the surplus should not be sent here at all.
    fn free(&self) -> Option<f64> {
        let cores = f64::from(self.set.cores);
        let work: f64 = self.rows.iter().map(|r| r.cost).sum::<f64>() / self.rows.len().max(1) as f64;
        let due = self.set.stages.iter().map(|s| s.due.secs()).fold(f64::INFINITY, f64::min);
        // Reading costs work whatever is decided: tasks that lay unread say that too much is sent here, and a
        // node that reads only what is stale by then answers nobody. Should catch every cause of a backlog
        // (slow cores, one caller's burst, others gone); could harm where a pause alone let tasks lie, for as
        // long as callers heed.
        let unread = self.unread / (self.mean_due() * UNREAD_SHARE);
        let room = (cores / work.max(1e-6) * due * CREDIT_STAY).max(cores) * (1.0 - unread).max(0.0);
        let full = ((self.load.out + self.hold.len() as f64) / room.max(1.0)).min(2.0);
        match self.set.free_value {
            FreeValue::Silent => None,
            _ if self.kill.is_some() => Some(if self.set.free_value == FreeValue::Level { 1.0 } else { 0.0 }),
            FreeValue::Level => Some(((full - 1.0) / 2.0).max(0.0)),
            FreeValue::Weight => Some((1.5 - full).clamp(0.1, 1.0)),
            FreeValue::Credit => {
                let (sum, squares) =
                    self.callers.iter().fold((0.0, 0.0), |(a, b), (_, s)| (a + s, b + s * s));
                let alike =
                    if squares > 0.0 { sum * sum / squares } else { f64::from(self.set.callers.max(1)) };
                Some((room / alike.max(1.0) * 4.0).round() / 4.0)
            }
        }
    }

    /// How long a caller that was rejected should keep away.
    fn hold_off(&mut self) -> Span {
        if self.kill.is_some() {
            return self.set.hold_off;
        }
        let spread = 0.5 + self.chance.unit();
        let line = self.held_cost / f64::from(self.set.cores) + self.unread;
        (Span::from_secs(line) * spread).max(self.period).min(self.set.hold_off)
    }

    // --- The difference between what is wanted and what the host was told ---

    fn emit(&mut self, actions: &mut Vec<Action>) {
        let outward = Outward { health: self.kill.is_none() && !self.stale, free: self.free() };
        if self.told.map(|t| t.health) != Some(outward.health) {
            actions.push(Action::Health(outward.health));
        }
        if let Some(free) = outward.free.filter(|_| self.told.map(|t| t.free) != Some(outward.free)) {
            actions.push(Action::Say(free));
        }
        self.told = Some(outward);
        for id in std::mem::take(&mut self.changed) {
            self.emit_task(id, actions);
        }
        actions.extend(self.logs.drain(..).map(Action::Log));
        if std::mem::take(&mut self.arm) {
            actions.push(Action::Timer(self.period));
        }
    }

    fn emit_task(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(task) = self.task(id) else { return };
        let (told, place) = (task.told, task.place);
        if let Some(until) = task.kept_until.filter(|_| !task.key_told && place != Place::Over) {
            actions.push(Action::Keep(id, until - self.now));
            self.task_mut(id).key_told = true;
        }
        let task = self.task(id).expect("inside");
        let answer = task.answer.filter(|_| task.owed);
        if let Some(answer) = answer {
            self.task_mut(id).owed = false;
            actions.push(match answer {
                Answer::Abandoned => Action::Abandon(id),
                Answer::Rejected { terminal } => {
                    Action::Reject { task: id, hold_off: self.hold_off(), terminal }
                }
            });
        }
        match (told, place) {
            (Place::Held, Place::OnCores) => actions.push(Action::Run(id)),
            (Place::Held, Place::Reusing) => actions.push(Action::Reuse(id)),
            (Place::Standing, Place::Calling) => {
                let time_out = self.task(id).expect("inside").call_for;
                actions.push(Action::Call { task: id, time_out });
            }
            (Place::Standing, Place::Skipping) => {
                actions.push(Action::Skip(id));
                self.put(id, Place::OnCores);
            }
            (Place::OnCores, Place::Ending) => actions.push(Action::Stop(id)),
            _ => {}
        }
        let task = self.task_mut(id);
        task.told = task.place;
        if task.place == Place::Over {
            self.over(id, actions);
        }
    }

    /// Frees the index of a task that is over, unless its key is still kept.
    fn over(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let task = self.task(id).expect("inside");
        let (look, kept, ran, key_told) = (task.look, task.kept_until, task.ran, task.key_told);
        match kept.filter(|until| *until > self.now) {
            Some(until) if ran => self.look_at(id, until),
            kept => {
                if kept.is_some() && key_told {
                    actions.push(Action::Forget(id));
                }
                self.reweigh(id, |task| task.kept_until = None);
                self.timed.remove(&(look, id));
                self.tasks[id.0 as usize] = None;
                actions.push(Action::Release(id));
            }
        }
    }
}
