//! What every front stands on: the decision module, its door, the open tasks, due times in one ordered
//! structure, and the count that every task read got one answer. It reads no clock and does no I/O: a driver
//! tells it what happened and when, an [`Executor`] has tasks run, an [`Answerer`] gives their final answers.
//! The same code serves on sockets and in simulated time.
//!
//! A turn of a driver: tell what was heard ([`Host::enter`], [`Host::run_ended`], ...), take what is due with
//! [`Host::fall_due`] until there is nothing, then [`Host::settle`] once for the whole batch, and wait no
//! longer than [`Host::next_due`].

#![forbid(unsafe_code)]

mod purses;
mod repeats;

pub use purses::{Purse, Spent};
pub use repeats::{Conflict, Fingerprint, Key, Repeats, Settled};

use purses::{Held, Purses};

use lynxtally::{
    Action, Arrival, CallOutcome, Door, Event, Gauges, Instant, Policy, Repeat, RunOutcome, Shares, Span,
    TaskId,
};
use std::collections::BTreeSet;

/// What decides: the module, or in comparisons a baseline.
pub trait Decide {
    /// Takes in one thing that happened.
    fn on(&mut self, now: Instant, event: Event);
    /// Decides, and adds what the host shall do.
    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>);
}

impl Decide for Policy {
    fn on(&mut self, now: Instant, event: Event) {
        Policy::on(self, now, event);
    }

    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        Policy::settle(self, now, actions);
    }
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn on(&mut self, now: Instant, event: Event) {
        (**self).on(now, event);
    }

    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        (**self).settle(now, actions);
    }
}

/// The final answer to a task.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result that its run made, unchanged.
    Finished(Vec<u8>),
    /// It never ran.
    Rejected {
        /// How long the caller should keep away.
        hold_off: Span,
        /// Asks that it not be tried elsewhere.
        terminal: bool,
    },
    /// Failed, without a promise.
    Abandoned,
}

/// Gives a task's final answer, and says to callers how this backend is. `F` is where an answer is awaited.
pub trait Answerer<F> {
    /// Gives the one final answer; false where nobody takes it any more.
    fn answer(&mut self, from: F, answer: Answer) -> bool;
    /// What health checks hear from now on.
    fn health(&mut self, _well: bool) {}
    /// The free value that answers carry from now on.
    fn say(&mut self, _free: f64) {}
    /// Connections that carried nothing for so long are to be closed.
    fn close_idle(&mut self, _since: Span) {}
    /// A line for the log.
    fn log(&mut self, _text: &str) {}
}

/// Starts, stops and resumes runs. Their ends come back by [`Host::run_ended`]. `W` is what a task brings to it.
pub trait Executor<W> {
    /// Starts a task, or goes on with it where it was stopped and kept what it did.
    fn run(&mut self, task: TaskId, work: &mut W);
    /// Takes a running task off the cores.
    fn stop(&mut self, task: TaskId, work: &mut W);
    /// Makes a task's call; false where none can be made, so that it never ran.
    fn call(&mut self, task: TaskId, work: &mut W, number: u64, time_out: Span) -> bool;
    /// Gives the call with this number up; its end is still told.
    fn give_up(&mut self, work: &mut W, number: u64);
    /// Has a task finish without its call.
    fn skip(&mut self, _task: TaskId, _work: &mut W) {}
    /// Asks for the gauges, to be told by [`Host::gauges`].
    fn ask(&mut self) {}
    /// The module's timer went.
    fn tick(&mut self) {}
    /// Nothing more comes of a task.
    fn release(&mut self, _task: TaskId, _work: W) {}
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// Well, with this result.
    Finished(Vec<u8>),
    /// With an error.
    Failed,
    /// It was stopped, or ended because nobody waits.
    Stopped,
    /// Nothing was started.
    Moot,
    /// It found nobody to do it, and nothing of it was done: it may be tried again after so long.
    NeverRan(Span),
}

/// Why a task was not taken in. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing decides yet. The front answers that it was rejected.
    NotStarted,
    /// Its name is another's. The same.
    NameInUse,
    /// It came under the key of another task and is not the same. The front answers that it failed: whoever takes
    /// them for one must not hear that neither ran.
    Conflict,
}

/// A task that was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied<F> {
    /// Where it is awaited.
    pub from: F,
    /// Why.
    pub why: Why,
}

