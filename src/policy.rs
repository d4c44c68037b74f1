//! All decisions of lynxtally. A host makes one `Policy` for a backend, tells it with `on` each thing that
//! happens, and after the events of one moment calls `settle`, which adds what the host shall do. Selection
//! is SLICE's (docs/design.md): held tasks stand in the order of utility over demand, and the highest start
//! until one no longer fits under the learned throughput. Decisions set where a task is wanted; `emit` works
//! out the difference to what the host was told.

use crate::lately::Lately;
use crate::load::Load;
use crate::*;
use std::collections::{BTreeSet, VecDeque};

/// The timer's period, as a share of the shortest due time.
const PERIOD: f64 = 1.0 / 40.0;
/// Final answers go out this many periods before the point that the rule names.
const ANSWER_EARLY: f64 = 2.0;
/// The part of the memory and of the survivable crowd that is used at most.
const CEILING: f64 = 0.85;
/// The part of the shared dependency's survivable calls that is used at most, in the mean.
const CALLS_CEILING: f64 = 0.8;
/// A call goes only where that mean leaves room for so many times its usual length.
const CALL_ROOM: f64 = 2.0;
/// Of what that mean allows, this part may be used at once; the rest evenly over the span.
const CALLS_AT_ONCE: f64 = 0.25;
/// What one ended run moves the learned cost and throughput, and one arrival the likeness of callers.
const GAIN: f64 = 1.0 / 16.0;
/// A run counts for at most this many times what was expected, so that few huge ones can't fool the mean.
const COST_CLIP: f64 = 4.0;
/// Held for this share of the time until its refusal, a task keeps half its rate.
const FRESH: f64 = 0.3;
/// The line ahead of a held task may last this share of the mean due time.
const LINE: f64 = 0.15;
/// A cost not seen yet is taken for this share of the due time.
const COST_UNSEEN: f64 = 1.0 / 8.0;
/// Connections are closed below this share of busy cores, with so many times the crowd open, and callers.
const ROOM: f64 = 0.85;
const FAR: f64 = 3.5;
/// Below this share of busy cores there is idle room; the gauge looks back over that span.
const IDLE: f64 = 0.92;
const GAUGE_SPAN: Span = Span::from_millis(500);
/// Crowding below cuts the window of calls to this share.
const WINDOW_CUT: f64 = 0.7;
/// A call that failed after this many times the usual time counts as crowding. One that can be made again is
/// given up after twice as many, and twice as many again at each try.
const CALL_SLOW: f64 = 4.0;
/// Tries of one call at most that may have run; a rejected one costs far less than the run it would waste.
const CALL_TRIES: u32 = 3;
/// What a customer sends is averaged over so many mean due times.
const SENT_OVER: f64 = 5.0;
/// The free value lets in so many times what keeps cores and calls busy; none to stay for this share of due.
const HELD_MORE: f64 = 2.0;
const FREE_STAY: f64 = 0.3;
/// Where the top utility is this many times the mean, twice as much is let in to choose from, and at least so
/// many tasks a core however dear they are: a caller that is kept away rejects without choice.
const STANDS_OUT: f64 = 2.0;
const CHOICE: f64 = 4.0;
/// A caller that is itself a backend has spent part of the due time: this share is left for each tier below.
const TIER_SHARE: f64 = 1.0 / 3.0;
/// Unread for this share of the mean due time, reading is fully behind; what one arrival moves that.
const UNREAD_SHARE: f64 = 0.25;
const UNREAD_GAIN: f64 = 1.0 / 8.0;
/// So many attempts a marked further try has behind it.
const TRIED: f64 = 2.0;
const CALLERS_KEPT: usize = 16;

/// Where a task is, or is wanted to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    Held,
    OnCores,
    /// At a call that was not let go yet.
    Standing,
    Calling,
    /// Waiting for the result of the task that it repeats.
    Reusing,
    /// Answered and off the cores, but using running memory until the run's end is heard of.
    Ending,
    #[default]
    Over,
}

#[derive(Default)]
struct Task {
    stage: usize,
    effect: Effect,
    customer: Option<usize>,
    further: bool,
    doubtful: bool,
    /// Until when an answer earns what the rate says, and until when one is owed.
    wanted: Instant,
    limit: Instant,
    kb: f64,
    /// What its cost is measured by: the hint, or 1.
    basis: f64,
    rate: f64,
    demand: f64,
    place: Place,
    told: Place,
    /// The final answer that the module gives itself, and whether one is owed yet.
    answer: Option<Action>,
    owed: bool,
    ran: bool,
    /// Core time had so far, in seconds; while it is on the cores, less the clock of its landing there.
    worked: f64,
    began: Instant,
    called: Instant,
    /// When the call is over below at the latest, also if it is given up.
    call_over: Instant,
    call_tries: u32,
    look: Instant,
    /// Whether it stands among the timed, or is about to.
    listed: bool,
    fresh: bool,
    kept_until: Option<Instant>,
    key_told: bool,
}

