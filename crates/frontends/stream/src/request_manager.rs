//! The owner of all streams: the host with the module, and the choices about memory, progress, links, upstreams and
//! repeats, each made where it lives. It makes none itself, and waits for nothing.

use crate::settings::{Checked, Stage};
use lynxtally::{CallOutcome, Effect, Gauges, Instant, RequestId, Span};
use lynxtally_engine::{
    Engine, Executor, FinalResponse, IdempotencyKey, IncomingRequest, RequestCounts, Responder, RunEnd,
    Scheduler,
};
use lynxtally_flow::{Link, Pool, Progress, Repeats, Sent, Sizes, Spools, StreamId, Upstreams};
use lynxtally_net::sync::lock;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tracing::{info, warn};

/// How often shares, stalls and progress are looked at.
const TICK: Span = Span::from_millis(50);
/// The gauges look back over so many of them.
const GAUGE_TICKS: u32 = 8;

/// What the owner tells a stream's coroutines.
#[derive(Default)]
pub struct Mail {
    /// It was let in.
    pub run: bool,
    /// Its final answer, where it is not the upstream's.
    pub answer: Option<FinalResponse>,
}

/// A stream, as the owner knows it.
pub struct Ticket {
    mail: Mutex<Mail>,
    client: WaitIoWaker,
    task: AtomicU32,
    /// Its run is over: its task's index may be another's by now.
    ended: AtomicBool,
    /// Its stage.
    pub stage: usize,
}

impl Ticket {
    /// A stream of a stage, whose client's coroutine is woken so.
    pub fn new(stage: usize, client: WaitIoWaker) -> Self {
        Self {
            mail: Mutex::default(),
            client,
            task: AtomicU32::new(u32::MAX),
            ended: AtomicBool::new(false),
            stage,
        }
    }

    fn task(&self) -> RequestId {
        RequestId(self.task.load(Ordering::Relaxed))
    }

    /// Its task, while it runs.
    fn live(&self) -> Option<RequestId> {
        (!self.ended.load(Ordering::Relaxed) && self.running()).then(|| self.task())
    }

    /// Whether it was let in.
    pub fn running(&self) -> bool {
        lock(&self.mail).run
    }

    /// Its final answer, once.
    pub fn answer(&self) -> Option<FinalResponse> {
        lock(&self.mail).answer.take()
    }

    /// Whether a final answer waits.
    pub fn answered(&self) -> bool {
        lock(&self.mail).answer.is_some()
    }

    /// Wakes its client's coroutine.
    pub fn wake(&self) {
        self.client.wakeup();
    }
}

/// Whether a stream waits for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waits {
    No,
    Standing,
    Call(u64),
}

struct Flow {
    ticket: Arc<Ticket>,
    moved: bool,
    waits: Waits,
    upstream: Option<usize>,
    expected: u64,
    began: Instant,
    octets: u64,
    /// More of its client's body is waited for.
    waits_client: bool,
    /// It owed progress for too long.
    late: bool,
}

/// What moved since this was last told, and what is held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moved {
    /// Held for the upstream.
    pub up_held: u64,
    /// Taken by it.
    pub up_took: u64,
    /// Held for the client.
    pub down_held: u64,
    /// Taken by it.
    pub down_took: u64,
    /// Read from the client.
    pub came: u64,
    /// Whether more of the client's body is waited for, and there was room for it.
    pub waits_client: bool,
    /// Whether there is more for the client that it could take.
    pub more: bool,
}

/// What a stream may do now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rooms {
    /// What it may hold for the upstream.
    pub up: u64,
    /// What it may hold for the client.
    pub down: u64,
    /// What it may send to the client; no bound where the link is not scarce.
    pub credit: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Grant,
}

/// How many of what ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Streams sent again to another upstream.
    pub repeated: u64,
    /// Downloads gone on with from another upstream.
    pub resumed: u64,
    /// Upstreams left out.
    pub left_out: u64,
    /// Streams cut as they owed progress while memory was scarce.
    pub late: u64,
    /// Octets that went up.
    pub up: u64,
    /// Octets that went down.
    pub down: u64,
    /// Answers cut after they had begun.
    pub cut: u64,
    /// Messages that could not be taken.
    pub bad: u64,
    /// The most that streams held at once.
    pub held_most: u64,
}

/// The choices, and what each stream has.
pub struct Hall {
    pool: Pool,
    progress: Progress,
    upstreams: Upstreams,
    repeats: Repeats,
    spools: Spools,
    link: Option<Link>,
    sizes: Sizes,
    rate: f64,
    flows: Vec<Option<Flow>>,
    given_up: Vec<(RequestId, u64)>,
    asked: bool,
    granting: bool,
    stages: Vec<Stage>,
    now: Instant,
    /// Counts.
    pub counts: Counts,
}

