//! All decisions of lynxtally. A host makes one `Policy` for a backend, tells it with `on` each thing that
//! happens, and after the events of one moment calls `settle`, which adds what the host shall do. Selection
//! is SLICE's (docs/design.md): held tasks stand in the order of utility over demand, and the highest start
//! until one no longer fits under the learned throughput. Decisions set where a task is wanted; `emit` works
//! out the difference to what the host was told.

mod downstream_calls;
mod emit;
mod learning;
mod selection;

use crate::caller_similarity::Likeness;
use crate::expiry_set::Times;
use crate::request::{Place, Row, Task};
use crate::resource_usage::Load;
use crate::sliding_sum::Lately;
use crate::*;
use std::collections::BTreeSet;

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

/// How this backend uses its dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallUsage {
    /// Calls in flight downstream, with those that were cancelled and may still run there.
    pub in_flight: u64,
    /// Calls that requests wanted to make, since the start.
    pub requested: u64,
    /// Calls that were started, since the start.
    pub started: u64,
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
    hold: BTreeSet<(u64, RequestId)>,
    standing: BTreeSet<(u64, RequestId)>,
    timed: BTreeSet<(Instant, RequestId)>,
    /// Tasks to be looked at later that are not listed yet: most are over before the next moment.
    fresh: Vec<RequestId>,
    changed: Vec<RequestId>,
    rows: Vec<Row>,
    /// What each customer may send here, and what it does that is not rejected, in tasks a second.
    quotas: Vec<f64>,
    sent: Vec<f64>,
    /// How likely two arrivals are of one caller.
    likeness: Likeness,
    load: Load,
    /// Core time that a task running since the start would have had, in seconds.
    clock: f64,
    /// What this node may have in the hands of a shared dependency in the mean, and for how long what it gave
    /// up stays there; the call time that this had lately, in seconds, and the same less what is used evenly.
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
    /// Calls in hand at most and the longest of them, where they are granted; when each that was given up is
    /// over.
    grant: Option<(u64, Span)>,
    given_up: Times,
    wanted: u64,
    made: u64,
    held_cost: f64,
    unread: f64,
    /// Leaving: what arrives after the first point is not run; the kill comes at the second.
    kill: Option<(Instant, Instant)>,
    /// Health and free value as the host was last told; whether the timer has to be set again.
    told: (Option<bool>, Option<f64>),
    timer_wanted: bool,
    /// How busy the cores are over seconds, whether connections that carry nothing shall go, and for how many
    /// seconds they have to have carried nothing.
    busy: f64,
    close_idle: bool,
    idle_span: f64,
    logs: Vec<String>,
}

fn order(rate: f64) -> u64 {
    !rate.max(0.0).to_bits()
}

impl Policy {
    /// A backend that starts now and knows only its settings.
    pub fn new(set: Settings, seed: u64, now: Instant) -> Self {
        let (top, sum) =
            set.classes.iter().fold((0.0_f64, 0.0), |(t, a), s| (t.max(s.utility), a + s.utility));
        let shortest = set.classes.iter().map(|s| s.latency_objective).min().unwrap_or_default();
        let (share, over, linger) = match set.downstream {
            Downstream::Shared {
                concurrent_calls: calls,
                averaging_window: over,
                cancellation_lag: linger,
            } => (calls * CALLS_CEILING, over, linger),
            _ => (f64::INFINITY, Span::ZERO, Span::ZERO),
        };
        let mean_due = set.classes.iter().map(|s| s.latency_objective.secs()).sum::<f64>()
            / set.classes.len().max(1) as f64;
        // What processes before this one called is not known: it is taken for all, spent evenly. On a machine
        // that is cold there may have been several within the span, so none has a call free; else one at
        // most.
        let free = if set.cold_start { 0.0 } else { linger.secs() + mean_due * COST_UNSEEN };
        let before = share * over.secs() - free;
        let quotas: Vec<f64> =
            set.tenant_quotas.iter().map(|quota| quota / f64::from(set.backends.max(1))).collect();
        let row = |s: &RequestClass| Row {
            cost: s.latency_objective.secs() * COST_UNSEEN,
            basis: 1.0,
            waits: 0.0,
            seen: false,
        };
        Self {
            chance: Pcg::new(seed),
            now,
            started: now,
            cores: f64::from(set.cores),
            period: (shortest * PERIOD).max(Span::from_millis(5)),
            mean_due,
            selective: top * set.classes.len() as f64 > sum * STANDS_OUT,
            tasks: Vec::new(),
            hold: BTreeSet::new(),
            standing: BTreeSet::new(),
            timed: BTreeSet::new(),
            fresh: Vec::new(),
            changed: Vec::new(),
            rows: set.classes.iter().map(row).collect(),
            sent: quotas.clone(),
            quotas,
            likeness: Likeness::of(set.callers),
            load: Load::default(),
            clock: 0.0,
            share,
            linger,
            called: Lately::new(over + linger, before),
            called_fast: 0.0,
            throughput: 0.0,
            full_since: None,
            idle: false,
            window: if set.downstream == Downstream::Peers { f64::INFINITY } else { f64::from(set.cores) },
            window_cut: now,
            calls_from: now,
            call_time: 0.0,
            lingering: 0.0,
            grant: None,
            given_up: Times::default(),
            wanted: 0,
            made: 0,
            held_cost: 0.0,
            unread: 0.0,
            kill: None,
            told: (None, None),
            timer_wanted: true,
            busy: 1.0,
            close_idle: false,
            idle_span: set.client_idle_timeout.secs().max(mean_due),
            logs: Vec::new(),
            set,
        }
    }