/// What a front tells of a task that it read.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Its stage's index.
    pub stage: usize,
    /// Its customer's index.
    pub customer: Option<usize>,
    /// The caller's number.
    pub caller: u64,
    /// The expected work on a standard core.
    pub hint: Option<Span>,
    /// How long it lay unread on this machine.
    pub unread: Span,
    /// When the caller gives this try up, where told.
    pub limit: Option<Instant>,
    /// Whether it is marked as a further try.
    pub further: bool,
    /// By what its repeats are known.
    pub key: Option<Key>,
    /// What else its repeats have in common with it.
    pub fingerprint: Fingerprint,
    /// Whether it concerns something named that other tasks may share.
    pub shareable: bool,
    /// Its memory in the hold, in kilobytes.
    pub kb: f64,
    /// Its place among all tasks, from 0 to under 1.
    pub place: f64,
}

/// Tasks read, and how they were answered. Each task read is in one of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Tasks read.
    pub read: u64,
    /// Answered with a result.
    pub finished: u64,
    /// Answered that they never ran.
    pub rejected: u64,
    /// Answered that they failed.
    pub abandoned: u64,
    /// Their callers were gone before the answer.
    pub gone: u64,
    /// Answers that nobody took any more.
    pub lost: u64,
    /// Still owed.
    pub open: u64,
}

impl Tally {
    /// Whether each task read was answered once, is still open, or its caller is gone.
    pub fn adds_up(&self) -> bool {
        self.read == self.finished + self.rejected + self.abandoned + self.gone + self.open
    }
}

/// What falls due; `D` is a front's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due<D> {
    Front(D),
    Ask,
    Timer,
    Call(TaskId, u64),
}

struct Open<W, F> {
    from: Option<F>,
    key: Option<Key>,
    /// The number of the call under way.
    call: Option<u64>,
    /// What is reserved for it of its customer's purse.
    held: Option<Held>,
    work: W,
}

/// The gauges are asked for this part of the timer's period ahead.
const ASK_AHEAD: f64 = 0.25;
/// Gauges older than this many periods are none.
const GAUGES_KEPT: f64 = 2.0;

/// One instance: what decides, and all that it decides on.
pub struct Host<P, W, F, D> {
    decide: Option<P>,
    door: Door,
    open: Vec<Option<Open<W, F>>>,
    due: BTreeSet<(Instant, Due<D>)>,
    actions: Vec<Action>,
    /// What carrying out actions brought about at once; heard of before anything else.
    brought: Vec<Event>,
    repeats: Repeats,
    purses: Purses,
    calls: u64,
    gauges: (Instant, Gauges),
    period: Span,
    kill: Option<Instant>,
    tally: Tally,
}

impl<P: Decide, W, F, D: Copy + Ord> Host<P, W, F, D> {
    /// A host that nothing decides for yet; kept results take so many bytes at most.
    pub fn new(results: usize) -> Self {
        Self {
            decide: None,
            door: Door::default(),
            open: Vec::new(),
            due: BTreeSet::new(),
            actions: Vec::new(),
            brought: Vec::new(),
            repeats: Repeats::new(results),
            purses: Purses::default(),
            calls: 0,
            gauges: Default::default(),
            period: Span::ZERO,
            kill: None,
            tally: Tally::default(),
        }
    }

    /// From now on tasks can be taken. What decides hears of a notice to leave that came before.
    pub fn start(&mut self, now: Instant, mut decide: P) {
        if let Some(kill) = self.kill {
            decide.on(now, Event::Drain(kill));
        }
        self.decide = Some(decide);
    }

    /// Whether anything decides yet.
    pub fn started(&self) -> bool {
        self.decide.is_some()
    }

    /// What was read and answered so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The period of the module's timer; zero before it was first set.
    pub fn period(&self) -> Span {
        self.period
    }

    /// When the kill comes, once the notice to leave was given.
    pub fn kill(&self) -> Option<Instant> {
        self.kill
    }

    /// The index of a task by its name.
    pub fn find(&self, name: &str) -> Option<TaskId> {
        self.door.find(name).filter(|task| self.inside(*task).is_some())
    }

    /// The name of a task, where it has one.
    pub fn name(&self, task: TaskId) -> Option<&str> {
        self.door.name(task)
    }

    /// What a task brought to the executor.
    pub fn work(&mut self, task: TaskId) -> Option<&mut W> {
        Some(&mut self.open.get_mut(task.0 as usize)?.as_mut()?.work)
    }

    /// All of that, in the order of the indices.
    pub fn works_mut(&mut self) -> impl Iterator<Item = &mut W> {
        self.open.iter_mut().flatten().map(|open| &mut open.work)
    }