fn up(task: RequestId) -> StreamId {
    StreamId(task.0 * 2)
}

fn down(task: RequestId) -> StreamId {
    StreamId(task.0 * 2 + 1)
}

impl Hall {
    fn admit(&mut self, task: RequestId, ticket: &Arc<Ticket>) -> bool {
        let weight = self.stages.get(ticket.stage).map_or(1.0, |stage| stage.utility);
        if !self.pool.enter(up(task), weight) {
            return false;
        }
        if !self.pool.enter(down(task), weight) {
            self.pool.leave(up(task));
            return false;
        }
        if let Some(link) = &mut self.link {
            link.enter(down(task), weight);
        }
        self.progress.enter(self.now, up(task));
        self.progress.enter(self.now, down(task));
        let at = task.0 as usize;
        if self.flows.len() <= at {
            self.flows.resize_with(at + 1, || None);
        }
        self.flows[at] = Some(Flow {
            ticket: ticket.clone(),
            moved: true,
            waits: Waits::No,
            upstream: None,
            expected: 0,
            began: self.now,
            octets: 0,
            waits_client: false,
            late: false,
        });
        lock(&ticket.mail).run = true;
        ticket.wake();
        true
    }

    fn flow(&mut self, task: RequestId) -> Option<&mut Flow> {
        self.flows.get_mut(task.0 as usize)?.as_mut()
    }

    /// A stream has nothing any more.
    fn leave(&mut self, task: RequestId) -> Option<Flow> {
        let flow = self.flows.get_mut(task.0 as usize)?.take()?;
        for stream in [up(task), down(task)] {
            self.pool.leave(stream);
            self.progress.leave(stream);
            self.spools.drop(stream);
        }
        if let Some(link) = &mut self.link {
            link.leave(down(task));
        }
        Some(flow)
    }

    fn expected_span(&self, octets: u64) -> Span {
        Span::from_secs((octets as f64 / self.rate).max(1e-6))
    }
}

impl Executor<Arc<Ticket>> for Hall {
    fn start(&mut self, task: RequestId, ticket: &mut Arc<Ticket>) {
        // The module's memory is what is reserved for floors: there is room for what it lets in.
        let admitted = self.admit(task, ticket);
        debug_assert!(admitted, "more was let in than floors are reserved for");
    }

    fn stop(&mut self, _: RequestId, _: &mut Arc<Ticket>) {}

    fn start_call(&mut self, task: RequestId, _: &mut Arc<Ticket>, number: u64, _: Span) -> bool {
        match self.flow(task) {
            Some(flow) => {
                flow.waits = Waits::Call(number);
                true
            }
            None => false,
        }
    }

    fn cancel_call(&mut self, ticket: &mut Arc<Ticket>, number: u64) {
        self.given_up.push((ticket.task(), number));
    }

    fn request_gauges(&mut self) {
        self.asked = true;
    }

    fn release(&mut self, task: RequestId, _: Arc<Ticket>) {
        self.leave(task);
    }
}

/// Where final answers go.
pub struct Desk;