    /// Takes in one thing that happened.
    pub fn handle(&mut self, now: Instant, event: Event) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival),
            Event::CallerGone(id) if self.task(id).is_some() => self.caller_gone(id),
            Event::CallRequested(id) if self.task(id).is_some() => self.stand(id),
            Event::CallEnded(id, outcome) if self.task(id).is_some() => self.call_ended(id, outcome),
            Event::RunEnded(id, outcome) if self.task(id).is_some() => self.run_ended(id, outcome),
            Event::TimerFired(gauges) => self.timer(gauges),
            Event::Drain(kill) => self.drain(kill),
            Event::QuotasChanged(quotas) => self.granted(quotas),
            _ => {} // The end of something that is over already.
        }
    }

    /// Parts granted for a while take the place of the settings'. What was begun under a larger one goes on,
    /// and nothing is begun until it fits under this one.
    fn granted(&mut self, shares: LeasedQuotas) {
        self.grant = shares.calls.map(|lease| (lease.max_in_flight, lease.max_duration));
        for (customer, quota) in self.quotas.iter_mut().enumerate() {
            let settings = self.set.tenant_quotas[customer] / f64::from(self.set.backends.max(1));
            *quota = shares.tenants.get(customer).copied().flatten().unwrap_or(settings);
        }
    }

    /// Calls in hand below, with those that were given up and may be; and how many were wanted and made so
    /// far.
    pub fn downstream_usage(&mut self) -> CallUsage {
        CallUsage {
            in_flight: self.load.calling as u64 + self.given_up.after(self.now),
            requested: self.wanted,
            started: self.made,
        }
    }

    /// What a customer sends here that is not rejected, in tasks a second.
    pub fn tenant_rate(&self, customer: usize) -> f64 {
        self.sent.get(customer).copied().unwrap_or(0.0)
    }

    /// Decides, and adds what the host shall do.
    pub fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    fn task(&self, id: RequestId) -> Option<&Task> {
        self.tasks.get(id.0 as usize)?.as_ref()
    }

    fn inside(&mut self, id: RequestId) -> &mut Task {
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
        self.unread *= (-past / self.set.capacity_ttl.secs().max(1e-3)).exp();
    }

    /// What a task uses where it is wanted. Answered work that can't be stopped still counts on the cores.
    fn weight(&self, id: RequestId) -> Load {
        let task = self.task(id).expect("a task that is inside");
        let key = if task.kept_until.is_some() { self.set.idempotency_key_kb } else { 0.0 };
        let running =
            Load { kb: key + task.kb * self.set.running_memory_factor, out: 1.0, ..Load::default() };
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

    fn reweigh(&mut self, id: RequestId, change: impl FnOnce(&mut Task)) {
        let before = self.weight(id);
        change(self.inside(id));
        let after = self.weight(id);
        self.load += after - before;
        self.load.demand *= f64::from(u8::from(self.load.on_cores > 0.0));
        self.load.calls_over *= f64::from(u8::from(self.load.calling > 0.0));
    }

    /// Sets where a task is wanted; `emit` tells the host.
    fn put(&mut self, id: RequestId, place: Place) {
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

    fn moved(&mut self, id: RequestId, place: Place) {
        self.put(id, place);
        self.inside(id).told = place;
    }

    fn look_at(&mut self, id: RequestId, at: Instant) {
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

    fn arrived(&mut self, arrival: Arrival) {
        let part = arrival.tenant.map_or(1.0, |customer| self.expected_part(customer));
        let stage = &self.set.classes[arrival.class];
        let (early, came) = (self.period * ANSWER_EARLY, self.now - arrival.receive_delay);
        let mut limit = arrival.deadline.unwrap_or(came + stage.deadline) - early;
        limit = self.kill.map_or(limit, |(_, kill)| limit.min(kill - early));
        let basis = arrival.expected_work.map_or(1.0, |hint| hint.secs().max(1e-6));
        let demand = self.demand(arrival.class, basis);
        let utility = stage.utility * part * if self.set.utility_per_work { basis } else { 1.0 };
        // A marked further try has lain unread elsewhere, each time about as long as is usual here.
        let spent = Span::from_secs(if arrival.is_retry { self.unread * TRIED } else { 0.0 });
        let due = came + (stage.latency_objective * TIER_SHARE.powi(self.set.tier_depth as i32) - spent);
        let (effect, window) = (stage.effect, stage.deduplication_window);
        let id = arrival.request;
        if self.tasks.len() <= id.0 as usize {
            self.tasks.resize_with(id.0 as usize + 1, || None);
        }
        self.tasks[id.0 as usize] = Some(Task {
            stage: arrival.class,
            effect,
            customer: arrival.tenant,
            further: arrival.is_retry,
            wanted: due.min(limit),
            limit,
            kb: arrival.memory_kb,
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
        self.likeness.note(arrival.caller, GAIN);
        self.unread += (arrival.receive_delay.secs() - self.unread) * UNREAD_GAIN;
        // An effect that may have happened is answered from its first run, never run again or rejected: also
        // while leaving, and where nobody has paid for it anew.
        let again = match arrival.duplicate {
            Duplicate::No => false,
            Duplicate::OfReleased => true,
            Duplicate::Of(_) if effect == Effect::Idempotent => true,
            Duplicate::Of(first) => self.task(first).is_some_and(|t| t.ran || t.place != Place::Over),
        };
        // Nobody has paid for it: not eligible, whatever its utility, and told when to come back.
        if !arrival.prepaid && (effect == Effect::Idempotent || !again) {
            return self.end(
                id,
                Action::Reject { request: id, retry_after: self.set.max_retry_after, no_retry: false },
            );
        }
        if again {
            self.inside(id).ran = true;
            self.put(id, Place::Reusing);
            return self.look(id);
        }
        if self.kill.is_some_and(|(grace, _)| came >= grace) {
            return self.reject(id, false);
        }
        let shared =
            effect == Effect::Idempotent && arrival.coalescable && self.set.coalescing_window > Span::ZERO;
        if effect == Effect::Deduplicated || shared {
            let until = came + if shared { self.set.coalescing_window } else { window + early };
            if self.load.kb + self.set.idempotency_key_kb <= self.set.memory_kb * CEILING {
                self.reweigh(id, |task| task.kept_until = Some(until));
            } else if !shared {
                // Without its key a repeat would look new, and both could run.
                return self.reject(id, false);
            }
        }
        let at = self.now + (self.refuse_at(self.task(id).expect("just put")) - self.now) * FRESH;
        self.look_at(id, at);
    }

    fn caller_gone(&mut self, id: RequestId) {
        self.inside(id).owed = false;
        match self.inside(id).place {
            Place::Held | Place::Reusing => self.moved(id, Place::Over),
            Place::Standing => self.moved(id, Place::Ending),
            _ => {}
        }
    }

    fn run_ended(&mut self, id: RequestId, outcome: RunOutcome) {
        let task = self.inside(id);
        let answered = outcome == RunOutcome::Responded;
        let (measured, called) = (task.place == Place::OnCores && answered, task.place == Place::Calling);
        task.owed &= !answered;
        if called {
            self.linger();
        }
        self.moved(id, Place::Over);
        self.end(id, Action::Fail(id));
        if measured {
            self.learn_cost(id);
            self.learn_throughput(self.task(id).expect("inside").demand);
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
}
