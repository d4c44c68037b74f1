//! The owner: one coroutine that holds the host, with the module and the open tasks in it. Everything else
//! sends it messages; it takes all that wait, lets the module settle once, and hands out orders. It never
//! blocks and never writes to a socket itself, and decides nothing that the module should.

use crate::config::Config;
use crate::counters::Counters;
use crate::downstream::{self as ledger, Call, Ledger};
use crate::executor_link::{Command, Orders};
use crate::health_reports::Reporter;
use crate::http::Names;
use crate::idempotency as repeat;
use crate::listener::{self as accept, Entrance};
use crate::messages::{Ended, Handle, Heard, Notice, Reaped, Said, Taken};
use crate::response::{Answer, Standing};
use crate::shares::Shares;
use lynxtally::{CallOutcome, Effect, Gauges, Instant, Policy, RequestId, Span};
use lynxtally_engine::{Engine, Executor, IncomingRequest, Rejection, RejectionReason, Responder, RunEnd};
use lynxtally_net::clock::Clock;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// What falls due here, beside what the host keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// Close connections whose time is over.
    Sweep,
    /// While leaving: close the listener.
    Close,
    /// While leaving: nothing crosses a closing any more.
    Crossed,
    /// While leaving: close what has no task, whole message or not.
    Last,
    /// While leaving: the last point to end at.
    Exit,
}

/// What a task brings to the machine.
struct Work {
    id: String,
    stage: usize,
    body: Vec<u8>,
    paused: bool,
    /// Commands whose effect is not known yet, and how often gauges had been asked for before each. A new link to the
    /// kernel gets those again that may not have been read.
    unconfirmed: Vec<(u64, Command)>,
    /// What the run's call has to say.
    call_body: Vec<u8>,
    /// The connection that carries the call under way.
    call: Option<ledger::Handle>,
}

/// Connections are looked at for their time so many times the span in which a message must be whole.
const SWEEPS: f64 = 0.1;
/// While leaving, the listener closes after this part of the time, by when the lists have followed.
const CLOSE_AFTER: f64 = 0.8;
/// This part of the time before the kill the program ends where no module has set its period yet.
const END_AHEAD: f64 = 0.04;
/// A task that crosses the closing of its connection within this is sent once more elsewhere.
const CROSSING: Span = Span::from_millis(60);

/// The machine that runs tasks: the kernel's link, and the ledger for their calls.
struct Machine {
    kernel: Arc<Orders>,
    ledger: Arc<Ledger>,
    /// Whether the kernel hears commands now.
    linked: bool,
    /// How often gauges were asked for, and under which number they were told last.
    asked: u64,
    told: u64,
    stages: Vec<String>,
    counters: Arc<Counters>,
}

impl Machine {
    /// Tells the kernel something of a task, now or when there is a link again.
    fn command(&self, work: &mut Work, command: Command) {
        work.unconfirmed.push((self.asked, command.clone()));
        if self.linked {
            self.kernel.say(command);
        }
    }
}

impl Executor<Work> for Machine {
    fn start(&mut self, _: RequestId, work: &mut Work) {
        let id = work.id.clone();
        let command = if std::mem::take(&mut work.paused) {
            Command::Resume(id)
        } else {
            Command::Run { id, stage: self.stages[work.stage].clone(), body: work.body.clone() }
        };
        self.counters.runs.add();
        debug!(id = work.id, "run");
        self.command(work, command);
    }

    fn stop(&mut self, _: RequestId, work: &mut Work) {
        let id = work.id.clone();
        self.command(work, Command::Stop(id));
    }

    fn start_call(&mut self, _: RequestId, work: &mut Work, number: u64, time_out: Span) -> bool {
        let until = std::time::Instant::now() + Duration::from_micros(time_out.micros());
        let call = Call { id: work.id.clone(), number, until, body: work.call_body.clone() };
        work.call = self.ledger.call(call);
        if work.call.is_none() {
            error!(id = work.id, "no coroutine for a call");
        }
        debug!(id = work.id, number, time_out_ms = time_out.micros() / 1000, "call made");
        work.call.is_some()
    }

