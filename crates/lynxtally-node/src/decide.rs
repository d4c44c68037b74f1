//! The owner: one coroutine that holds the module, its door and the open tasks. Everything else sends it
//! messages; it takes all that wait, lets the module settle once, and hands out orders. It never blocks and
//! never writes to a socket itself, and decides nothing that the module should.

use crate::accept::{self, Entrance, Taken};
use crate::alarm::Alarm;
use crate::answer::{Answer, Standing};
use crate::clock::Clock;
use crate::config::Config;
use crate::control::Reporter;
use crate::counters::Counters;
use crate::end::End;
use crate::kernel::{Command, Notice, Orders, Reaped};
use crate::ledger::{self, Call, Ended, Ledger};
use crate::repeats::{Key, Repeats, Settled};
use lynxtally::{
    Action, Arrival, CallOutcome, Door, Effect, Event, Gauges, Instant, Policy, Repeat, RunOutcome, Span,
    TaskId,
};
use may::sync::mpsc::{Receiver, Sender};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// What the owner hears.
pub enum Heard {
    /// A task was read.
    Taken(Taken),
    /// A task's connection ended so that nobody waits.
    CallerGone {
        /// The task's name.
        id: String,
        /// The connection; another's task may have the same name.
        from: accept::Handle,
        /// How the connection ended.
        end: End,
    },
    /// The kernel said something.
    Kernel(Notice),
    /// There is no link to the kernel any more.
    LinkLost,
    /// A call ended.
    Called {
        /// The task's name.
        id: String,
        /// The call's number.
        number: u64,
        /// How it ended.
        ended: Ended,
    },
    /// Something may be due.
    Due,
    /// The notice to leave.
    Leave,
    /// What the program is told from now on.
    Configured(Box<Config>),
    /// The listener is closed.
    Closed,
}

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// Close connections whose time is over.
    Sweep,
    /// Ask for the gauges.
    Ask,
    /// The module's timer.
    Timer,
    /// A call's time runs out.
    Call(TaskId, u64),
    /// While leaving: close the listener.
    Close,
    /// While leaving: nothing crosses a closing any more.
    Crossed,
    /// While leaving: the last point to end at.
    Exit,
}

/// A task that the module knows.
struct Open {
    id: String,
    stage: usize,
    body: Vec<u8>,
    /// Where the final answer is awaited, until it is given.
    from: Option<accept::Handle>,
    /// By what its repeats are known.
    key: Option<Key>,
    paused: bool,
    /// Commands whose effect is not known yet. A new link to the kernel gets them again.
    unconfirmed: Vec<Command>,
    /// What the run's call has to say.
    call_body: Vec<u8>,
    /// The call under way.
    call: Option<(u64, ledger::Handle)>,
}

/// The gauges are asked for this part of the timer's period ahead.
const ASK_AHEAD: f64 = 0.25;
/// Gauges older than this many periods are none.
const GAUGES_KEPT: f64 = 2.0;
/// Connections are looked at for their time so many times the span in which a message must be whole.
const SWEEPS: f64 = 0.1;
/// While leaving, the listener closes after this part of the time, by when the lists have followed.
const CLOSE_AFTER: f64 = 0.8;
/// A task that crosses the closing of its connection within this is sent once more elsewhere.
const CROSSING: Span = Span::from_millis(60);

/// All that the owner holds.
pub struct Owner {
    config: Config,
    clock: Clock,
    policy: Option<Policy>,
    door: Door,
    open: Vec<Option<Open>>,
    actions: Vec<Action>,
    due: BTreeSet<(Instant, Due)>,
    /// When the alarm goes next.
    armed: Option<Instant>,
    calls: u64,
    /// What carrying out actions brought about at once; the module hears of it before anything else.
    brought: Vec<Event>,
    repeats: Repeats,
    /// Whether the kernel hears commands now.
    linked: bool,
    gauges: (Instant, Gauges),
    period: Span,
    /// Since when the listener is closed.
    closed: Option<Instant>,
    /// When the kill comes, once the notice to leave was given.
    kill: Option<Instant>,
    /// Whether the last point to end at has come.
    over: bool,
    alarm: Alarm,
    owner: Sender<Heard>,
    reporter: Reporter,
    kernel: Arc<Orders>,
    ledger: Arc<Ledger>,
    entrance: Arc<Entrance>,
    standing: Arc<Standing>,
    counters: Arc<Counters>,
}