    /// The tasks whose answers are awaited where `is_own` knows.
    pub fn awaited(&self, is_own: impl Fn(&F) -> bool) -> Vec<TaskId> {
        let own = |open: &Open<W, F>| open.from.as_ref().is_some_and(&is_own);
        let all = self.open.iter().enumerate();
        all.filter(|(_, open)| open.as_ref().is_some_and(own)).map(|(at, _)| TaskId(at as u32)).collect()
    }

    /// Where a task's answer is awaited, while it is.
    pub fn from(&self, task: TaskId) -> Option<&F> {
        self.inside(task)?.from.as_ref()
    }

    fn inside(&self, task: TaskId) -> Option<&Open<W, F>> {
        self.open.get(task.0 as usize)?.as_ref()
    }

    /// Tasks may lie unread for so long at most, which is how late a repeat may be read.
    pub fn set_unread(&mut self, unread: Span) {
        self.repeats.set_unread(unread);
    }

    /// Takes a task in. One that can't be comes back with the reason, and the front answers it.
    pub fn enter(
        &mut self,
        now: Instant,
        name: Option<&str>,
        entry: Entry,
        work: W,
        from: F,
    ) -> Result<TaskId, Denied<F>> {
        self.tally.read += 1;
        if self.decide.is_none() || name.is_some_and(|name| self.door.find(name).is_some()) {
            self.tally.rejected += 1;
            let why = if self.decide.is_none() { Why::NotStarted } else { Why::NameInUse };
            return Err(Denied { from, why });
        }
        let task = match name {
            Some(name) => self.door.enter(name),
            None => self.door.seat(),
        };
        // A repeat is one by when it came, not by when it is read.
        let (came, fingerprint) = (now - entry.unread, entry.fingerprint);
        let arrive = |key| self.repeats.arrive(came, key, fingerprint, task);
        let Ok(repeat) = entry.key.as_ref().map_or(Ok(Repeat::No), arrive) else {
            self.door.leave(task);
            self.tally.abandoned += 1;
            return Err(Denied { from, why: Why::Conflict });
        };
        self.tally.open += 1;
        let cover = self.purses.cover(entry.customer, entry.stage);
        let at = task.0 as usize;
        if self.open.len() <= at {
            self.open.resize_with(at + 1, || None);
        }
        self.open[at] =
            Some(Open { from: Some(from), key: entry.key, call: None, held: cover.flatten(), work });
        let Entry { stage, customer, caller, hint, unread, limit, further, shareable, kb, place, .. } = entry;
        self.tell(
            now,
            Event::Arrived(Arrival {
                task,
                stage,
                customer,
                caller,
                hint,
                unread,
                limit,
                further,
                repeat,
                shareable,
                kb,
                place,
                covered: cover.is_some(),
            }),
        );
        Ok(task)
    }

    /// The caller waits no more, if it is the one that `is_own` knows; tells whether it was.
    pub fn gone(&mut self, now: Instant, task: TaskId, is_own: impl FnOnce(&F) -> bool) -> bool {
        let open = self.open.get_mut(task.0 as usize).and_then(Option::as_mut);
        let gone = open.is_some_and(|open| open.from.take_if(|from| is_own(from)).is_some());
        if gone {
            self.tally.gone += 1;
            self.tally.open -= 1;
            // No answer is owed, so none is paid for.
            self.settle_price(task, false);
            self.tell(now, Event::CallerGone(task));
        }
        gone
    }

    /// A running task stands at a call.
    pub fn at_call(&mut self, now: Instant, task: TaskId) {
        self.tell(now, Event::AtCall(task));
    }

    /// A call ended; false where that call is not waited for any more.
    pub fn call_ended(&mut self, now: Instant, task: TaskId, number: u64, outcome: CallOutcome) -> bool {
        let open = self.open.get_mut(task.0 as usize).and_then(Option::as_mut);
        let own = open.is_some_and(|open| open.call.take_if(|own| *own == number).is_some());
        if own {
            self.tell(now, Event::CallEnded(task, outcome));
        }
        own
    }