impl Responder<Arc<Ticket>> for Desk {
    fn respond(&mut self, ticket: Arc<Ticket>, answer: FinalResponse) -> bool {
        let mut mail = lock(&ticket.mail);
        // What went down the stream is the answer, where one was let in and went well.
        if !(mail.run && matches!(answer, FinalResponse::Completed(_))) {
            mail.answer = Some(answer);
            drop(mail);
            ticket.wake();
        }
        true
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// The owner.
pub struct Owner<P> {
    host: Engine<P, Arc<Ticket>, Arc<Ticket>, Due>,
    /// The choices.
    pub hall: Hall,
    desk: Desk,
    armed: Option<Instant>,
    ticks: u32,
    gauges: Gauges,
    used: (Instant, f64),
    connections: f64,
    link: bool,
}

/// Core time of this program so far, in seconds.
fn core_time() -> f64 {
    use nix::sys::resource::{getrusage, UsageWho};
    use nix::sys::time::TimeValLike;
    let used = getrusage(UsageWho::RUSAGE_SELF);
    used.map_or(0.0, |used| (used.user_time() + used.system_time()).num_microseconds() as f64 / 1e6)
}

/// What a stream brings.
pub struct Entering {
    /// The customer.
    pub customer: Option<usize>,
    /// The mark by which its repeats are known.
    pub mark: Option<String>,
    /// What its head says of its body's length.
    pub told: Option<u64>,
    /// A number for the client's machine.
    pub caller: u64,
}

impl<P: Scheduler> Owner<P> {
    /// One that decides from now on.
    pub fn new(settings: &Checked, now: Instant, decide: P, seed: u64) -> Self {
        // Without a scarce link one stream is expected to move as a fast disk reads; only ratios count.
        let rate = if settings.limits.link_mbit > 0.0 { settings.limits.link_mbit * 1e6 / 8.0 } else { 1e8 };
        let link = (settings.limits.link_mbit > 0.0).then(|| Link::new(rate, now));
        let mut host = Engine::new((settings.limits.results_kb << 10) as usize);
        host.start(now, decide);
        host.set_timer(now + TICK, Due::Tick);
        let (spool, each) = (settings.limits.spool_kb << 10, settings.limits.spool_each_kb << 10);
        let scarce = link.is_some();
        Self {
            host,
            hall: Hall {
                pool: Pool::new(settings.pool, now),
                progress: Progress::new(settings.progress),
                upstreams: Upstreams::new(settings.upstreams.len(), settings.leave_out, seed),
                repeats: Repeats::new(settings.repeats.price, settings.repeats.most),
                spools: Spools::new(spool, each),
                link,
                sizes: Sizes::new(settings.stages.len() + 1),
                rate,
                flows: Vec::new(),
                given_up: Vec::new(),
                asked: false,
                granting: false,
                stages: settings.stages.clone(),
                now,
                counts: Counts::default(),
            },
            desk: Desk,
            armed: None,
            ticks: 0,
            gauges: Gauges::default(),
            used: (now, core_time()),
            connections: 0.0,
            link: scarce,
        }
    }

    /// What was read and answered.
    pub fn tally(&self) -> RequestCounts {
        self.host.counts()
    }

    /// When the program is to be over, once it leaves.
    pub fn kill(&self) -> Option<Instant> {
        self.host.shutdown_deadline()
    }

    /// How many connections there are.
    pub fn connections(&mut self, open: usize) {
        self.connections = open as f64;
    }

    /// Takes what is due, decides, and tells how long nothing is to be done unless it was told before.
    pub fn turn(&mut self, now: Instant) -> Option<Span> {
        self.hall.now = now;
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
        loop {
            let due = self.host.expire_timers(now, &mut self.hall);
            for (task, number) in std::mem::take(&mut self.hall.given_up) {
                self.host.call_ended(now, task, number, CallOutcome::MaybeExecuted);
            }
            match due {
                Some(Due::Tick) => self.tick(now),
                Some(Due::Grant) => self.grant(now),
                None => break,
            }
        }
        if std::mem::take(&mut self.hall.asked) {
            self.host.update_gauges(now, self.gauges);
        }
        self.host.decide(now, &mut self.hall, &mut self.desk);
        self.hall.given_up.clear();
        let next = self.host.next_timer()?;
        if self.armed.is_some_and(|armed| armed <= next) {
            return None;
        }
        self.armed = Some(next);
        Some((next - now).max(Span::from_millis(1)))
    }

    fn tick(&mut self, now: Instant) {
        self.host.set_timer(now + TICK, Due::Tick);
        self.hall.pool.share(now);
        self.hall.counts.held_most = self.hall.counts.held_most.max(self.hall.pool.held());
        self.ticks += 1;
        if self.ticks.is_multiple_of(GAUGE_TICKS) {
            let used = core_time();
            let busy = (used - self.used.1) / (now - self.used.0).secs().max(1e-6);
            self.used = (now, used);
            // Where the link is scarce it is what a place stands for; else the core that carries all.
            let busy = self.hall.link.as_mut().map_or(busy.min(1.0), |link| link.busy(now));
            self.gauges = Gauges { cpu_utilization: Some(busy), open_connections: Some(self.connections) };
        }
        // A stream that did not move since the last look waits for a peer, and holds no place meanwhile.
        for at in 0..self.hall.flows.len() {
            let task = RequestId(at as u32);
            let Some(flow) = self.hall.flow(task) else { continue };
            match (std::mem::take(&mut flow.moved), flow.waits) {
                (false, Waits::No) => {
                    flow.waits = Waits::Standing;
                    self.host.call_requested(now, task);
                }
                (true, Waits::Call(number)) => {
                    flow.waits = Waits::No;
                    self.host.call_ended(now, task, number, CallOutcome::Succeeded);
                }
                _ => {}
            }
            let Some(flow) = self.hall.flow(task).filter(|flow| flow.waits != Waits::No) else { continue };
            // One that could move and does not owes it, by whose side ever.
            let waits_client = flow.waits_client;
            for stream in [up(task), down(task)] {
                let holds = self.hall.pool.room(stream) < self.hall.pool.window(stream);
                if holds || (waits_client && stream == up(task)) {
                    self.hall.progress.moved(stream, 0);
                }
            }
        }
        for late in self.hall.progress.late(now) {
            if let Some(flow) = self.hall.flow(RequestId(late.0 / 2)) {
                flow.late = true;
            }
        }
        if self.hall.pool.scarce() {
            let late = self.hall.flows.iter().position(|flow| flow.as_ref().is_some_and(|flow| flow.late));
            if let Some(at) = late {
                // One at a time: its memory may be all that is wanted.
                self.hall.counts.late += 1;
                if let Some(flow) = &self.hall.flows[at] {
                    let ticket = flow.ticket.clone();
                    self.ended(now, &ticket, RunEnd::Failed);
                }
            }
        }
    }

    fn grant(&mut self, now: Instant) {
        let Some(link) = &mut self.hall.link else { return };
        let (woken, period) = (link.grant(now), link.period());
        self.hall.granting = !woken.is_empty();
        if self.hall.granting {
            self.host.set_timer(now + period, Due::Grant);
        }
        for stream in woken {
            if let Some(flow) = self.hall.flow(RequestId(stream.0 / 2)) {
                flow.ticket.wake();
            }
        }
    }

    /// Takes a stream in; false where nothing is taken in any more.
    pub fn enter(&mut self, now: Instant, ticket: &Arc<Ticket>, entering: Entering) -> bool {
        let expected = self.hall.sizes.expected(ticket.stage, entering.told);
        let floors = 2.0 * self.hall.pool_floor() as f64 / 1024.0;
        let key = entering.mark.filter(|_| self.effect(ticket) == Effect::Deduplicated);
        let entry = IncomingRequest {
            class: ticket.stage,
            tenant: entering.customer,
            caller: entering.caller,
            expected_work: Some(self.hall.expected_span(expected)),
            idempotency_key: key.map(|value| IdempotencyKey { class: ticket.stage, value }),
            memory_kb: floors,
            ..IncomingRequest::default()
        };
        match self.host.submit(now, None, entry, ticket.clone(), ticket.clone()) {
            Ok(task) => {
                ticket.task.store(task.0, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    /// What may happen when a stream is done twice.
    pub fn effect(&self, ticket: &Ticket) -> Effect {
        self.hall.stages.get(ticket.stage).map_or(Effect::Idempotent, |stage| stage.effect)
    }

    /// What a stream may do now.
    pub fn rooms(&self, ticket: &Ticket) -> Rooms {
        let Some(task) = ticket.live() else { return Rooms::default() };
        Rooms {
            up: self.hall.pool.window(up(task)),
            down: self.hall.pool.window(down(task)),
            credit: self.hall.link.as_ref().map(|link| link.granted(down(task))),
        }
    }

    /// What a stream moved.
    pub fn moved(&mut self, now: Instant, ticket: &Ticket, moved: Moved) {
        let Some(task) = ticket.live() else { return };
        let hall = &mut self.hall;
        let all = moved.up_took + moved.down_took + moved.came;
        let Some(flow) = hall.flows.get_mut(task.0 as usize).and_then(Option::as_mut) else { return };
        flow.moved |= all > 0;
        flow.octets += moved.up_took + moved.down_took;
        flow.waits_client = moved.waits_client;
        hall.counts.up += moved.up_took;
        hall.counts.down += moved.down_took;
        hall.pool.hold(up(task), moved.up_held, moved.up_took);
        hall.pool.hold(down(task), moved.down_held, moved.down_took);
        if moved.waits_client || moved.came > 0 {
            hall.progress.moved(up(task), moved.came);
        }
        if moved.down_held > 0 || moved.down_took > 0 {
            hall.progress.moved(down(task), moved.down_took);
        }
        if let Some(link) = &mut hall.link {
            link.sent(down(task), moved.down_took, moved.more);
            if moved.more && !std::mem::replace(&mut hall.granting, true) {
                self.host.set_timer(now, Due::Grant);
            }
        }
    }

    /// Whether a copy of so many more octets may be kept of what goes up.
    pub fn keep(&mut self, ticket: &Ticket, more: u64) -> bool {
        let Some(task) = ticket.live() else { return false };
        let may = self.hall.spools.keep(up(task), more);
        if !may {
            self.hall.spools.drop(up(task));
        }
        may
    }

    /// The upstream for a stream, but none of these; its streams so far count.
    pub fn choose(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        not: &[usize],
        told: Option<u64>,
    ) -> Option<usize> {
        let task = ticket.live()?;
        let upstream = self.hall.upstreams.choose(now, not)?;
        let expected = self.hall.sizes.expected(ticket.stage, told);
        self.hall.upstreams.outstanding(upstream, expected, 0);
        let flow = self.hall.flow(task)?;
        (flow.upstream, flow.expected, flow.began, flow.octets) = (Some(upstream), expected, now, 0);
        Some(upstream)
    }

    /// A stream's upstream is done with it; whether well, and in so many octets.
    pub fn let_go(&mut self, now: Instant, ticket: &Ticket, well: Option<bool>) {
        let flow = ticket.live().and_then(|task| self.hall.flow(task));
        if let Some(held) =
            flow.and_then(|flow| Some((flow.upstream.take()?, flow.expected, flow.octets, flow.began)))
        {
            self.give_back(now, held, well);
        }
    }

    fn give_back(&mut self, now: Instant, held: (usize, u64, u64, Instant), well: Option<bool>) {
        let (upstream, expected, octets, began) = held;
        let took = now - began;
        self.hall.upstreams.outstanding(upstream, 0, expected);
        match well {
            Some(true) => self.hall.upstreams.succeeded(upstream, octets, took),
            Some(false) => {
                if self.hall.upstreams.failed(now, upstream) {
                    self.hall.counts.left_out += 1;
                    warn!(upstream, "left out for a while");
                }
            }
            None => self.hall.upstreams.ended(upstream),
        }
    }

    /// Whether a stream that stands so may be sent again, to none of these upstreams.
    pub fn may_repeat(&mut self, now: Instant, ticket: &Ticket, not: &[usize], sent: Sent) -> bool {
        let effect = self.effect(ticket);
        let may = self.hall.upstreams.any(now, not) && self.hall.repeats.may(effect, sent);
        self.hall.counts.repeated += u64::from(may);
        may
    }

    /// Whether the rest of a download may be asked for elsewhere. Nothing is done twice by it.
    pub fn may_go_on(&mut self, now: Instant, not: &[usize]) -> bool {
        let fresh = Sent { octets: 0, head: false, held: true, answered: false };
        let may = self.hall.upstreams.any(now, not) && self.hall.repeats.may(Effect::Idempotent, fresh);
        self.hall.counts.resumed += u64::from(may);
        may
    }

    /// A stream ended.
    pub fn ended(&mut self, now: Instant, ticket: &Ticket, end: RunEnd) {
        if ticket.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let task = ticket.task();
        if let RunEnd::Completed(_) = end {
            self.hall.repeats.succeeded();
            if let Some(octets) = self.hall.flow(task).map(|flow| flow.octets) {
                self.hall.sizes.moved(ticket.stage, octets);
            }
        }
        let left = self.hall.leave(task);
        if let Some(held) =
            left.and_then(|flow| Some((flow.upstream?, flow.expected, flow.octets, flow.began)))
        {
            self.give_back(now, held, None);
        }
        self.host.run_ended(now, task, end, &mut self.hall, &mut self.desk);
    }

    /// A stream's client waits no more.
    pub fn gone(&mut self, now: Instant, ticket: &Arc<Ticket>) {
        self.host.caller_gone(now, ticket.task(), |own| Arc::ptr_eq(own, ticket));
        if ticket.running() {
            self.ended(now, ticket, RunEnd::Stopped);
        }
    }

    /// The notice to leave; false where it was given before.
    pub fn leave(&mut self, now: Instant, stop: Span) -> bool {
        self.host.begin_drain(now, stop)
    }

    /// After a failure of our own: whose answers are owed.
    pub fn give_up(&mut self) -> Vec<Arc<Ticket>> {
        self.host.fail_all()
    }

    /// All counters.
    pub fn counters(&self) -> serde_json::Value {
        let (tally, counts) = (self.host.counts(), self.hall.counts);
        serde_json::json!({
            "read": tally.received, "finished": tally.completed, "rejected": tally.rejected,
            "abandoned": tally.failed, "gone": tally.caller_gone, "open": tally.in_flight, "adds_up": tally.is_consistent(),
            "repeated": counts.repeated, "resumed": counts.resumed, "left_out": counts.left_out,
            "late": counts.late, "cut": counts.cut, "bad": counts.bad,
            "octets_up": counts.up, "octets_down": counts.down,
            "held": self.hall.pool.held(), "held_most": counts.held_most, "scarce_link": self.link,
        })
    }
}

impl Hall {
    fn pool_floor(&self) -> u64 {
        self.pool.floor()
    }
}