    fn cancel_call(&mut self, work: &mut Work, number: u64) {
        if let Some(call) = &work.call {
            call.push(ledger::Order::GiveUp(number));
        }
    }

    fn degrade(&mut self, _: RequestId, work: &mut Work) {
        // The module was told that a call left out earns nothing, so it never asks for one.
        error!(id = work.id, "a call can't be left out here");
    }

    fn request_gauges(&mut self) {
        if self.linked {
            self.asked += 1;
            self.kernel.say(Command::Gauges(self.asked));
        }
    }

    fn on_timer(&mut self) {
        self.ledger.close_idle();
    }
}

/// The sidecars, their connections, and the control plane that tells them of this node.
struct Callers {
    entrance: Arc<Entrance>,
    standing: Arc<Standing>,
    reporter: Reporter,
    counters: Arc<Counters>,
}

impl Callers {
    fn say_health(&mut self, well: bool) {
        self.standing.set_healthy(well);
        self.reporter.say(well);
    }
}

impl Responder<Handle> for Callers {
    fn respond(&mut self, from: Handle, answer: lynxtally_engine::FinalResponse) -> bool {
        use lynxtally_engine::FinalResponse as Final;
        self.counters.open.less();
        match &answer {
            Final::Completed(_) => self.counters.finished.add(),
            Final::Rejected { .. } => self.counters.rejected.add(),
            Final::Failed => self.counters.abandoned.add(),
        }
        let taken = from.push(accept::Order::Answer(answer.into()));
        if !taken {
            self.counters.answers_lost.add();
        }
        taken
    }

    fn set_health(&mut self, well: bool) {
        self.say_health(well);
    }

    fn advertise_capacity(&mut self, free: f64) {
        self.standing.say(free);
    }