    /// A run ended. Its task is answered, and the repeats that waited for it.
    pub fn run_ended(
        &mut self,
        now: Instant,
        task: TaskId,
        end: RunEnd,
        executor: &mut impl Executor<W>,
        answerer: &mut impl Answerer<F>,
    ) {
        let Some(open) = self.open.get_mut(task.0 as usize).and_then(Option::as_mut) else { return };
        // A run that ends during its call gives the call up.
        if let Some(number) = open.call.take() {
            executor.give_up(&mut open.work, number);
        }
        // A stopped run may go on later: its repeats wait on.
        if let Some(key) = open.key.clone().filter(|_| end != RunEnd::Stopped) {
            let result = if let RunEnd::Finished(result) = &end { Some(&result[..]) } else { None };
            let settled = self.repeats.ended(&key, task, result);
            self.settle_repeats(settled, answerer);
        }
        let outcome = match end {
            RunEnd::Finished(result) => {
                self.answer(task, Answer::Finished(result), answerer);
                RunOutcome::Answered
            }
            RunEnd::Failed => {
                self.answer(task, Answer::Abandoned, answerer);
                RunOutcome::Answered
            }
            RunEnd::Stopped => RunOutcome::Cancelled,
            RunEnd::Moot => {
                // Nothing was started: whoever comes under its key next is the first.
                self.forget(task, answerer);
                RunOutcome::Moot
            }
            RunEnd::NeverRan(hold_off) => {
                // A repeat of it is the first that can be done.
                self.forget(task, answerer);
                self.answer(task, Answer::Rejected { hold_off, terminal: false }, answerer);
                RunOutcome::Moot
            }
        };
        self.tell(now, Event::RunEnded(task, outcome));
    }

    /// The backend's own measures.
    pub fn gauges(&mut self, now: Instant, gauges: Gauges) {
        self.gauges = (now, gauges);
    }

    /// The notice to leave: the kill comes after `stop`. False where it was given before.
    pub fn drain(&mut self, now: Instant, stop: Span) -> bool {
        if self.kill.is_some() {
            return false;
        }
        let kill = *self.kill.insert(now + stop);
        self.tell(now, Event::Drain(kill));
        true
    }

    /// What this backend may use of what all share has changed.
    pub fn shares(&mut self, now: Instant, shares: Shares) {
        self.tell(now, Event::Shares(shares));
    }

    /// A customer's purse, as it is from now on.
    pub fn purse(&mut self, customer: usize, purse: Purse) {
        self.purses.set(customer, purse);
    }

    /// What became of a customer's purse so far.
    pub fn spent(&self, customer: usize) -> Spent {
        self.purses.spent(customer)
    }

    /// What decides, to be asked what it sees.
    pub fn deciding(&mut self) -> Option<&mut P> {
        self.decide.as_mut()
    }

    /// Something of the front's own falls due then.
    pub fn set(&mut self, at: Instant, due: D) {
        self.due.insert((at, Due::Front(due)));
    }

