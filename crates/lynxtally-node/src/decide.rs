//! The owner: one coroutine that holds the module, its door and the open tasks. Everything else sends it messages;
//! it takes all that wait, lets the module settle once, and hands out orders. It never blocks and never writes to a
//! socket itself, and decides nothing that the module should.

use crate::accept::{self, Entrance, Taken};
use crate::answer::{Answer, Standing};
use crate::clock::Clock;
use crate::config::Config;
use crate::control::Reporter;
use crate::counters::Counters;
use crate::end::End;
use crate::kernel::{self, Command, Notice, Reaped};
use crate::ledger::{self, Call, Ended, Ledger};
use crate::wire::Outbox;
use lynxtally::{Action, Arrival, Door, Event, Gauges, Instant, Policy, Repeat, RunOutcome, Span, TaskId};
use may::sync::mpsc::Receiver;
use std::collections::BTreeSet;
use std::sync::mpsc::RecvTimeoutError;
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
        /// How the connection ended.
        end: End,
    },
    /// The kernel said something.
    Kernel(Notice),
    /// There is no link to the kernel.
    LinkLost(End),
    /// A call ended.
    Called {
        /// The task's name.
        id: String,
        /// The call's number.
        number: u64,
        /// How it ended.
        ended: Ended,
    },
    /// The notice to leave.
    Leave,
    /// The counters are asked for.
    Count,
}

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// Ask for the gauges.
    Ask,
    /// The module's timer.
    Timer,
    /// A call's time runs out.
    Call(TaskId, u64),
    /// While leaving: close the listener.
    Close,
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
/// While leaving, the listener closes after this part of the time, by when the lists have followed; the program ends
/// after that part at the latest.
const CLOSE_AFTER: f64 = 0.8;
const EXIT_AFTER: f64 = 0.96;
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
    calls: u64,
    /// Whether the kernel hears commands now.
    linked: bool,
    gauges: (Instant, Gauges),
    period: Span,
    /// Since when the listener is closed.
    closed: Option<Instant>,
    leaving: bool,
    reporter: Reporter,
    kernel: Arc<Outbox<Command>>,
    ledger: Arc<Ledger>,
    entrance: Arc<Entrance>,
    standing: Arc<Standing>,
    counters: Arc<Counters>,
}