    fn close_idle_connections(&mut self, since: Span) {
        self.entrance.close_idle(Duration::from_micros(since.micros()));
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// All that the owner holds.
pub struct Owner {
    config: Config,
    clock: Clock,
    host: Engine<Policy, Work, Handle, Due>,
    /// When the alarm goes next.
    armed: Option<Instant>,
    /// Since when the listener is closed.
    closed: Option<Instant>,
    /// Whether the last point to end at has come.
    over: bool,
    alarm: Timer,
    owner: Sender<Heard>,
    machine: Machine,
    callers: Callers,
    counters: Arc<Counters>,
    /// Where keepers are named.
    shares: Option<Shares>,
}

/// The other parts, as the owner reaches them.
pub struct Parts {
    /// What wakes the owner.
    pub alarm: Timer,
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
    /// This node's shares, where keepers are named.
    pub shares: Option<Shares>,
}

impl Owner {
    /// An owner that waits for the kernel to come up.
    pub fn new(config: Config, parts: Parts) -> Self {
        let Parts { alarm, owner, reporter, kernel, ledger, entrance, standing, counters, shares } = parts;
        let mut host = Engine::new(config.bounds().results);
        host.set_timer(Instant::default(), Due::Sweep);
        // The codec takes nothing that came longer ago.
        host.set_max_receive_delay(Span::from_millis(Names::of(&config.declared).longest_ms));
        let stages = config.declared.class_names.clone();
        Self {
            config,
            clock: Clock::default(),
            host,
            armed: None,
            closed: None,
            over: false,
            alarm,
            owner,
            machine: Machine {
                kernel,
                ledger,
                linked: false,
                asked: 0,
                told: 0,
                stages,
                counters: counters.clone(),
            },
            callers: Callers { entrance, standing, reporter, counters: counters.clone() },
            counters,
            shares,
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
            while let Some(due) = self.host.expire_timers(now, &mut self.machine) {
                self.fall_due(now, due);
            }
            if let Some(shares) = &mut self.shares {
                shares.before(now, &mut self.host);
            }
            self.host.decide(now, &mut self.machine, &mut self.callers);
            if let Some(shares) = &mut self.shares {
                shares.after(&mut self.host);
            }
            if self.done(now) {
                return;
            }
        }
    }

    /// Has a message sent when the next thing falls due, unless one comes by then anyway.
    fn set_alarm(&mut self) {
        let shares = self.shares.as_ref().and_then(Shares::wait).map(|wait| self.clock.now() + wait);
        let Some(at) = [self.host.next_timer(), shares].into_iter().flatten().min() else { return };
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            let owner = self.owner.clone();
            let wait = Duration::from_micros((at - self.clock.now()).micros());
            // Nobody hears it only where the program ends.
            self.alarm.run_after(wait, move || {
                let _ = owner.send(Heard::Due);
            });
        }
    }

    /// After a failure of our own: every open task is answered, those still in messages too, and nothing more
    /// is sent here.
    pub fn give_up(&mut self) {
        self.callers.say_health(false);
        self.callers.standing.leave();
        for from in self.host.fail_all() {
            self.counters.abandoned.add();
            self.counters.open.less();
            from.push(accept::Order::Answer(Answer::Abandoned));
        }
        self.callers.entrance.abandon_all();
    }

    fn hear(&mut self, now: Instant, message: Heard) {
        match message {
            Heard::Taken(taken) => self.taken(now, taken),
            Heard::CallerGone { id, from, end } => {
                let task = self.host.find(&id);
                if task.is_some_and(|task| self.host.caller_gone(now, task, |own| Arc::ptr_eq(own, &from))) {
                    debug!(id, %end, "caller gone");
                    self.counters.caller_gone.add();
                    self.counters.open.less();
                }
            }
            Heard::Kernel(notice) => self.noticed(now, notice),
            Heard::LinkLost => self.machine.linked = false,
            Heard::Called { id, number, ended } => self.called(now, &id, number, ended),
            Heard::Keeper(Said { token, reply }) => {
                if let Some(shares) = &mut self.shares {
                    shares.heard(&mut self.host, token, reply);
                }
            }
            Heard::Leave => {
                if let Some(shares) = &mut self.shares {
                    shares.leave();
                }
                let stop = Span::from_micros(self.config.stop.as_micros() as u64);
                if self.host.begin_drain(now, stop) {
                    info!(stop_ms = self.config.stop.as_millis() as u64, "notice to leave");
                    self.callers.say_health(false);
                    self.host.set_timer(now + stop * CLOSE_AFTER, Due::Close);
                    // The module answers all by two periods before the kill. Before the kernel is up there is none.
                    let period = self.host.timer_period();
                    let exit = now + (stop - if period > Span::ZERO { period } else { stop * END_AHEAD });
                    self.host.set_timer(exit, Due::Exit);
                    self.host.set_timer(exit - CROSSING, Due::Last);
                }
            }
            Heard::Due => {}
            Heard::Configured(config) => self.configure(*config),
            Heard::Closed => {
                self.closed = Some(now);
                self.host.set_timer(now + CROSSING, Due::Crossed);
                self.callers.entrance.close_idle(Duration::ZERO);
            }
        }
    }

    /// Takes a new configuration over. The addresses and the time until the kill take effect at once, here and
    /// nowhere else; runs, notices, tasks and counts go on.
    fn configure(&mut self, newer: Config) {
        let fixed = self.config.fixed(&newer);
        let (kernel, ledger, control) = (newer.kernel, newer.ledger, newer.control);
        let named = ledger.map_or_else(|| "none".to_owned(), |ledger| ledger.to_string());
        info!(%kernel, ledger = named, %control, "configuration read anew");
        if !fixed.is_empty() {
            warn!(keys = fixed.join(", "), "changed keys that take effect only at the next start");
        }
        if self.config.kernel != kernel {
            self.machine.kernel.move_to(kernel);
        }
        if self.config.ledger != ledger {
            self.machine.ledger.move_to(ledger);
        }
        if self.config.control != control {
            self.callers.reporter.move_to(control);
        }
        (self.config.kernel, self.config.ledger, self.config.control) = (kernel, ledger, control);
        self.config.stop = newer.stop;
    }

    fn taken(&mut self, now: Instant, Taken { sent, from }: Taken) {
        self.counters.tasks.add(sent.stage);
        let settings = &self.config.declared.settings;
        let effect = settings.classes[sent.stage].effect;
        let known = repeat::known_by(&sent, effect, settings.coalescing_window > Span::ZERO);
        let entry = IncomingRequest {
            class: sent.stage,
            tenant: sent.customer,
            caller: sent.caller,
            expected_work: sent.hint_ms.map(|hint| Span::from_secs(hint / 1000.0)),
            deadline: sent.limit_ms.map(|limit| Instant::from_micros(limit * 1000)),
            is_retry: sent.further,
            receive_delay: now - Instant::from_micros(sent.arrived_ms.saturating_mul(1000)),
            idempotency_key: known.key,
            fingerprint: known.fingerprint,
            coalescable: sent.subject.is_some(),
            memory_kb: sent.kb,
        };
        let unread_ms = entry.receive_delay.micros() / 1000;
        debug!(
            id = sent.id,
            stage = sent.stage,
            caller = sent.caller,
            further = sent.further,
            unread_ms,
            "task read"
        );
        let work = Work {
            id: sent.id.clone(),
            stage: sent.stage,
            body: sent.body,
            paused: false,
            unconfirmed: Vec::new(),
            call_body: Vec::new(),
            call: None,
        };
        match self.host.submit(now, Some(&sent.id), entry, work, from) {
            Ok(_) => self.counters.open.add(),
            Err(Rejection { reply_to: from, reason: why }) => {
                if self.counters.tasks_refused.get() == 0 {
                    warn!(id = sent.id, ?why, "a task not taken in; later ones are only counted");
                }
                self.counters.tasks_refused.add();
                // Before the kernel is up there is no module to ask, and a name that is inside already can't be
                // told from the task that has it: neither ran. But where the effect counts, that must not be said
                // of what may be taken for the one that runs.
                let never_ran = why == RejectionReason::NotStarted
                    || why == RejectionReason::NameInUse && effect == Effect::Idempotent;
                let answer = if never_ran {
                    self.counters.rejected.add();
                    Answer::Rejected { hold_off: Span::ZERO, terminal: false }
                } else {
                    self.counters.abandoned.add();
                    Answer::Abandoned
                };
                from.push(accept::Order::Answer(answer));
            }
        }
    }

    /// A task by its name, and what it brought to the machine.
    fn find(&mut self, id: &str) -> Option<(RequestId, &mut Work)> {
        let task = self.host.find(id)?;
        Some((task, self.host.work(task)?))
    }

    fn noticed(&mut self, now: Instant, notice: Notice) {
        match notice {
            Notice::Booted { cold, ms } => {
                if !self.host.is_started() {
                    let start = now - Span::from_secs(ms / 1000.0);
                    info!(cold, ms, "the kernel is up");
                    debug!(below = ?self.config.declared.settings.downstream, "what calls go to");
                    let mut settings = self.config.declared.settings.clone();
                    settings.cold_start = cold;
                    self.host.start(now, Policy::new(settings, self.config.seed, start));
                }
            }
            Notice::Synced(link) => {
                // All that happened without a link has been told by now. What no effect is known of is said
                // again.
                self.machine.linked = true;
                self.machine.kernel.begin(link);
                // A reply said twice could reach the run's next call: not where the gauges showed that it was read. Should
                // catch every command in flight as a link breaks; harms where one that was read is not carried out.
                let Machine { asked, told, .. } = self.machine;
                for (before, command) in self.host.works_mut().flat_map(|work| &mut work.unconfirmed) {
                    if *before >= told {
                        *before = asked;
                        self.machine.kernel.say(command.clone());
                    }
                }
            }
            Notice::Gauges { number, values } => {
                self.machine.told = self.machine.told.max(number.min(self.machine.asked));
                let names = &self.config.declared.gauges;
                let named = |name| Some(*values.get(names.iter().position(|known| known == name)?)?);
                let gauges =
                    Gauges { cpu_utilization: named("cpu_busy"), open_connections: named("sockets") };
                self.host.update_gauges(now, gauges);
            }
            Notice::AtCall { id, body } => {
                let Some((task, work)) = self.find(&id) else { return self.unknown(&id) };
                // A stop may have crossed this notice: only a run's end shows its effect.
                work.unconfirmed.retain(|(_, command)| matches!(command, Command::Stop(_)));
                work.call_body = body;
                debug!(id, "at a call");
                self.host.call_requested(now, task);
            }
            Notice::Ended { id, how, result } => self.run_ended(now, &id, how, result),
            Notice::Refused { command, id } => {
                if self.counters.kernel_refused.get() == 0 {
                    warn!(id, command, "the kernel did not carry out a command; later ones are only counted");
                }
                self.counters.kernel_refused.add();
                // The run will never be heard of again: the task must not hang on it. One that was to go on had
                // begun before.
                let end = match command.as_str() {
                    "SCHED" => RunEnd::NotStarted,
                    "RESCHED" => RunEnd::Failed,
                    _ => return,
                };
                if let Some((task, work)) = self.find(&id) {
                    work.unconfirmed.clear();
                    self.end_run(now, task, end);
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
        debug!(id, ?how, "run ended");
        let pauses = self.config.declared.stop_keeps_progress;
        let Some(task) = self.host.find(id) else { return self.unknown(id) };
        let awaited = self.host.reply_to(task).is_some();
        if let Some(work) = self.host.work(task) {
            work.unconfirmed.clear();
            work.paused = how == Reaped::Stopped && pauses && awaited;
        }
        let end = match how {
            Reaped::Ok => RunEnd::Completed(result),
            Reaped::Error => RunEnd::Failed,
            Reaped::Stopped => RunEnd::Stopped,
            Reaped::Moot => RunEnd::NotStarted,
        };
        self.end_run(now, task, end);
    }

    fn end_run(&mut self, now: Instant, task: RequestId, end: RunEnd) {
        self.host.run_ended(now, task, end, &mut self.machine, &mut self.callers);
    }

    fn called(&mut self, now: Instant, id: &str, number: u64, ended: Ended) {
        let outcome = ended.outcome();
        match outcome {
            CallOutcome::Succeeded => self.counters.calls_ok.add(),
            CallOutcome::NotExecuted => self.counters.calls_never_ran.add(),
            CallOutcome::MaybeExecuted => self.counters.calls_may_have_run.add(),
        }
        let Some(task) = self.host.find(id) else { return };
        if !self.host.call_ended(now, task, number, outcome) {
            return;
        }
        debug!(id, ?outcome, "call ended");
        let Some(work) = self.host.work(task) else { return };
        work.call = None;
        if let Ended::Replied(reply) = ended {
            if outcome == CallOutcome::Succeeded {
                let reply = Command::Reply { id: id.to_owned(), body: reply.body };
                self.machine.command(work, reply);
            }
        }
    }

    fn fall_due(&mut self, now: Instant, due: Due) {
        match due {
            Due::Sweep => {
                self.callers.entrance.sweep();
                let message = Span::from_micros(self.config.bounds().message.as_micros() as u64);
                self.host.set_timer(now + message * SWEEPS, Due::Sweep);
            }
            Due::Crossed => {}
            Due::Close => {
                // Not before: until the lists have followed, a sidecar whose connection is ended only makes
                // another, which costs both sides more than the task.
                self.callers.standing.leave();
                self.callers.entrance.close();
            }
            Due::Last => {
                self.callers.standing.leave();
                self.callers.entrance.close_all();
            }
            Due::Exit => {
                // The kernel may have come up since, and the module answers all by its own point.
                let last = self.host.shutdown_deadline().map_or(now, |kill| kill - self.host.timer_period());
                if now < last && self.host.counts().in_flight > 0 {
                    self.host.set_timer(last, Due::Exit);
                } else {
                    self.over = true;
                }
            }
        }
    }

    /// Whether the program may end: all is answered and no connection is left, or the time is over.
    fn done(&self, now: Instant) -> bool {
        let answered = || self.host.counts().in_flight == 0;
        let quiet = |closed| now - closed >= CROSSING && self.callers.entrance.is_empty() && answered();
        self.over || self.closed.is_some_and(quiet)
    }
}