/// The other parts, as the owner reaches them.
pub struct Parts {
    /// What wakes the owner.
    pub alarm: Alarm,
    /// Messages to the owner itself.
    pub owner: Sender<Heard>,
    /// Reports to the control plane.
    pub reporter: Reporter,
    /// Commands to the kernel.
    pub kernel: Arc<Orders>,
    /// Calls to the ledger.
    pub ledger: Arc<Ledger>,
    /// Connections from sidecars.
    pub entrance: Arc<Entrance>,
    /// What goes with answers.
    pub standing: Arc<Standing>,
    /// The counters.
    pub counters: Arc<Counters>,
}

impl Owner {
    /// An owner that waits for the kernel to come up.
    pub fn new(config: Config, parts: Parts) -> Self {
        let Parts { alarm, owner, reporter, kernel, ledger, entrance, standing, counters } = parts;
        let repeats = Repeats::new(config.bounds().results);
        Self {
            config,
            clock: Clock::default(),
            policy: None,
            door: Door::default(),
            open: Vec::new(),
            actions: Vec::new(),
            due: BTreeSet::from([(Instant::default(), Due::Sweep)]),
            armed: None,
            calls: 0,
            brought: Vec::new(),
            repeats,
            linked: false,
            gauges: Default::default(),
            period: Span::ZERO,
            closed: None,
            kill: None,
            over: false,
            alarm,
            owner,
            reporter,
            kernel,
            ledger,
            entrance,
            standing,
            counters,
        }
    }