/// What is learned of a stage: core time and waits of a run, in seconds, and the basis of that cost.
struct Row {
    cost: f64,
    basis: f64,
    waits: f64,
    seen: bool,
}

/// The decisions of one backend.
pub struct Policy {
    set: Settings,
    chance: Pcg,
    now: Instant,
    started: Instant,
    cores: f64,
    period: Span,
    mean_due: f64,
    /// Whether one utility stands so far out that callers kept away blindly cost more than reading does.
    selective: bool,
    tasks: Vec<Option<Task>>,
    /// Held tasks and those standing at a call, the highest rate first.
    hold: BTreeSet<(u64, TaskId)>,
    standing: BTreeSet<(u64, TaskId)>,
    timed: BTreeSet<(Instant, TaskId)>,
    /// Tasks to be looked at later that are not listed yet: most are over before the next moment.
    fresh: Vec<TaskId>,
    changed: Vec<TaskId>,
    rows: Vec<Row>,
    /// What each customer sends here that is not rejected, in tasks a second.
    sent: Vec<f64>,
    /// The callers of the last arrivals, and how likely two arrivals are of one caller.
    callers: VecDeque<u64>,
    same_caller: f64,
    load: Load,
    /// Core time that a task running since the start would have had, in seconds.
    clock: f64,
    /// What this node may have in the hands of a shared dependency in the mean, and for how long what it gave up
    /// stays there; the call time that this had lately, in seconds, and the same less what is used evenly.
    share: f64,
    linger: Span,
    called: Lately,
    called_fast: f64,
    throughput: f64,
    /// Since when the set has been full, and whether the gauge shows idle room all the same.
    full_since: Option<Instant>,
    idle: bool,
    /// Bound of the calls in hand, its last cut, from when calls may go, and a call's usual time in seconds.
    window: f64,
    window_cut: Instant,
    calls_from: Instant,
    call_time: f64,
    /// Calls that were given up here and are still in hand below, where the rule counts them.
    lingering: f64,
    held_cost: f64,
    unread: f64,
    /// Leaving: what arrives after the first point is not run; the kill comes at the second.
    kill: Option<(Instant, Instant)>,
    /// Health and free value as the host was last told; whether the timer has to be set again.
    told: (Option<bool>, Option<f64>),
    timer_wanted: bool,
    /// How busy the cores are over seconds, and whether connections that carry nothing shall go.
    busy: f64,
    close_idle: bool,
    logs: Vec<String>,
}

fn order(rate: f64) -> u64 {
    !rate.max(0.0).to_bits()
}

impl Policy {
    /// A backend that starts now and knows only its settings.
    pub fn new(set: Settings, seed: u64, now: Instant) -> Self {
        let (top, sum) =
            set.stages.iter().fold((0.0_f64, 0.0), |(t, a), s| (t.max(s.utility), a + s.utility));
        let shortest = set.stages.iter().map(|s| s.due).min().unwrap_or_default();
        let (share, over, linger) = match set.below {
            Below::Shared { calls, over, linger } => (calls * CALLS_CEILING, over, linger),
            _ => (f64::INFINITY, Span::ZERO, Span::ZERO),
        };
        let mean_due = set.stages.iter().map(|s| s.due.secs()).sum::<f64>() / set.stages.len().max(1) as f64;
        // What the process before this one called is not known: it is taken for all but one call.
        let before = share * over.secs() - linger.secs() - mean_due * COST_UNSEEN;
        let row =
            |s: &StageSettings| Row { cost: s.due.secs() * COST_UNSEEN, basis: 1.0, waits: 0.0, seen: false };
        Self {
            chance: Pcg::new(seed),
            now,
            started: now,
            cores: f64::from(set.cores),
            period: (shortest * PERIOD).max(Span::from_millis(5)),
            mean_due,
            selective: top * set.stages.len() as f64 > sum * STANDS_OUT,
            tasks: Vec::new(),
            hold: BTreeSet::new(),
            standing: BTreeSet::new(),
            timed: BTreeSet::new(),
            fresh: Vec::new(),
            changed: Vec::new(),
            rows: set.stages.iter().map(row).collect(),
            sent: set.quotas.iter().map(|quota| quota / f64::from(set.backends.max(1))).collect(),
            callers: VecDeque::new(),
            same_caller: 1.0 / f64::from(set.callers.max(1)),
            load: Load::default(),
            clock: 0.0,
            share,
            linger,
            called: Lately::new(over + linger, before),
            called_fast: 0.0,
            throughput: 0.0,
            full_since: None,
            idle: false,
            window: if set.below == Below::Peers { f64::INFINITY } else { f64::from(set.cores) },
            window_cut: now,
            calls_from: now,
            call_time: 0.0,
            lingering: 0.0,
            held_cost: 0.0,
            unread: 0.0,
            kill: None,
            told: (None, None),
            timer_wanted: true,
            busy: 1.0,
            close_idle: false,
            logs: Vec::new(),
            set,
        }
    }