/// The other parts, as the owner reaches them.
pub struct Parts {
    /// Reports to the control plane.
    pub reporter: Reporter,
    /// Commands to the kernel.
    pub kernel: Arc<Outbox<Command>>,
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
        let Parts { reporter, kernel, ledger, entrance, standing, counters } = parts;
        Self {
            config,
            clock: Clock::default(),
            policy: None,
            door: Door::default(),
            open: Vec::new(),
            actions: Vec::new(),
            due: BTreeSet::new(),
            calls: 0,
            linked: false,
            gauges: Default::default(),
            period: Span::ZERO,
            closed: None,
            leaving: false,
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
            match self.due.first() {
                None => batch.extend(heard.recv().ok()),
                Some(&(at, _)) => {
                    // Whole milliseconds, rounded up: waking early would only mean waiting once more.
                    let wait = (at - self.clock.now()).micros().div_ceil(1000);
                    match heard.recv_timeout(Duration::from_millis(wait)) {
                        Ok(first) => batch.push(first),
                        Err(RecvTimeoutError::Timeout) => {}
                        Err(RecvTimeoutError::Disconnected) => return,
                    }
                }
            }
            batch.extend(heard.try_iter());
            let now = self.clock.now();
            for message in batch.drain(..) {
                self.hear(now, message);
            }
            while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
                self.due.remove(&(at, due));
                self.fall_due(now, due);
            }
            if let Some(policy) = &mut self.policy {
                policy.settle(now, &mut self.actions);
                self.carry_out(now);
            }
            if self.done(now) {
                return;
            }
        }
    }

    /// After a failure of our own: every open task is answered, and nothing more is sent here.
    pub fn give_up(&mut self) {
        self.reporter.say(false);
        self.standing.set_healthy(false);
        self.standing.leave();
        for open in self.open.iter_mut().flatten() {
            if let Some(from) = open.from.take() {
                self.counters.abandoned.add();
                from.push(accept::Order::Answer(Answer::Abandoned));
            }
        }
    }

    fn tell(&mut self, now: Instant, event: Event) {
        if let Some(policy) = &mut self.policy {
            policy.on(now, event);
        }
    }

    fn hear(&mut self, now: Instant, message: Heard) {
        match message {
            Heard::Taken(taken) => self.taken(now, taken),
            Heard::CallerGone { id, end } => {
                if let Some((task, open)) = self.find(&id) {
                    if open.from.take().is_some() {
                        debug!(id, %end, "caller gone");
                        self.counters.caller_gone.add();
                        self.tell(now, Event::CallerGone(task));
                    }
                }
            }
            Heard::Kernel(notice) => self.noticed(now, notice),
            Heard::LinkLost(_) => self.linked = false,
            Heard::Called { id, number, ended } => self.called(now, &id, number, ended),
            Heard::Leave if !self.leaving => {
                info!(stop_ms = self.config.stop.as_millis() as u64, "notice to leave");
                self.leaving = true;
                let stop = Span::from_micros(self.config.stop.as_micros() as u64);
                self.tell(now, Event::Drain(now + stop));
                self.reporter.say(false);
                self.standing.set_healthy(false);
                self.standing.leave();
                self.due.insert((now + stop * CLOSE_AFTER, Due::Close));
                self.due.insert((now + stop * EXIT_AFTER, Due::Exit));
            }
            Heard::Leave => {}
            Heard::Count => println!("{}", self.counters.line()),
        }
    }

    fn find(&mut self, id: &str) -> Option<(TaskId, &mut Open)> {
        let task = self.door.find(id)?;
        Some((task, self.open.get_mut(task.0 as usize)?.as_mut()?))
    }

    fn taken(&mut self, now: Instant, Taken { sent, from }: Taken) {
        self.counters.tasks.add(sent.stage);
        // Before the kernel is up there is no module to ask, and a name that is inside already can't be told from
        // the task that has it. Neither is expected; neither ran.
        if self.policy.is_none() || self.door.find(&sent.id).is_some() {
            warn!(id = sent.id, "a task before the kernel is up, or under a name that is in use");
            self.counters.rejected.add();
            let answer = Answer::Rejected { hold_off: Span::ZERO, terminal: false };
            from.push(accept::Order::Answer(answer));
            return;
        }
        let task = self.door.enter(&sent.id);
        let arrival = Arrival {
            task,
            stage: sent.stage,
            customer: sent.customer,
            caller: sent.caller,
            hint: None,
            unread: now - Instant::from_micros(sent.arrived_ms.saturating_mul(1000)),
            limit: None,
            further: false,
            repeat: Repeat::No,
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
                    if self.leaving {
                        policy.on(
                            now,
                            Event::Drain(now + Span::from_micros(self.config.stop.as_micros() as u64)),
                        );
                    }
                    self.policy = Some(policy);
                }
            }
            Notice::Gauges { tag, .. } if tag == kernel::SYNC => {
                // All that happened without a link has been told by now. What no effect is known of is said again.
                self.linked = true;
                for command in self.open.iter().flatten().flat_map(|open| &open.unconfirmed) {
                    self.kernel.push(command.clone());
                }
            }
            Notice::Gauges { values, .. } => {
                let names = &self.config.declared.gauges;
                let named = |name| Some(*values.get(names.iter().position(|known| known == name)?)?);
                let gauges = Gauges { cores_busy: named("cpu_busy"), connections: named("sockets") };
                self.gauges = (now, gauges);
            }
            Notice::AtCall { id, body } => {
                let Some((task, open)) = self.find(&id) else { return self.unknown(&id) };
                open.unconfirmed.clear();
                open.call_body = body;
                self.tell(now, Event::AtCall(task));
            }
            Notice::Ended { id, how, result } => self.run_ended(now, &id, how, result),
            Notice::Refused { command, id } => {
                warn!(id, command, "the kernel did not carry out a command");
                self.counters.kernel_refused.add();
                if command == "SCHED" || command == "RESCHED" {
                    // The run will never be heard of again: the task must not hang on it.
                    if let Some((task, open)) = self.find(&id) {
                        open.unconfirmed.clear();
                        self.answer(task, Answer::Abandoned);
                        self.tell(now, Event::RunEnded(task, RunOutcome::Answered));
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
        open.paused = how == Reaped::Stopped && pauses && open.from.is_some();
        // A run that ends during its call gives the call up.
        if let Some((number, call)) = open.call.take() {
            call.push(ledger::Order::GiveUp(number));
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
            lynxtally::CallOutcome::Ok => self.counters.calls_ok.add(),
            lynxtally::CallOutcome::NeverRan => self.counters.calls_never_ran.add(),
            lynxtally::CallOutcome::MayHaveRun => self.counters.calls_may_have_run.add(),
        }
        let Some((task, open)) = self.find(id) else { return };
        if open.call.take_if(|(own, _)| *own == number).is_none() {
            return;
        }
        debug!(id, ?outcome, "call ended");
        if let Ended::Replied(reply) = ended {
            if outcome == lynxtally::CallOutcome::Ok {
                let reply = Command::Reply { id: id.to_owned(), body: reply.body };
                self.command(task, reply);
            }
        }
        self.tell(now, Event::CallEnded(task, outcome));
    }

    fn fall_due(&mut self, now: Instant, due: Due) {
        match due {
            Due::Ask if self.linked => {
                self.kernel.push(Command::Gauges(kernel::GAUGES));
            }
            Due::Ask => {}
            Due::Timer => {
                let (told, gauges) = self.gauges;
                let fresh = now - told <= self.period * GAUGES_KEPT;
                self.tell(now, Event::Timer(if fresh { gauges } else { Gauges::default() }));
                self.ledger.close_idle();
            }
            Due::Call(task, number) => {
                let call = self.open.get(task.0 as usize).and_then(|open| open.as_ref()?.call.as_ref());
                if let Some((_, handle)) = call.filter(|(own, _)| *own == number) {
                    handle.push(ledger::Order::GiveUp(number));
                }
            }
            Due::Close => {
                self.entrance.close();
                self.closed = Some(now);
                self.due.insert((now + CROSSING, Due::Ask));
                self.entrance.close_idle(Duration::ZERO);
            }
            Due::Exit => {}
        }
    }

    /// Gives a task its one final answer.
    fn answer(&mut self, task: TaskId, answer: Answer) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        let Some(from) = open.from.take() else { return };
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
            self.kernel.push(command);
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
                    self.standing.set_healthy(on && !self.leaving);
                    self.reporter.say(on && !self.leaving);
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
                        if let Some((number, call)) = open.call {
                            call.push(ledger::Order::GiveUp(number));
                        }
                    }
                }
                Action::Skip(_) | Action::Reuse(_) | Action::Keep(..) | Action::Forget(_) => {}
            }
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
            self.tell(now, Event::CallEnded(task, lynxtally::CallOutcome::NeverRan));
        }
    }

    /// Whether the program may end: all is answered and no connection is left, or the time is over.
    fn done(&self, now: Instant) -> bool {
        let Some(closed) = self.closed else { return false };
        let waiting = self.open.iter().flatten().any(|open| open.from.is_some());
        let over = !self.due.iter().any(|(_, due)| *due == Due::Exit);
        over || (!waiting && now - closed >= CROSSING && self.entrance.is_empty())
    }
}