    /// Works until the program is to end.
    pub fn work(&mut self, heard: &Receiver<Heard>) {
        let mut batch = Vec::new();
        loop {
            self.set_alarm();
            let Ok(first) = heard.recv() else { return };
            batch.push(first);
            batch.extend(heard.try_iter());
            let now = self.clock.now();
            self.armed = self.armed.filter(|at| *at > now);
            for message in batch.drain(..) {
                self.hear(now, message);
            }
            self.bring(now);
            while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
                self.due.remove(&(at, due));
                self.fall_due(now, due);
            }
            while let Some(policy) = &mut self.policy {
                policy.settle(now, &mut self.actions);
                self.carry_out(now);
                if self.brought.is_empty() {
                    break;
                }
                self.bring(now);
            }
            if self.done(now) {
                return;
            }
        }
    }

    /// Has a message sent when the next thing falls due, unless one comes by then anyway.
    fn set_alarm(&mut self) {
        let Some(&(at, _)) = self.due.first() else { return };
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            let owner = self.owner.clone();
            let wait = Duration::from_micros((at - self.clock.now()).micros());
            // Nobody hears it only where the program ends.
            self.alarm.after(wait, move || {
                let _ = owner.send(Heard::Due);
            });
        }
    }

    /// After a failure of our own: every open task is answered, those still in messages too, and nothing more
    /// is sent here.
    pub fn give_up(&mut self) {
        self.reporter.say(false);
        self.standing.set_healthy(false);
        self.standing.leave();
        for open in self.open.iter_mut().flatten() {
            if let Some(from) = open.from.take() {
                self.counters.abandoned.add();
                self.counters.open.less();
                from.push(accept::Order::Answer(Answer::Abandoned));
            }
        }
        self.entrance.abandon_all();
    }

    fn tell(&mut self, now: Instant, event: Event) {
        if let Some(policy) = &mut self.policy {
            policy.on(now, event);
        }
    }

    fn hear(&mut self, now: Instant, message: Heard) {
        match message {
            Heard::Taken(taken) => self.taken(now, taken),
            Heard::CallerGone { id, from, end } => {
                if let Some((task, open)) = self.find(&id) {
                    if open.from.take_if(|own| Arc::ptr_eq(own, &from)).is_some() {
                        debug!(id, %end, "caller gone");
                        self.counters.caller_gone.add();
                        self.counters.open.less();
                        self.tell(now, Event::CallerGone(task));
                    }
                }
            }
            Heard::Kernel(notice) => self.noticed(now, notice),
            Heard::LinkLost => self.linked = false,
            Heard::Called { id, number, ended } => self.called(now, &id, number, ended),
            Heard::Leave if self.kill.is_none() => {
                info!(stop_ms = self.config.stop.as_millis() as u64, "notice to leave");
                let stop = Span::from_micros(self.config.stop.as_micros() as u64);
                let kill = *self.kill.insert(now + stop);
                self.tell(now, Event::Drain(kill));
                self.reporter.say(false);
                self.standing.set_healthy(false);
                self.due.insert((now + stop * CLOSE_AFTER, Due::Close));
                // The module answers all by two periods before the kill.
                self.due.insert((now + (stop - self.period), Due::Exit));
            }
            Heard::Leave | Heard::Due => {}
            Heard::Configured(config) => self.configure(*config),
            Heard::Closed => {
                self.closed = Some(now);
                self.due.insert((now + CROSSING, Due::Crossed));
                self.entrance.close_idle(Duration::ZERO);
            }
        }
    }

    /// Takes a new configuration over. The addresses and the time until the kill take effect at once, here and
    /// nowhere else; runs, notices, tasks and counts go on.
    fn configure(&mut self, newer: Config) {
        let fixed = self.config.fixed(&newer);
        let (kernel, ledger, control) = (newer.kernel, newer.ledger, newer.control);
        info!(%kernel, %ledger, %control, "configuration read anew");
        if !fixed.is_empty() {
            warn!(keys = fixed.join(", "), "changed keys that take effect only at the next start");
        }
        if self.config.kernel != kernel {
            self.kernel.move_to(kernel);
        }
        if self.config.ledger != ledger {
            self.ledger.move_to(ledger);
        }
        if self.config.control != control {
            self.reporter.move_to(control);
        }
        (self.config.kernel, self.config.ledger, self.config.control) = (kernel, ledger, control);
        self.config.stop = newer.stop;
    }

    fn find(&mut self, id: &str) -> Option<(TaskId, &mut Open)> {
        let task = self.door.find(id)?;
        Some((task, self.open.get_mut(task.0 as usize)?.as_mut()?))
    }

    fn taken(&mut self, now: Instant, Taken { sent, from }: Taken) {
        self.counters.tasks.add(sent.stage);
        // Before the kernel is up there is no module to ask, and a name that is inside already can't be told
        // from the task that has it. Neither is expected; neither ran.
        if self.policy.is_none() || self.door.find(&sent.id).is_some() {
            if self.counters.tasks_refused.get() == 0 {
                warn!(
                    id = sent.id,
                    "a task before the kernel is up, or under a name that is in use; later only counted"
                );
            }
            self.counters.tasks_refused.add();
            self.counters.rejected.add();
            let answer = Answer::Rejected { hold_off: Span::ZERO, terminal: false };
            from.push(accept::Order::Answer(answer));
            return;
        }
        let task = self.door.enter(&sent.id);
        self.counters.open.add();
        let settings = &self.config.declared.settings;
        let mark = match settings.stages[sent.stage].effect {
            Effect::Restartable => sent.subject.clone().filter(|_| settings.share_for > Span::ZERO),
            Effect::Fingerprinted => sent.mark,
            Effect::SideEffecting => None,
        };
        let key = mark.map(|mark| (sent.stage, mark));
        let arrival = Arrival {
            task,
            stage: sent.stage,
            customer: sent.customer,
            caller: sent.caller,
            hint: None,
            unread: now - Instant::from_micros(sent.arrived_ms.saturating_mul(1000)),
            limit: None,
            further: false,
            repeat: key.as_ref().map_or(Repeat::No, |key| self.repeats.arrive(now, key, task)),
            shareable: sent.subject.is_some(),
            kb: sent.kb,
            place: sent.place,
        };
        let at = task.0 as usize;
        if self.open.len() <= at {
            self.open.resize_with(at + 1, || None);
        }
        self.open[at] = Some(Open {
            id: sent.id,
            stage: sent.stage,
            body: sent.body,
            from: Some(from),
            key,
            paused: false,
            unconfirmed: Vec::new(),
            call_body: Vec::new(),
            call: None,
        });
        self.tell(now, Event::Arrived(arrival));
    }

    fn noticed(&mut self, now: Instant, notice: Notice) {
        match notice {
            Notice::Booted { cold, ms } => {
                if self.policy.is_none() {
                    let start = now - Span::from_secs(ms / 1000.0);
                    info!(cold, ms, "the kernel is up");
                    let mut settings = self.config.declared.settings.clone();
                    settings.cold = cold;
                    let mut policy = Policy::new(settings, self.config.seed, start);
                    if let Some(kill) = self.kill {
                        policy.on(now, Event::Drain(kill));
                    }
                    self.policy = Some(policy);
                }
            }
            Notice::Synced(link) => {
                // All that happened without a link has been told by now. What no effect is known of is said
                // again.
                self.linked = true;
                self.kernel.begin(link);
                for command in self.open.iter().flatten().flat_map(|open| &open.unconfirmed) {
                    self.kernel.say(command.clone());
                }
            }
            Notice::Gauges(values) => {
                let names = &self.config.declared.gauges;
                let named = |name| Some(*values.get(names.iter().position(|known| known == name)?)?);
                let gauges = Gauges { cores_busy: named("cpu_busy"), connections: named("sockets") };
                self.gauges = (now, gauges);
            }
            Notice::AtCall { id, body } => {
                let Some((task, open)) = self.find(&id) else { return self.unknown(&id) };
                // A stop may have crossed this notice: only a run's end shows its effect.
                open.unconfirmed.retain(|command| matches!(command, Command::Stop(_)));
                open.call_body = body;
                self.tell(now, Event::AtCall(task));
            }
            Notice::Ended { id, how, result } => self.run_ended(now, &id, how, result),
            Notice::Refused { command, id } => {
                if self.counters.kernel_refused.get() == 0 {
                    warn!(id, command, "the kernel did not carry out a command; later ones are only counted");
                }
                self.counters.kernel_refused.add();
                if command == "SCHED" || command == "RESCHED" {
                    // The run will never be heard of again: the task must not hang on it.
                    if let Some((task, open)) = self.find(&id) {
                        open.unconfirmed.clear();
                        self.tell(now, Event::RunEnded(task, RunOutcome::Moot));
                    }
                }
            }
            Notice::Remark(text) => debug!(text, "the kernel remarks"),
        }
    }

    fn unknown(&self, id: &str) {
        debug!(id, "a notice for a task that is not known");
        self.counters.kernel_unknown.add();
    }

    fn run_ended(&mut self, now: Instant, id: &str, how: Reaped, result: Vec<u8>) {
        match how {
            Reaped::Ok => self.counters.runs_ok.add(),
            Reaped::Error => self.counters.runs_error.add(),
            Reaped::Stopped => self.counters.runs_stopped.add(),
            Reaped::Moot => self.counters.runs_moot.add(),
        }
        let pauses = self.config.declared.pauses;
        let Some((task, open)) = self.find(id) else { return self.unknown(id) };
        open.unconfirmed.clear();
        let key = open.key.clone();
        open.paused = how == Reaped::Stopped && pauses && open.from.is_some();
        // A run that ends during its call gives the call up.
        if let Some((number, call)) = open.call.take() {
            call.push(ledger::Order::GiveUp(number));
        }
        // A paused run goes on later: its repeats wait on.
        if let Some(key) = key.filter(|_| how != Reaped::Stopped) {
            let settled = self.repeats.ended(&key, task, (how == Reaped::Ok).then_some(&result));
            self.settle_repeats(settled);
        }
        let outcome = match how {
            Reaped::Ok => {
                self.answer(task, Answer::Finished(result));
                RunOutcome::Answered
            }
            Reaped::Error => {
                self.answer(task, Answer::Abandoned);
                RunOutcome::Answered
            }
            Reaped::Stopped => RunOutcome::Cancelled,
            Reaped::Moot => RunOutcome::Moot,
        };
        self.tell(now, Event::RunEnded(task, outcome));
    }

    fn called(&mut self, now: Instant, id: &str, number: u64, ended: Ended) {
        let outcome = ended.outcome();
        match outcome {
            CallOutcome::Ok => self.counters.calls_ok.add(),
            CallOutcome::NeverRan => self.counters.calls_never_ran.add(),
            CallOutcome::MayHaveRun => self.counters.calls_may_have_run.add(),
        }
        let Some((task, open)) = self.find(id) else { return };
        if open.call.take_if(|(own, _)| *own == number).is_none() {
            return;
        }
        debug!(id, ?outcome, "call ended");
        if let Ended::Replied(reply) = ended {
            if outcome == CallOutcome::Ok {
                let reply = Command::Reply { id: id.to_owned(), body: reply.body };
                self.command(task, reply);
            }
        }
        self.tell(now, Event::CallEnded(task, outcome));
    }

    fn fall_due(&mut self, now: Instant, due: Due) {
        match due {
            Due::Ask if self.linked => {
                self.kernel.say(Command::Gauges);
            }
            Due::Sweep => {
                self.entrance.sweep();
                let message = Span::from_micros(self.config.bounds().message.as_micros() as u64);
                self.due.insert((now + message * SWEEPS, Due::Sweep));
            }
            Due::Ask | Due::Crossed => {}
            Due::Timer => {
                let (told, gauges) = self.gauges;
                let fresh = now - told <= self.period * GAUGES_KEPT;
                self.tell(now, Event::Timer(if fresh { gauges } else { Gauges::default() }));
                self.ledger.close_idle();
                self.repeats.sweep(now);
            }
            Due::Call(task, number) => {
                let call = self.open.get(task.0 as usize).and_then(|open| open.as_ref()?.call.as_ref());
                if let Some((_, handle)) = call.filter(|(own, _)| *own == number) {
                    handle.push(ledger::Order::GiveUp(number));
                }
            }
            Due::Close => {
                // Not before: until the lists have followed, a sidecar whose connection is ended only makes
                // another, which costs both sides more than the task.
                self.standing.leave();
                self.entrance.close();
            }
            Due::Exit => self.over = true,
        }
    }

    /// Gives a task its one final answer.
    fn answer(&mut self, task: TaskId, answer: Answer) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        let Some(from) = open.from.take() else { return };
        self.counters.open.less();
        match &answer {
            Answer::Finished(_) => self.counters.finished.add(),
            Answer::Rejected { .. } => self.counters.rejected.add(),
            Answer::Abandoned | Answer::Unfit(_) => self.counters.abandoned.add(),
        }
        if !from.push(accept::Order::Answer(answer)) {
            self.counters.answers_lost.add();
        }
    }

    /// Tells the kernel something of a task, now or when there is a link again.
    fn command(&mut self, task: TaskId, command: Command) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        open.unconfirmed.push(command.clone());
        if self.linked {
            self.kernel.say(command);
        }
    }

    fn carry_out(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Run(task) => self.run(task),
                Action::Stop(task) => {
                    if let Some(open) = &self.open[task.0 as usize] {
                        let id = open.id.clone();
                        self.command(task, Command::Stop(id));
                    }
                }
                Action::Reject { task, hold_off, terminal } => {
                    self.answer(task, Answer::Rejected { hold_off, terminal });
                }
                Action::Abandon(task) => self.answer(task, Answer::Abandoned),
                Action::Call { task, time_out } => self.call(now, task, time_out),
                Action::Health(on) => {
                    let on = on && self.kill.is_none();
                    self.standing.set_healthy(on);
                    self.reporter.say(on);
                }
                Action::Say(free) => self.standing.say(free),
                Action::CloseIdle(span) => {
                    self.entrance.close_idle(Duration::from_micros(span.micros()));
                }
                Action::Timer(span) => {
                    self.period = span;
                    self.due.insert((now + span, Due::Timer));
                    self.due.insert((now + span * (1.0 - ASK_AHEAD), Due::Ask));
                }
                Action::Log(text) => info!("{text}"),
                Action::Release(task) => {
                    self.door.leave(task);
                    if let Some(open) = self.open[task.0 as usize].take() {
                        if let Some(key) = open.key {
                            let settled = self.repeats.release(now, &key, task);
                            self.settle_repeats(settled);
                        }
                        if let Some((number, call)) = open.call {
                            call.push(ledger::Order::GiveUp(number));
                        }
                    }
                }
                Action::Reuse(task) => {
                    if let Some(key) = self.key(task) {
                        let settled = self.repeats.reuse(&key, task);
                        self.settle_repeats(settled);
                    }
                }
                Action::Keep(task, span) => {
                    if let Some(key) = self.key(task) {
                        self.repeats.keep(now, &key, task, span);
                    }
                }
                Action::Forget(task) => {
                    if let Some(key) = self.key(task) {
                        let settled = self.repeats.forget(&key, task);
                        self.settle_repeats(settled);
                    }
                }
                // The module was told that a call left out earns nothing, so it never asks for one.
                Action::Skip(task) => error!(?task, "a call can't be left out here"),
            }
        }
    }

    fn key(&self, task: TaskId) -> Option<Key> {
        self.open[task.0 as usize].as_ref()?.key.clone()
    }

    /// Answers repeats with the result of what they repeat; the module hears that their runs ended.
    fn settle_repeats(&mut self, settled: impl IntoIterator<Item = Settled>) {
        for (task, result) in settled {
            self.answer(task, result.map_or(Answer::Abandoned, Answer::Finished));
            self.brought.push(Event::RunEnded(task, RunOutcome::Answered));
        }
    }

    fn bring(&mut self, now: Instant) {
        for event in std::mem::take(&mut self.brought) {
            self.tell(now, event);
        }
    }

    fn run(&mut self, task: TaskId) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        let id = open.id.clone();
        let command = if std::mem::take(&mut open.paused) {
            Command::Resume(id)
        } else {
            let stage = self.config.declared.stages[open.stage].clone();
            Command::Run { id, stage, body: open.body.clone() }
        };
        self.counters.runs.add();
        self.command(task, command);
    }

    fn call(&mut self, now: Instant, task: TaskId, time_out: Span) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        self.calls += 1;
        let number = self.calls;
        let call = Call { id: open.id.clone(), number, time_out, body: open.call_body.clone() };
        if let Some(handle) = self.ledger.call(call) {
            open.call = Some((number, handle));
            self.due.insert((now + time_out, Due::Call(task, number)));
        } else {
            error!(id = open.id, "no coroutine for a call");
            self.tell(now, Event::CallEnded(task, CallOutcome::NeverRan));
        }
    }

    /// Whether the program may end: all is answered and no connection is left, or the time is over.
    fn done(&self, now: Instant) -> bool {
        let waiting = || self.open.iter().flatten().any(|open| open.from.is_some());
        let quiet = |closed| now - closed >= CROSSING && self.entrance.is_empty() && !waiting();
        self.over || self.closed.is_some_and(quiet)
    }
}