    /// Takes in one thing that happened.
    pub fn on(&mut self, now: Instant, event: Event) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival),
            Event::CallerGone(id) if self.task(id).is_some() => self.caller_gone(id),
            Event::AtCall(id) if self.task(id).is_some() => self.stand(id),
            Event::CallEnded(id, outcome) if self.task(id).is_some() => self.call_ended(id, outcome),
            Event::RunEnded(id, outcome) if self.task(id).is_some() => self.run_ended(id, outcome),
            Event::Timer(gauges) => self.timer(gauges),
            Event::Drain(kill) => self.drain(kill),
            _ => {} // The end of something that is over already.
        }
    }

    /// Decides, and adds what the host shall do.
    pub fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.list_fresh();
        self.select();
        while let Some(&(_, id)) = self.timed.first().filter(|(at, _)| *at <= now) {
            self.timed.pop_first();
            self.look(id);
        }
        self.judge_line();
        self.let_calls_go();
        self.emit(actions);
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.tasks.get(id.0 as usize)?.as_ref()
    }

    fn inside(&mut self, id: TaskId) -> &mut Task {
        self.tasks[id.0 as usize].as_mut().expect("a task that is inside")
    }

    fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return; // All of one moment: nothing fades.
        }
        let past = (now - self.now).secs();
        self.now = now;
        self.clock += past * (self.cores / self.load.on_cores.max(1.0)).min(1.0);
        self.called.add(now, self.load.calling * past);
        let evenly = self.share * (1.0 - CALLS_AT_ONCE);
        self.called_fast = (self.called_fast + (self.load.calling - evenly) * past).max(0.0);
        self.lingering *= (-past / self.linger.secs().max(1e-3)).exp();
        let keep = (-past / (self.mean_due * SENT_OVER)).exp();
        self.sent.iter_mut().for_each(|rate| *rate *= keep);
        self.unread *= (-past / self.set.heeded.secs().max(1e-3)).exp();
    }

    /// What a task uses where it is wanted. Answered work that can't be stopped still counts on the cores.
    fn weight(&self, id: TaskId) -> Load {
        let task = self.task(id).expect("a task that is inside");
        let key = if task.kept_until.is_some() { self.set.key_kb } else { 0.0 };
        let running = Load { kb: key + task.kb * self.set.run_memory, out: 1.0, ..Load::default() };
        match task.place {
            Place::Held => Load { kb: key + task.kb, ..Load::default() },
            Place::OnCores => Load { demand: task.demand, on_cores: 1.0, ..running },
            Place::Reusing => Load { on_cores: 1.0, ..running },
            Place::Standing | Place::Ending => running,
            Place::Calling => {
                Load { calling: 1.0, calls_over: (task.call_over - self.started).secs(), ..running }
            }
            Place::Over => Load { kb: key, ..Load::default() },
        }
    }

    fn reweigh(&mut self, id: TaskId, change: impl FnOnce(&mut Task)) {
        let before = self.weight(id);
        change(self.inside(id));
        let after = self.weight(id);
        self.load += after - before;
        self.load.demand *= f64::from(u8::from(self.load.on_cores > 0.0));
        self.load.calls_over *= f64::from(u8::from(self.load.calling > 0.0));
    }

    /// Sets where a task is wanted; `emit` tells the host.
    fn put(&mut self, id: TaskId, place: Place) {
        let (clock, task) = (self.clock, self.inside(id));
        let before = task.place;
        if before == place {
            return;
        }
        if before == Place::OnCores {
            task.worked += clock;
        } else if place == Place::OnCores {
            task.worked -= clock;
        }
        let key = (order(task.rate), id);
        match before {
            Place::Held => self.hold.remove(&key),
            Place::Standing => self.standing.remove(&key),
            _ => false,
        };
        match place {
            Place::Held => self.hold.insert(key),
            Place::Standing => self.standing.insert(key),
            _ => false,
        };
        self.reweigh(id, |task| task.place = place);
        self.changed.push(id);
    }

    fn moved(&mut self, id: TaskId, place: Place) {
        self.put(id, place);
        self.inside(id).told = place;
    }

    fn look_at(&mut self, id: TaskId, at: Instant) {
        let (now, task) = (self.now, self.inside(id));
        let before = std::mem::replace(&mut task.look, at);
        if task.listed || at <= now {
            let listed = std::mem::replace(&mut task.listed, true);
            if listed {
                self.timed.remove(&(before, id));
            }
            self.timed.insert((at, id));
        } else if !std::mem::replace(&mut task.fresh, true) {
            self.fresh.push(id);
        }
    }

    /// Lists the tasks that are still there since the last moment.
    fn list_fresh(&mut self) {
        for id in std::mem::take(&mut self.fresh) {
            let Some(task) = self.tasks[id.0 as usize].as_mut() else { continue };
            // What is over by now is looked at again only for its key, which is then said anew.
            if std::mem::take(&mut task.fresh) && task.place != Place::Over && !task.listed {
                task.listed = true;
                self.timed.insert((task.look, id));
            }
        }
    }

    fn cost(&self, stage: usize, basis: f64) -> f64 {
        basis * self.rows[stage].cost / self.rows[stage].basis
    }

    /// The paper's demand: expected cost over due time, in cores.
    fn demand(&self, stage: usize, basis: f64) -> f64 {
        (self.cost(stage, basis) / self.set.stages[stage].due.secs().max(1e-3)).max(1e-9)
    }

    /// The point of refusal: a held task that starts later than this is not expected to be in time.
    fn refuse_at(&self, task: &Task) -> Instant {
        let crowd = ((self.load.on_cores + 1.0) / self.cores).max(1.0);
        // Behind a line at the calls the cores' work would be wasted: it counts as the line of the held does.
        let calls = if self.set.stages[task.stage].calls { self.standing.len() as f64 } else { 0.0 };
        let waits = self.rows[task.stage].waits + calls * self.call_time / self.window;
        task.wanted - Span::from_secs(self.cost(task.stage, task.basis) * crowd + waits)
    }

    /// Whether the demand of one more task fits under the learned throughput; the cores bound it from below.
    fn fits(&self, demand: f64) -> bool {
        self.load.demand + demand <= self.throughput || self.load.on_cores < self.cores
    }

    /// The fourth rule: memory, and the crowd on the cores if all calls returned at once; less while cold.
    fn survives(&self, kb: f64) -> bool {
        let age = (self.now - self.started) / self.set.warm_after;
        let warm = if self.set.cold { (self.set.cold_share * (1.0 - age) + age).min(1.0) } else { 1.0 };
        let crowd = (1.0 + (self.set.crowd_limit - 1.0) * warm) * self.cores;
        self.load.kb + kb * (self.set.run_memory - 1.0) <= self.set.memory_kb * CEILING
            && self.load.out + 1.0 <= crowd * CEILING
    }

    fn call_room(&self, id: TaskId) -> Span {
        let task = self.task(id).expect("at a call");
        let until = if self.set.stages[task.stage].late_part > 0.0 { task.limit } else { task.wanted };
        until - self.now
    }

    /// How long a call is waited for. One never replied to would hold its run and a place in the window
    /// for all the time left. Catches lost and endless replies; harms where calls suddenly take far longer.
    fn time_out(&self, id: TaskId) -> Span {
        let (task, room) = (self.task(id).expect("at a call"), self.call_room(id));
        let usual = Span::from_secs(self.call_time * CALL_SLOW * f64::from(2 << task.call_tries));
        let again = task.effect == Effect::Restartable && task.call_tries + 1 < CALL_TRIES;
        room.min(if again && usual > Span::ZERO { usual.max(self.period) } else { room })
    }

    fn arrived(&mut self, arrival: Arrival) {
        let part = arrival.customer.map_or(1.0, |customer| self.expected_part(customer));
        let stage = &self.set.stages[arrival.stage];
        let (early, came) = (self.period * ANSWER_EARLY, self.now - arrival.unread);
        let mut limit = arrival.limit.unwrap_or(came + stage.limit) - early;
        limit = self.kill.map_or(limit, |(_, kill)| limit.min(kill - early));
        let basis = arrival.hint.map_or(1.0, |hint| hint.secs().max(1e-6));
        let demand = self.demand(arrival.stage, basis);
        let utility = stage.utility * part * if self.set.by_work { basis } else { 1.0 };
        // A marked further try has lain unread elsewhere, each time about as long as is usual here.
        let spent = Span::from_secs(if arrival.further { self.unread * TRIED } else { 0.0 });
        let due = came + (stage.due * TIER_SHARE.powi(self.set.depth as i32) - spent);
        let (effect, window) = (stage.effect, stage.repeat_window);
        let id = arrival.task;
        if self.tasks.len() <= id.0 as usize {
            self.tasks.resize_with(id.0 as usize + 1, || None);
        }
        self.tasks[id.0 as usize] = Some(Task {
            stage: arrival.stage,
            effect,
            customer: arrival.customer,
            further: arrival.further,
            wanted: due.min(limit),
            limit,
            kb: arrival.kb,
            basis,
            // Chance mixes rates within a factor of two: else a stage a little dearer than its like is cut.
            rate: utility / demand * (1.0 + self.chance.unit()),
            demand,
            told: Place::Held,
            owed: true,
            look: limit,
            ..Task::default()
        });
        self.put(id, Place::Held);
        self.note_caller(arrival.caller);
        self.unread += (arrival.unread.secs() - self.unread) * UNREAD_GAIN;
        if self.kill.is_some_and(|(grace, _)| came >= grace) {
            return self.reject(id, false);
        }
        // An effect that may have happened is answered from its first run, never run again or rejected.
        let again = match arrival.repeat {
            Repeat::No => false,
            Repeat::OfReleased => true,
            Repeat::Of(_) if effect == Effect::Restartable => true,
            Repeat::Of(first) => self.task(first).is_some_and(|t| t.ran || t.place != Place::Over),
        };
        if again {
            self.inside(id).ran = true;
            self.put(id, Place::Reusing);
            return self.look(id);
        }
        let shared = effect == Effect::Restartable && arrival.shareable && self.set.share_for > Span::ZERO;
        if effect == Effect::Fingerprinted || shared {
            let until = came + if shared { self.set.share_for } else { window + early };
            if self.load.kb + self.set.key_kb <= self.set.memory_kb * CEILING {
                self.reweigh(id, |task| task.kept_until = Some(until));
            } else if !shared {
                // Without its key a repeat would look new, and both could run.
                return self.reject(id, false);
            }
        }
        let at = self.now + (self.refuse_at(self.task(id).expect("just put")) - self.now) * FRESH;
        self.look_at(id, at);
    }

    /// The part of its utility that a customer's task is expected to keep. Beyond a share it has no mark;
    /// the chance of being within is the quota here over what the customer sends here and is not rejected.
    fn expected_part(&mut self, customer: usize) -> f64 {
        let quota = self.set.quotas[customer] / f64::from(self.set.backends.max(1));
        self.sent[customer] += 1.0 / (self.mean_due * SENT_OVER);
        let within = (quota / self.sent[customer]).min(1.0);
        within + (1.0 - within) * self.set.over_share
    }

    fn caller_gone(&mut self, id: TaskId) {
        self.inside(id).owed = false;
        match self.inside(id).place {
            Place::Held | Place::Reusing => self.moved(id, Place::Over),
            Place::Standing => self.moved(id, Place::Ending),
            _ => {}
        }
    }

    fn stand(&mut self, id: TaskId) {
        self.moved(id, Place::Standing);
        self.look_at(id, self.now + self.call_room(id));
    }

    fn call_ended(&mut self, id: TaskId, outcome: CallOutcome) {
        let (now, task) = (self.now, self.inside(id));
        if task.place != Place::Calling {
            return;
        }
        task.call_tries += u32::from(outcome != CallOutcome::NeverRan);
        let (took, owed) = (now - task.called, task.owed);
        let harmless = task.effect == Effect::Restartable || outcome == CallOutcome::NeverRan;
        let again = harmless && task.call_tries < CALL_TRIES;
        if outcome == CallOutcome::Ok {
            task.call_tries = 0;
            self.window += 1.0 / self.window;
            self.call_time += (took.secs() - self.call_time) * if self.call_time > 0.0 { GAIN } else { 1.0 };
            return self.moved(id, Place::OnCores);
        }
        // A time-out that the task's own haste made short says nothing of what lies below.
        let crowded = outcome == CallOutcome::NeverRan || took.secs() > self.call_time * CALL_SLOW;
        if crowded && now - self.window_cut > took {
            self.window = (self.window * WINDOW_CUT).max(1.0);
            self.window_cut = now;
        }
        if outcome == CallOutcome::MayHaveRun {
            self.linger();
            let gain = if self.call_time > 0.0 { GAIN } else { 1.0 };
            self.call_time += (took.secs() - self.call_time).max(0.0) * gain;
        } else if self.window <= 1.0 && matches!(self.set.below, Below::Shared { .. }) {
            // The one dependency takes no calls: they are tried one a period, not as fast as it rejects them.
            self.calls_from = now + self.period;
        }
        self.stand(id);
        if !owed {
            self.moved(id, Place::Ending);
        } else if !again {
            self.leave_out(id);
        }
    }

    fn run_ended(&mut self, id: TaskId, outcome: RunOutcome) {
        let task = self.inside(id);
        let answered = outcome == RunOutcome::Answered;
        let (measured, called) = (task.place == Place::OnCores && answered, task.place == Place::Calling);
        task.owed &= !answered;
        if called {
            self.linger();
        }
        self.moved(id, Place::Over);
        self.end(id, Action::Abandon(id));
        if measured {
            self.learn_cost(id);
            self.learn_throughput(self.task(id).expect("inside").demand);
        }
    }

    /// Learns from a run that ended what its stage costs; huge ones are clipped.
    fn learn_cost(&mut self, id: TaskId) {
        let task = self.task(id).expect("just ended");
        let (stage, basis, worked) = (task.stage, task.basis, task.worked);
        let waits = ((self.now - task.began).secs() - worked).max(0.0);
        let seen = worked.min(self.cost(stage, basis) * COST_CLIP);
        let row = &mut self.rows[stage];
        let gain = if row.seen { GAIN } else { 0.5 };
        row.cost += (seen - row.cost) * gain;
        row.basis += (basis - row.basis) * gain;
        row.waits += (waits - row.waits) * gain;
        row.seen = true;
    }

    /// Learns the throughput while the cores are full: the demand of as many such tasks as have a core each.
    fn learn_throughput(&mut self, demand: f64) {
        let (set, tasks) = (self.load.demand + demand, self.load.on_cores + 1.0);
        if tasks >= self.cores && !self.idle {
            self.throughput += (set * self.cores / tasks - self.throughput) * GAIN;
        }
    }

    fn timer(&mut self, gauges: Gauges) {
        self.timer_wanted = true;
        // A full table of connections keeps callers out. In overload no rejection is cheaper; where cores
        // have room, those that carry nothing go. Harms where a new connection is dear.
        self.busy += (gauges.cores_busy.unwrap_or(1.0) - self.busy) * PERIOD / 3.0;
        let (open, crowd) = (gauges.connections.unwrap_or(0.0), self.set.crowd_limit * self.cores);
        self.close_idle = self.busy < ROOM && open > crowd * FAR && f64::from(self.set.callers) > open * FAR;
        if self.load.on_cores < self.cores {
            return self.full_since = None;
        }
        let since = *self.full_since.get_or_insert(self.now);
        self.idle = gauges.cores_busy.is_some_and(|busy| busy < IDLE) && self.now - since > GAUGE_SPAN;
        // The idle-room exception: the gauge shows free cores though the set is full, so the best held task
        // starts without the fit test, and the learned throughput rises to what now runs.
        let Some(&(_, id)) = self.hold.first().filter(|_| self.idle) else { return };
        if self.survives(self.task(id).expect("held").kb) {
            self.full_since = Some(self.now);
            self.start(id);
            self.throughput = self.throughput.max(self.load.demand);
        }
    }

    fn drain(&mut self, kill: Instant) {
        self.list_fresh();
        let early = self.period * ANSWER_EARLY;
        self.kill = Some((self.now + self.set.drain_grace - early, kill));
        self.logs.push(format!("leaving: {:.0} tasks to answer", self.load.out + self.hold.len() as f64));
        for (_, id) in self.timed.clone() {
            let task = self.inside(id);
            if task.place != Place::Over {
                task.limit = task.limit.min(kill - early);
                task.wanted = task.wanted.min(task.limit);
                let at = task.look.min(task.limit);
                self.look_at(id, at);
            }
        }
    }

    /// SLICE's greedy selection: the highest rate first, until one no longer fits. Memory bounds the hold.
    fn select(&mut self) {
        while let Some(&(_, id)) = self.hold.first() {
            let task = self.task(id).expect("held");
            // Where every held task finds a free core, a long shot costs nobody anything.
            let free = self.load.on_cores + self.hold.len() as f64 <= self.cores;
            if self.now >= if free { task.wanted } else { self.refuse_at(task) } {
                self.too_late(id, true);
                continue;
            }
            if !self.fits(task.demand) || !self.survives(task.kb) {
                break;
            }
            self.start(id);
        }
        while self.load.kb > self.set.memory_kb * CEILING {
            let Some(&(_, id)) = self.hold.last() else { break };
            self.reject(id, false);
        }
    }

    fn start(&mut self, id: TaskId) {
        self.put(id, Place::OnCores);
        self.inside(id).ran = true;
        self.inside(id).began = self.now;
        self.look(id);
    }

    /// What stands behind a long line, or more than can be done in time, is rejected now, while another may
    /// be in time. Catches slow cores and backlogs of any cause; harms where the expected cost is too high.
    fn judge_line(&mut self) {
        let (mut ahead, mut hopeless) = (0.0, Vec::new());
        for &(_, id) in &self.hold {
            let task = self.task(id).expect("held");
            let line = Span::from_secs(ahead / self.cores);
            if line.secs() > self.mean_due * LINE || self.now + line > self.refuse_at(task) {
                hopeless.push(id);
            } else {
                ahead += self.cost(task.stage, task.basis);
            }
        }
        self.held_cost = ahead;
        for id in hopeless {
            // Where reading is behind here it most likely is elsewhere: a try that walks on is read by each.
            // Should catch every jam of readings; harms where only this node is behind.
            let walked = self.task(id).is_some_and(|task| task.further);
            let terminal = self.selective || walked || self.chance.unit() < self.behind();
            self.too_late(id, terminal);
        }
    }

    /// A held task can't be in time: rejected or, where late answers earn a part, kept at a rate cut to it.
    fn too_late(&mut self, id: TaskId, terminal: bool) {
        let task = self.task(id).expect("held");
        let part = self.set.stages[task.stage].late_part;
        if part <= 0.0 || task.wanted >= task.limit {
            return self.reject(id, terminal);
        }
        self.cut_rate(id, part);
        self.inside(id).wanted = self.inside(id).limit;
        let at = self.refuse_at(self.task(id).expect("held"));
        self.look_at(id, at.max(self.now));
    }

    fn cut_rate(&mut self, id: TaskId, part: f64) {
        let before = self.task(id).expect("held").rate;
        self.hold.remove(&(order(before), id));
        self.hold.insert((order(before * part), id));
        self.inside(id).rate = before * part;
    }

    fn look(&mut self, id: TaskId) {
        let Some(task) = self.task(id) else { return };
        let refuse_at = self.refuse_at(task);
        let end_at = if self.set.stoppable { task.wanted } else { task.limit };
        match task.place {
            Place::Over => self.changed.push(id),
            // What was held long may come late and waste its run: of tasks alike the fresh one goes first.
            // Should catch any long hold; harms where costs never stray.
            Place::Held if refuse_at > self.now => {
                if !std::mem::replace(&mut self.inside(id).doubtful, true) {
                    self.cut_rate(id, 0.5);
                }
                self.look_at(id, refuse_at);
            }
            Place::Held => self.too_late(id, true),
            Place::Standing => self.leave_out(id),
            _ if self.now < end_at => self.look_at(id, end_at),
            _ => self.end(id, Action::Abandon(id)),
        }
    }

    /// Lets calls go, the highest rate first, as far as the window and the shared dependency allow.
    fn let_calls_go(&mut self) {
        let most = self.share.max(1.0);
        while let Some(&(_, id)) = self.standing.first().filter(|_| self.now >= self.calls_from) {
            let full = self.load.calling + self.lingering >= most;
            if full || self.load.calling + 1.0 > self.window.min(most) {
                break;
            }
            let Some(time_out) = self.call_time_out(id) else { break };
            let (now, over) = (self.now, self.now + time_out + self.linger);
            (self.inside(id).called, self.inside(id).call_over) = (now, over);
            self.put(id, Place::Calling);
        }
    }

    /// A call was given up: until the dependency lets go of it, it counts, here and where the rule counts.
    fn linger(&mut self) {
        self.lingering += 1.0;
        self.called.add(self.now, self.linger.secs());
        self.called_fast += self.linger.secs();
    }

    /// The time-out of a call that goes now; none where it has to wait. The rule counts the plain mean of calls
    /// in hand over a span. What was in hand over the last one, and what is now, each to its last moment after
    /// being given up, stay under this node's share of it: so the mean does whatever becomes of the dependency,
    /// and the sum over all nodes does while each does so. Should catch any slowing of it for all at once, also
    /// in the middle of calls; harms where a call would have come back just past a cut time-out.
    fn call_time_out(&mut self, id: TaskId) -> Option<Span> {
        let wish = self.time_out(id);
        let Below::Shared { over, .. } = self.set.below else { return Some(wish) };
        let unseen = self.call_time <= 0.0;
        let usual = if unseen { self.mean_due * COST_UNSEEN } else { self.call_time * CALL_ROOM };
        let need = wish.min(Span::from_secs(usual).max(self.period)).secs();
        let most = self.share * over.secs();
        let ahead = self.load.calls_over - self.load.calling * (self.now - self.started).secs();
        let one = self.linger.secs() + need;
        let spent = self.called.sum(self.now) + ahead;
        // What all spend at once as a dependency slows crowds it, and is missing to all for the rest of the span.
        let fast = self.called_fast + ahead + one <= (most * CALLS_AT_ONCE).max(one);
        // A share that no call fits in lets one out when nothing was for a whole span.
        let room = if spent > 0.0 { most - spent } else { (most - spent).max(one) };
        (fast && room >= one).then(|| wish.min(Span::from_secs(room) - self.linger))
    }

    /// A call that can't be had is left out where the stage allows it; else the task is settled.
    fn leave_out(&mut self, id: TaskId) {
        if self.set.stages[self.task(id).expect("at a call").stage].skip_part > 0.0 {
            self.put(id, Place::OnCores);
            self.look(id);
        } else {
            self.end(id, Action::Abandon(id));
        }
    }

    fn reject(&mut self, task: TaskId, terminal: bool) {
        let hold_off = self.hold_off();
        self.end(task, Action::Reject { task, hold_off, terminal });
    }

    /// Gives a task its final answer. What runs and can't be stopped goes on using the machine.
    fn end(&mut self, id: TaskId, answer: Action) {
        let task = self.inside(id);
        let effect_ran = task.ran && task.effect != Effect::Restartable;
        task.answer.get_or_insert(if effect_ran { Action::Abandon(id) } else { answer });
        let (place, customer) = (task.place, task.customer.take_if(|_| !task.ran));
        if let Some(c) = customer {
            self.sent[c] = (self.sent[c] - 1.0 / (self.mean_due * SENT_OVER)).max(0.0);
        }
        match place {
            Place::Held | Place::Reusing => self.moved(id, Place::Over),
            Place::Standing => self.moved(id, Place::Ending),
            Place::OnCores if self.set.stoppable => self.put(id, Place::Ending),
            _ => self.changed.push(id),
        }
    }

    /// Learns how many callers send alike: two arrivals are of one caller as often as there are few of them.
    fn note_caller(&mut self, caller: u64) {
        let alike = self.callers.iter().filter(|&&known| known == caller).count() as f64;
        self.callers.push_back(caller);
        if self.callers.len() > CALLERS_KEPT {
            self.callers.pop_front();
            self.same_caller += (alike / CALLERS_KEPT as f64 - self.same_caller) * GAIN;
        }
    }

    /// How far reading is behind, from 0 to 1, by the time that tasks lay unread.
    fn behind(&self) -> f64 {
        (self.unread / (self.mean_due * UNREAD_SHARE)).min(1.0)
    }

    /// The free value: how much should be sent here at all.
    fn free(&self) -> Option<f64> {
        let mean = |of: fn(&Row) -> f64| self.rows.iter().map(of).sum::<f64>() / self.rows.len() as f64;
        let (cost, waits) = (mean(|r| r.cost).max(1e-6), mean(|r| r.waits));
        let narrow = ((cost + waits) * HELD_MORE).min(self.mean_due * FREE_STAY);
        let stay = if self.selective { self.mean_due * FREE_STAY * 2.0 } else { narrow };
        // Reading costs work whatever is decided: tasks that lay unread say that too much is sent here.
        // Should catch every cause of that; harms after a mere pause, for as long as callers heed.
        let least = if self.selective { CHOICE } else { 1.0 };
        let room = (self.cores / cost * stay).max(self.cores * least) * (1.0 - self.behind());
        let full = (self.load.out + self.hold.len() as f64) / room.max(1.0);
        match self.set.free_value {
            FreeValue::Silent => None,
            FreeValue::Level if self.kill.is_some() => Some(1.0),
            _ if self.kill.is_some() => Some(0.0),
            FreeValue::Level => Some(((full - 1.0) / 2.0).clamp(0.0, 0.5)),
            FreeValue::Weight => Some((1.5 - full).clamp(0.1, 1.0)),
            FreeValue::Credit => {
                // For each of as many as send alike; one at least: who sends nothing forgets it was told.
                Some(((room * self.same_caller * 4.0).round() / 4.0).max(1.0))
            }
        }
    }

    /// How long a rejected caller should keep away: till the line is worked off; not from what stands out.
    fn hold_off(&mut self) -> Span {
        if self.kill.is_some() {
            return self.set.hold_off;
        }
        let line = if self.selective { 0.0 } else { self.held_cost / self.cores + self.unread };
        (Span::from_secs(line) * (0.5 + self.chance.unit())).min(self.set.hold_off)
    }

    fn emit(&mut self, actions: &mut Vec<Action>) {
        let wanted = (Some(self.kill.is_none()), self.free());
        let told = std::mem::replace(&mut self.told, wanted);
        actions.extend(wanted.0.filter(|_| told.0 != wanted.0).map(Action::Health));
        actions.extend(wanted.1.filter(|_| told.1 != wanted.1).map(Action::Say));
        for id in std::mem::take(&mut self.changed) {
            if self.task(id).is_some() {
                self.emit_task(id, actions);
            }
        }
        actions.extend(self.logs.drain(..).map(Action::Log));
        if std::mem::take(&mut self.timer_wanted) {
            actions.extend(self.close_idle.then(|| Action::CloseIdle(Span::from_secs(self.mean_due))));
            actions.push(Action::Timer(self.period));
        }
    }

    fn emit_task(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let (now, linger, task) = (self.now, self.linger, self.inside(id));
        let (told, place) = (std::mem::replace(&mut task.told, task.place), task.place);
        if let Some(until) = task.kept_until.filter(|_| !task.key_told && place != Place::Over) {
            task.key_told = true;
            actions.push(Action::Keep(id, until - now));
        }
        if let Some(answer) = task.answer.take_if(|_| task.owed) {
            task.owed = false;
            actions.push(answer);
        }
        match (told, place) {
            (Place::Held, Place::OnCores) => actions.push(Action::Run(id)),
            (Place::Held, Place::Reusing) => actions.push(Action::Reuse(id)),
            (Place::Standing, Place::Calling) => {
                actions.push(Action::Call { task: id, time_out: task.call_over - now - linger })
            }
            (Place::Standing, Place::OnCores) => actions.push(Action::Skip(id)),
            (Place::OnCores, Place::Ending) => actions.push(Action::Stop(id)),
            (_, Place::Over) => self.release(id, actions),
            _ => {}
        }
    }

    /// Frees the index of a task that is over, unless its key is still kept.
    fn release(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let (now, task) = (self.now, self.inside(id));
        if let Some(until) = task.kept_until.filter(|until| task.ran && *until > now) {
            return self.look_at(id, until);
        }
        let (look, listed, forget) =
            (task.look, task.listed, task.kept_until.is_some_and(|until| until > now && task.key_told));
        if forget {
            actions.push(Action::Forget(id));
        }
        self.reweigh(id, |task| task.kept_until = None);
        if listed {
            self.timed.remove(&(look, id));
        }
        self.tasks[id.0 as usize] = None;
        actions.push(Action::Release(id));
    }
}