    /// When the next thing falls due.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes what is due: the host's own is carried out, the first that is the front's comes back.
    pub fn fall_due(&mut self, now: Instant, executor: &mut impl Executor<W>) -> Option<D> {
        self.bring(now);
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Front(due) => return Some(due),
                Due::Ask => executor.ask(),
                Due::Timer => {
                    let (told, gauges) = self.gauges;
                    let fresh = now - told <= self.period * GAUGES_KEPT;
                    self.tell(now, Event::Timer(if fresh { gauges } else { Gauges::default() }));
                    executor.tick();
                    self.repeats.sweep(now);
                }
                Due::Call(task, number) => {
                    let open = self.open.get_mut(task.0 as usize).and_then(Option::as_mut);
                    if let Some(open) = open.filter(|open| open.call == Some(number)) {
                        executor.give_up(&mut open.work, number);
                    }
                }
            }
        }
        None
    }

    /// Has the batch decided on, once, and carries out what comes of it.
    pub fn settle(&mut self, now: Instant, executor: &mut impl Executor<W>, answerer: &mut impl Answerer<F>) {
        while let Some(decide) = &mut self.decide {
            decide.settle(now, &mut self.actions);
            self.carry_out(now, executor, answerer);
            if self.brought.is_empty() {
                break;
            }
            self.bring(now);
        }
    }

    /// After a failure of our own: where each open task is awaited. The front answers that it failed.
    pub fn give_up(&mut self) -> Vec<F> {
        let left: Vec<F> = self.open.iter_mut().flatten().filter_map(|open| open.from.take()).collect();
        self.tally.abandoned += left.len() as u64;
        self.tally.open -= left.len() as u64;
        left
    }

    fn tell(&mut self, now: Instant, event: Event) {
        if let Some(decide) = &mut self.decide {
            decide.on(now, event);
        }
    }

    fn bring(&mut self, now: Instant) {
        for event in std::mem::take(&mut self.brought) {
            self.tell(now, event);
        }
    }

    fn answer(&mut self, task: TaskId, answer: Answer, answerer: &mut impl Answerer<F>) {
        let open = self.open.get_mut(task.0 as usize).and_then(Option::as_mut);
        let Some(from) = open.and_then(|open| open.from.take()) else { return };
        self.tally.open -= 1;
        match &answer {
            Answer::Finished(_) => self.tally.finished += 1,
            Answer::Rejected { .. } => self.tally.rejected += 1,
            Answer::Abandoned => self.tally.abandoned += 1,
        }
        let finished = matches!(answer, Answer::Finished(_));
        let taken = answerer.answer(from, answer);
        self.tally.lost += u64::from(!taken);
        // Finished costs, and only what somebody took; rejected and abandoned cost nothing.
        self.settle_price(task, finished && taken);
    }

    /// What is reserved for a task is settled, once. The same under one key is charged once.
    fn settle_price(&mut self, task: TaskId, charged: bool) {
        let Some(open) = self.open.get_mut(task.0 as usize).and_then(Option::as_mut) else { return };
        let Some(held) = open.held.take() else { return };
        let once = charged && open.key.as_ref().is_none_or(|key| self.repeats.pay(key));
        self.purses.settle(held, once);
    }

    fn carry_out(&mut self, now: Instant, executor: &mut impl Executor<W>, answerer: &mut impl Answerer<F>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Run(task) => {
                    if let Some(open) = self.open[task.0 as usize].as_mut() {
                        executor.run(task, &mut open.work);
                    }
                }
                Action::Stop(task) => {
                    if let Some(open) = self.open[task.0 as usize].as_mut() {
                        executor.stop(task, &mut open.work);
                    }
                }
                Action::Skip(task) => {
                    if let Some(open) = self.open[task.0 as usize].as_mut() {
                        executor.skip(task, &mut open.work);
                    }
                }
                Action::Call { task, time_out } => self.call(now, task, time_out, executor),
                Action::Reject { task, hold_off, terminal } => {
                    self.answer(task, Answer::Rejected { hold_off, terminal }, answerer);
                }
                Action::Abandon(task) => self.answer(task, Answer::Abandoned, answerer),
                Action::Health(well) => answerer.health(well && self.kill.is_none()),
                Action::Say(free) => answerer.say(free),
                Action::CloseIdle(since) => answerer.close_idle(since),
                Action::Timer(span) => {
                    self.period = span;
                    self.due.insert((now + span, Due::Timer));
                    self.due.insert((now + span * (1.0 - ASK_AHEAD), Due::Ask));
                }
                Action::Log(text) => answerer.log(&text),
                Action::Release(task) => self.release(now, task, executor, answerer),
                Action::Reuse(task) => {
                    if let Some(key) = self.key(task) {
                        let settled = self.repeats.reuse(&key, task);
                        self.settle_repeats(settled, answerer);
                    }
                }
                Action::Keep(task, span) => {
                    if let Some(key) = self.key(task) {
                        self.repeats.keep(now, &key, task, span);
                    }
                }
                Action::Forget(task) => self.forget(task, answerer),
            }
        }
        self.actions = actions;
    }

    fn call(&mut self, now: Instant, task: TaskId, time_out: Span, executor: &mut impl Executor<W>) {
        let Some(open) = self.open[task.0 as usize].as_mut() else { return };
        self.calls += 1;
        let number = self.calls;
        if executor.call(task, &mut open.work, number, time_out) {
            open.call = Some(number);
            self.due.insert((now + time_out, Due::Call(task, number)));
        } else {
            self.brought.push(Event::CallEnded(task, CallOutcome::NeverRan));
        }
    }

    fn release(
        &mut self,
        now: Instant,
        task: TaskId,
        executor: &mut impl Executor<W>,
        answerer: &mut impl Answerer<F>,
    ) {
        self.door.leave(task);
        let Some(mut open) = self.open[task.0 as usize].take() else { return };
        if let Some(key) = open.key {
            let settled = self.repeats.release(now, &key, task);
            self.settle_repeats(settled, answerer);
        }
        if let Some(number) = open.call {
            executor.give_up(&mut open.work, number);
        }
        executor.release(task, open.work);
    }

    /// Drops a task's key.
    fn forget(&mut self, task: TaskId, answerer: &mut impl Answerer<F>) {
        if let Some(key) = self.key(task) {
            let settled = self.repeats.forget(&key, task);
            self.settle_repeats(settled, answerer);
        }
    }

    fn key(&self, task: TaskId) -> Option<Key> {
        self.inside(task)?.key.clone()
    }

    /// Answers repeats with the result of what they repeat; what decides hears that their runs ended.
    fn settle_repeats(
        &mut self,
        settled: impl IntoIterator<Item = Settled>,
        answerer: &mut impl Answerer<F>,
    ) {
        for (task, result) in settled {
            self.answer(task, result.map_or(Answer::Abandoned, Answer::Finished), answerer);
            self.brought.push(Event::RunEnded(task, RunOutcome::Answered));
        }
    }
}
