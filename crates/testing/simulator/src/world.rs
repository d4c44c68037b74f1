//! The world: clients, sidecars, links and nodes in simulated time, on one seed. Nodes are the real host with whatever
//! decides; the same seed gives the same run.

use crate::below::{Below, Dependency};
use crate::cores::{Brought, Cores, Machine, Stop};
use crate::queue::Queue;
use crate::rules::{Broken, Rules};
use crate::sidecar::{Again, Habit, Sidecar};
use crate::work::Work;
use lynxtally::{CallOutcome, Effect, Gauges, Instant, RequestClass, RequestId, Settings, Span};
use lynxtally_engine::{Engine, FinalResponse, IncomingRequest, Responder, RunEnd, Scheduler};
use lynxtally_retry::OutlierLimits;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// What decides on a node.
pub type Decides = Box<dyn Scheduler + Send>;
/// Makes what decides on each node; the number is its seed.
pub type Make<'a> = &'a dyn Fn(&Settings, u64, Instant) -> Decides;

/// A stage of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// What the module is told of it.
    pub settings: RequestClass,
    /// Its part of all tasks.
    pub share: f64,
    /// Its mean work, in seconds on a core of its own.
    pub work: f64,
    /// How that is spread.
    pub spread: Work,
    /// Mean work of its call below, in seconds; spread like the work.
    pub call: f64,
}

/// What happens to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It dies: all that it has is lost.
    Crash,
    /// It comes back, cold.
    Restart,
    /// It does this part of its work.
    Slow(f64),
    /// The notice to leave; it dies this long after.
    Leave(Span),
    /// Nothing reaches it, though it runs; what it answers arrives.
    Deaf,
    /// What it answers is lost, though it hears.
    Mute,
    /// Its links are well again.
    Mended,
    /// What all nodes call does this part of its work; the nodes named count for nothing.
    SlowBelow(f64),
}

/// A fault of a script: when, on which nodes, what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When, from the start.
    pub at: Span,
    /// The first node that it happens to.
    pub first: usize,
    /// How many.
    pub count: usize,
    /// What.
    pub what: Fault,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Nodes.
    pub nodes: usize,
    /// Each one's cores.
    pub machine: Machine,
    /// What the module is told; its stages are those of the load.
    pub settings: Settings,
    /// The load's stages.
    pub stages: Vec<Stage>,
    /// Tasks a second, over the work that all cores can do.
    pub load: f64,
    /// For so long.
    pub lasts: Span,
    /// What happens before this does not count.
    pub warm_up: Span,
    /// Sidecars.
    pub sidecars: usize,
    /// How they choose.
    pub habit: Habit,
    /// When they try again.
    pub again: Again,
    /// When they leave a node out.
    pub outliers: Option<OutlierLimits>,
    /// One way on a link, in the mean; exponential.
    pub delay: Span,
    /// What all nodes call, where stages call.
    pub below: Option<Dependency>,
    /// Faults.
    pub script: Vec<Step>,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Client's tasks that count, and the utility that they offered.
    pub tasks: u64,
    /// Utility offered.
    pub offered: f64,
    /// Utility earned.
    pub earned: f64,
    /// Tasks answered in time.
    pub in_time: u64,
    /// Tries.
    pub tries: u64,
    /// Tries that were turned away.
    pub rejected: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Seconds from a task's birth to its good answer, in the mean, and of the slowest hundredth.
    pub latency: f64,
    /// The slowest hundredth.
    pub latency_99: f64,
    /// Utility earned in each second over that offered in it.
    pub line: Vec<f64>,
    /// Rules that were broken.
    pub rules: Rules,
    /// The largest mean of calls in hand below, over what that survives.
    pub most_below: f64,
    /// Events.
    pub events: u64,
}

impl Outcome {
    /// Utility earned over offered.
    pub fn service(&self) -> f64 {
        self.earned / self.offered.max(1e-9)
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Born,
    At(u32, u32),
    Back(u32, u32, Came),
    Node(u16, u32),
    Cores(u16, u32),
    GiveUp(u32),
    Step(u16),
    Kill(u16, u32),
    /// The dependency is looked at, by the number of this look.
    Below(u32),
    /// The end of a call comes to a node: its life, the task, the call's number, whether it went well.
    Called(u16, u32, RequestId, u64, bool),
    /// A run ends where it stands, as nobody waits for it.
    RunOver(u16, u32, RequestId),
}

/// How a try came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    Finished,
    Rejected(bool),
    Failed,
}

#[derive(Clone, Debug)]
struct Task {
    stage: u8,
    sidecar: u16,
    born: u64,
    work: f32,
    call: f32,
    tries: u8,
    runs: u8,
    done: bool,
    counts: bool,
    open: u32,
    tried: [u16; 3],
}

#[derive(Clone, Copy, Debug)]
struct Try {
    of: u32,
    node: u16,
    /// The node's life that it came to.
    life: u32,
    task: Option<RequestId>,
}

struct Node {
    host: Engine<Decides, Brought, u32, u8>,
    cores: Cores,
    /// Each life is another: what is under way from an older one is lost.
    life: u32,
    up: bool,
    deaf: bool,
    mute: bool,
    /// When the node is looked at next, and by which number; older ones are passed over.
    turn_at: u64,
    turn: u32,
    ends: u32,
    /// Arrivals after this are not to be run.
    grace: Option<u64>,
}

/// Answers, as they leave a node.
#[derive(Default)]
struct Desk(Vec<(u32, FinalResponse)>);

impl Responder<u32> for Desk {
    fn respond(&mut self, from: u32, answer: FinalResponse) -> bool {
        self.0.push((from, answer));
        true
    }
}

/// A run under way.
pub struct World<'a> {
    scenario: &'a Scenario,
    make: Make<'a>,
    queue: Queue<Event>,
    now: u64,
    nodes: Vec<Node>,
    below: Option<Below>,
    looks: u32,
    /// Calls under way, by node and number: which it is below, and whose; and the same by what it is below.
    calls: BTreeMap<(u16, u64), u32>,
    callers: BTreeMap<u32, (u16, u32, RequestId, u64)>,
    sidecars: Vec<Sidecar>,
    tasks: Vec<Task>,
    tries: Vec<Try>,
    free: Vec<u32>,
    arrivals: Pcg64Mcg,
    works: Pcg64Mcg,
    links: Pcg64Mcg,
    seed: u64,
    rate: f64,
    next_born: f64,
    latencies: Vec<f32>,
    seconds: Vec<(f64, f64)>,
    outcome: Outcome,
    /// Tells of one task, in words.
    explain: Option<u32>,
    /// What was told.
    pub told: Vec<String>,
}

const NONE: u32 = u32::MAX;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

impl<'a> World<'a> {
    /// A world at its start.
    pub fn new(scenario: &'a Scenario, make: Make<'a>, seed: u64) -> Self {
        let stream = |n: u64| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(n));
        let mean: f64 = scenario.stages.iter().map(|stage| stage.share * stage.work).sum();
        let cores = f64::from(scenario.machine.cores) * scenario.nodes as f64;
        let mut world = Self {
            scenario,
            make,
            queue: Queue::default(),
            now: 0,
            nodes: Vec::new(),
            below: scenario.below.map(Below::new),
            looks: 0,
            calls: BTreeMap::new(),
            callers: BTreeMap::new(),
            sidecars: (0..scenario.sidecars)
                .map(|n| {
                    let seed = seed.wrapping_mul(31).wrapping_add(n as u64);
                    Sidecar::new(scenario.habit, scenario.again, scenario.outliers, scenario.nodes, seed)
                })
                .collect(),
            tasks: Vec::new(),
            tries: Vec::new(),
            free: Vec::new(),
            arrivals: stream(1),
            works: stream(2),
            links: stream(3),
            seed,
            rate: scenario.load * cores / mean.max(1e-9),
            next_born: 0.0,
            latencies: Vec::new(),
            seconds: vec![(0.0, 0.0); scenario.lasts.secs().ceil() as usize + 1],
            outcome: Outcome::default(),
            explain: None,
            told: Vec::new(),
        };
        for n in 0..scenario.nodes {
            let node = world.node(n, 0, false);
            world.nodes.push(node);
            world.queue.push(0, Event::Node(n as u16, 0));
        }
        for (n, step) in scenario.script.iter().enumerate() {
            world.queue.push(step.at.micros(), Event::Step(n as u16));
        }
        world.queue.push(0, Event::Born);
        world
    }

    /// Has what happens to one task told in words.
    pub fn explain(mut self, task: u32) -> Self {
        self.explain = Some(task);
        self
    }

    fn node(&self, n: usize, life: u32, cold: bool) -> Node {
        let now = at(self.now);
        let mut host = Engine::new(1 << 16);
        let settings = Settings { cold_start: cold, ..self.scenario.settings.clone() };
        let seed = self.seed.wrapping_mul(7919).wrapping_add(n as u64 * 64 + u64::from(life));
        host.start(now, (self.make)(&settings, seed, now));
        Node {
            host,
            cores: Cores::new(self.scenario.machine, now, cold),
            life,
            up: true,
            deaf: false,
            mute: false,
            turn_at: u64::MAX,
            turn: 0,
            ends: 0,
            grace: None,
        }
    }

    fn tell(&mut self, task: u32, what: impl FnOnce() -> String) {
        if self.explain == Some(task) {
            self.told.push(format!("{:>10.6} s  {}", self.now as f64 / 1e6, what()));
        }
    }

    fn delay(&mut self) -> u64 {
        let draw: f64 = Exp1.sample(&mut self.links);
        (draw * self.scenario.delay.micros() as f64) as u64
    }

    /// Runs to the end.
    pub fn run(mut self) -> (Outcome, Vec<String>) {
        while let Some((now, event)) = self.queue.pop() {
            self.now = now;
            self.outcome.events += 1;
            match event {
                Event::Born => self.born(),
                Event::At(open, of) => self.arrive(open, of),
                Event::Back(open, of, came) => self.back(open, of, came),
                Event::Node(n, turn) => {
                    let node = &mut self.nodes[usize::from(n)];
                    if node.up && node.turn == turn {
                        node.turn_at = u64::MAX;
                        self.turn(n);
                    }
                }
                Event::Cores(n, number) => {
                    let node = &self.nodes[usize::from(n)];
                    if node.up && node.ends == number {
                        self.turn(n);
                    }
                }
                Event::GiveUp(task) => self.give_up(task),
                Event::Step(step) => self.step(usize::from(step)),
                Event::Kill(n, life) => {
                    if self.nodes[usize::from(n)].life == life {
                        self.crash(n);
                    }
                }
                Event::Below(look) if look == self.looks => self.look_below(),
                Event::Below(_) => {}
                Event::Called(n, life, task, number, well) => self.called(n, life, task, number, well),
                Event::RunOver(n, life, task) => {
                    if self.nodes[usize::from(n)].up && self.nodes[usize::from(n)].life == life {
                        self.run_over(n, task);
                    }
                }
            }
            // Nobody is born any more and nobody waits: what is left are timers.
            if self.now > (self.scenario.lasts + self.longest()).micros() {
                break;
            }
        }
        self.close()
    }

    fn longest(&self) -> Span {
        let longest =
            self.scenario.stages.iter().map(|stage| stage.settings.deadline).max().unwrap_or_default();
        longest + self.scenario.delay * 100.0
    }

    fn born(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        // Kept with its fraction: cut to whole microseconds, a thousand births in one would be too many.
        self.next_born += gap / self.rate * 1e6;
        if self.next_born < self.scenario.lasts.micros() as f64 {
            self.queue.push(self.next_born as u64, Event::Born);
        }
        let draw: f64 = self.arrivals.random();
        let mut left = draw * self.scenario.stages.iter().map(|stage| stage.share).sum::<f64>();
        let stage = self.scenario.stages.iter().position(|stage| {
            left -= stage.share;
            left < 0.0
        });
        let stage = stage.unwrap_or(self.scenario.stages.len() - 1);
        let own = &self.scenario.stages[stage];
        let work = own.spread.draw(&mut self.works) * own.work;
        let call = if own.call > 0.0 { own.spread.draw(&mut self.works) * own.call } else { 0.0 };
        let sidecar = (self.arrivals.random::<f64>() * self.sidecars.len() as f64) as u16;
        let number = self.tasks.len() as u32;
        let counts = self.now >= self.scenario.warm_up.micros();
        self.tasks.push(Task {
            stage: stage as u8,
            sidecar,
            born: self.now,
            work: work as f32,
            call: call as f32,
            tries: 0,
            runs: 0,
            done: false,
            counts,
            open: NONE,
            tried: [u16::MAX; 3],
        });
        let (utility, limit) = (own.settings.utility, own.settings.deadline.micros());
        if counts {
            self.outcome.tasks += 1;
            self.outcome.offered += utility;
            let second = (self.now / 1_000_000) as usize;
            self.seconds[second].1 += utility;
        }
        self.tell(number, || format!("born, stage {stage}, {work:.6} s of work"));
        self.queue.push(self.now + limit, Event::GiveUp(number));
        self.send(number);
    }

    fn send(&mut self, number: u32) {
        let task = &self.tasks[number as usize];
        let (sidecar, customer) = (usize::from(task.sidecar), u64::from(number));
        let tried = task.tried;
        let tried: Vec<u16> = tried.into_iter().filter(|node| *node != u16::MAX).collect();
        let Some(node) = self.sidecars[sidecar].choose(at(self.now), customer, &tried) else { return };
        let task = &mut self.tasks[number as usize];
        task.tried[usize::from(task.tries) % 3] = node;
        task.tries += 1;
        self.outcome.tries += u64::from(task.counts);
        let life = self.nodes[usize::from(node)].life;
        let one = Try { of: number, node, life, task: None };
        let open = match self.free.pop() {
            Some(open) => {
                self.tries[open as usize] = one;
                open
            }
            None => {
                self.tries.push(one);
                self.tries.len() as u32 - 1
            }
        };
        self.tasks[number as usize].open = open;
        let delay = self.delay();
        self.tell(number, || format!("sent to node {node}"));
        self.queue.push(self.now + delay, Event::At(open, number));
    }

    fn arrive(&mut self, open: u32, of: u32) {
        if self.tasks[of as usize].open != open {
            return; // Its client gave up meanwhile; the place may be another's.
        }
        let Try { node: n, .. } = self.tries[open as usize];
        let task = self.tasks[of as usize].clone();
        let (now, born) = (at(self.now), at(task.born));
        let own = &self.scenario.stages[usize::from(task.stage)].settings;
        let limit = born + own.deadline;
        let node = &mut self.nodes[usize::from(n)];
        if !node.up || node.deaf {
            let delay = self.delay();
            // One that can't be reached is known to be so after a while; one that is dead at once.
            let wait = if self.nodes[usize::from(n)].up { self.scenario.delay.micros() * 50 } else { 0 };
            self.queue.push(self.now + delay + wait, Event::Back(open, of, Came::Failed));
            return;
        }
        self.tries[open as usize].life = node.life;
        let entry = IncomingRequest {
            class: usize::from(task.stage),
            caller: u64::from(task.sidecar),
            deadline: Some(limit),
            is_retry: task.tries > 1,
            memory_kb: 1.0,
            ..IncomingRequest::default()
        };
        let brought = Brought { of, work: f64::from(task.work), call: f64::from(task.call) };
        node.cores.advance(now);
        match node.host.submit(now, None, entry, brought, open) {
            Ok(id) => self.tries[open as usize].task = Some(id),
            Err(_) => {
                let delay = self.delay();
                self.queue.push(self.now + delay, Event::Back(open, of, Came::Rejected(false)));
                return;
            }
        }
        self.turn(n);
    }

    /// One turn of a node's driver.
    fn turn(&mut self, n: u16) {
        let now = at(self.now);
        let mut desk = Desk::default();
        let node = &mut self.nodes[usize::from(n)];
        for (task, stop) in node.cores.ended(now) {
            match stop {
                Stop::Done => {
                    node.host.run_ended(now, task, RunEnd::Completed(Vec::new()), &mut node.cores, &mut desk);
                }
                Stop::AtCall if node.host.reply_to(task).is_some() => node.host.call_requested(now, task),
                Stop::AtCall => self.queue.push(self.now, Event::RunOver(n, node.life, task)),
            }
        }
        while node.host.expire_timers(now, &mut node.cores).is_some() {}
        if std::mem::take(&mut node.cores.asked) {
            let busy = node.cores.busy(now);
            node.host.update_gauges(now, Gauges { cpu_utilization: Some(busy), open_connections: None });
        }
        node.host.decide(now, &mut node.cores, &mut desk);
        let began = std::mem::take(&mut node.cores.began);
        let (calls, given_up) =
            (std::mem::take(&mut node.cores.calls), std::mem::take(&mut node.cores.given_up));
        let most = self.scenario.settings.max_running_per_core * f64::from(self.scenario.machine.cores);
        let (running, grace) = (node.cores.running(), node.grace);
        if let Some(next) = node.host.next_timer().map(|due| (due - Instant::default()).micros()) {
            if next < node.turn_at {
                (node.turn_at, node.turn) = (next, node.turn + 1);
                self.queue.push(next, Event::Node(n, node.turn));
            }
        }
        // While it warms up the end moves without anything having changed: it is set anew each time.
        node.ends += 1;
        if let Some(end) = node.cores.next_end() {
            let end = (end - Instant::default()).micros().max(self.now + 1);
            self.queue.push(end, Event::Cores(n, node.ends));
        }
        self.call_below(n, calls, given_up);
        for one in began {
            let task = &mut self.tasks[one.of as usize];
            task.runs = task.runs.saturating_add(1);
            let stage = usize::from(task.stage);
            let twice = task.runs > 1 && self.scenario.stages[stage].settings.effect != Effect::Idempotent;
            self.tell(one.of, || format!("runs on node {n}"));
            if twice {
                self.outcome.rules.broke(Broken::Twice, self.now, n, one.of);
            }
            if running as f64 > most {
                self.outcome.rules.broke(Broken::Crowd, self.now, n, one.of);
            }
            let open = self.tasks[one.of as usize].open;
            let late = grace.is_some_and(|grace| self.now > grace) && self.arrived_after(open, grace);
            if late {
                self.outcome.rules.broke(Broken::PastGrace, self.now, n, one.of);
            }
        }
        for (open, answer) in desk.0 {
            // Abandoned at its call: the run ends there.
            let one = self.tries[open as usize];
            if let Some(task) = one.task.filter(|_| answer == FinalResponse::Failed) {
                self.queue.push(self.now, Event::RunOver(n, one.life, task));
            }
            let came = match answer {
                FinalResponse::Completed(_) => Came::Finished,
                FinalResponse::Rejected { no_retry: terminal, .. } => Came::Rejected(terminal),
                FinalResponse::Failed => Came::Failed,
            };
            if self.nodes[usize::from(n)].mute {
                continue;
            }
            let (delay, of) = (self.delay(), self.tries[open as usize].of);
            self.queue.push(self.now + delay, Event::Back(open, of, came));
        }
    }

    /// Whether a try came to its node after this moment. Tries run the moment they come, or were held since: only what is
    /// entered after the grace can be told apart by when it was sent.
    fn arrived_after(&self, open: u32, grace: Option<u64>) -> bool {
        let Some(one) = self.tries.get(open as usize) else { return false };
        let task = &self.tasks[one.of as usize];
        // A task born after the grace can't have come before it.
        grace.is_some_and(|grace| task.born > grace)
    }

    fn back(&mut self, open: u32, of: u32, came: Came) {
        if self.tasks[of as usize].open != open {
            return;
        }
        let Try { node, .. } = self.tries[open as usize];
        self.free.push(open);
        let task = &mut self.tasks[of as usize];
        task.open = NONE;
        let (sidecar, tries, done) = (usize::from(task.sidecar), u32::from(task.tries), task.done);
        let (counts, born, stage) = (task.counts, task.born, usize::from(task.stage));
        self.sidecars[sidecar].ended(at(self.now), node, came == Came::Finished, came == Came::Failed);
        self.tell(of, || format!("back from node {node}: {came:?}"));
        if done {
            return;
        }
        let own = &self.scenario.stages[stage].settings;
        match came {
            Came::Finished => {
                let stay = Span::from_micros(self.now - born);
                self.tasks[of as usize].done = true;
                if counts {
                    let earned = match stay {
                        stay if stay <= own.latency_objective => own.utility,
                        stay if stay <= own.deadline => own.utility * own.late_utility_fraction,
                        _ => 0.0,
                    };
                    self.outcome.earned += earned;
                    self.outcome.in_time += u64::from(stay <= own.latency_objective);
                    self.seconds[(born / 1_000_000) as usize].0 += earned;
                    self.latencies.push(stay.secs() as f32);
                }
            }
            Came::Rejected(_) | Came::Failed => {
                let rejected = matches!(came, Came::Rejected(_));
                self.outcome.rejected += u64::from(rejected && counts);
                self.outcome.failed += u64::from(!rejected && counts);
                let terminal = came == Came::Rejected(true);
                let harmless = rejected || own.effect == Effect::Idempotent;
                if harmless && !terminal && self.sidecars[sidecar].again(tries) {
                    self.send(of);
                } else {
                    self.tasks[of as usize].done = true;
                }
            }
        }
    }

    fn give_up(&mut self, number: u32) {
        let task = &mut self.tasks[number as usize];
        if std::mem::replace(&mut task.done, true) {
            return;
        }
        let open = task.open;
        self.tell(number, || "the client gives up".to_owned());
        let Some(one) = self.tries.get(open as usize).copied().filter(|_| open != NONE) else { return };
        let node = &mut self.nodes[usize::from(one.node)];
        if let Some(task) = one.task.filter(|_| node.up && node.life == one.life) {
            node.cores.advance(at(self.now));
            // Whoever is still owed an answer at the time limit was lost by the node.
            if node.host.caller_gone(at(self.now), task, |from| *from == open) {
                self.outcome.rules.broke(Broken::Lost, self.now, one.node, number);
            }
            self.queue.push(self.now, Event::RunOver(one.node, one.life, task));
            self.turn(one.node);
        }
        let task = &mut self.tasks[number as usize];
        task.open = NONE;
        let sidecar = usize::from(task.sidecar);
        self.free.push(open);
        self.sidecars[sidecar].ended(at(self.now), one.node, false, true);
    }

    fn step(&mut self, step: usize) {
        let Step { first, count, what, .. } = self.scenario.script[step];
        if let (Fault::SlowBelow(part), Some(below)) = (what, &mut self.below) {
            below.slow(at(self.now), part);
            return self.look_below();
        }
        for n in first..(first + count).min(self.nodes.len()) {
            let number = n as u16;
            match what {
                Fault::Crash => self.crash(number),
                Fault::Restart => {
                    if !self.nodes[n].up {
                        let life = self.nodes[n].life + 1;
                        self.nodes[n] = self.node(n, life, true);
                        self.turn(number);
                    }
                }
                Fault::Slow(part) => {
                    let now = at(self.now);
                    let node = &mut self.nodes[n];
                    node.cores.advance(now);
                    node.cores.slowed = part;
                    if node.up {
                        self.turn(number);
                    }
                }
                Fault::Leave(stop) => {
                    let grace = self.now + self.scenario.settings.drain_grace.micros();
                    let (now, life) = (at(self.now), self.nodes[n].life);
                    let node = &mut self.nodes[n];
                    if node.up && node.host.begin_drain(now, stop) {
                        node.grace = Some(grace);
                        self.queue.push(self.now + stop.micros(), Event::Kill(number, life));
                        self.turn(number);
                    }
                }
                Fault::Deaf => self.nodes[n].deaf = true,
                Fault::Mute => self.nodes[n].mute = true,
                Fault::Mended => (self.nodes[n].deaf, self.nodes[n].mute) = (false, false),
                Fault::SlowBelow(_) => {}
            }
        }
    }

    /// A node is dead: who waited for it hears that the connection broke off.
    fn crash(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        if !std::mem::replace(&mut node.up, false) {
            return;
        }
        // What it called is given up by its end.
        let numbers: Vec<u64> =
            self.calls.range((n, 0)..=(n, u64::MAX)).map(|((_, number), _)| *number).collect();
        self.call_below(n, Vec::new(), numbers);
        let node = &mut self.nodes[usize::from(n)];
        // One that left as it was told owes nobody anything by now.
        let leaving = node.grace.is_some();
        let owed = node.host.fail_all();
        for open in owed {
            let of = self.tries[open as usize].of;
            if leaving {
                self.outcome.rules.broke(Broken::Lost, self.now, n, of);
            }
            let delay = self.delay();
            self.queue.push(self.now + delay, Event::Back(open, of, Came::Failed));
        }
    }

    /// Calls of a node go below, and some are given up.
    fn call_below(&mut self, n: u16, calls: Vec<(RequestId, u64, f64)>, given_up: Vec<u64>) {
        let (now, life) = (at(self.now), self.nodes[usize::from(n)].life);
        let Some(below) = self.below.as_mut().filter(|_| !calls.is_empty() || !given_up.is_empty()) else {
            return;
        };
        for (task, number, work) in calls {
            let call = below.call(now, work);
            self.calls.insert((n, number), call);
            self.callers.insert(call, (n, life, task, number));
        }
        for number in given_up {
            let Some(call) = self.calls.remove(&(n, number)) else { continue };
            below.give_up(now, call);
            if let Some((n, life, task, number)) = self.callers.remove(&call) {
                self.queue.push(self.now, Event::Called(n, life, task, number, false));
            }
        }
        self.look_below();
    }

    /// What is done below goes back, and the rule is looked at.
    fn look_below(&mut self) {
        let now = at(self.now);
        let Some(below) = &mut self.below else { return };
        let done = below.done(now);
        if below.falls() {
            self.outcome.rules.broke(Broken::Below, self.now, 0, NONE);
        }
        self.looks += 1;
        if let Some(next) = below.next() {
            self.queue.push((next - Instant::default()).micros().max(self.now + 1), Event::Below(self.looks));
        }
        for call in done {
            let Some((n, life, task, number)) = self.callers.remove(&call) else { continue };
            self.calls.remove(&(n, number));
            let delay = self.delay();
            self.queue.push(self.now + delay, Event::Called(n, life, task, number, true));
        }
    }

    fn called(&mut self, n: u16, life: u32, task: RequestId, number: u64, well: bool) {
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(n)];
        if !node.up || node.life != life {
            return;
        }
        node.cores.advance(now);
        let outcome = if well { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
        // One that was given up with its run is not waited for any more.
        if node.host.call_ended(now, task, number, outcome) {
            if well {
                node.cores.resume(task);
            } else {
                node.cores.failed(task);
                if node.host.reply_to(task).is_none() {
                    self.queue.push(self.now, Event::RunOver(n, life, task));
                }
            }
        }
        self.turn(n);
    }

    /// A run that stands at its call ends there.
    fn run_over(&mut self, n: u16, task: RequestId) {
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(n)];
        if node.cores.drop_standing(task) {
            node.cores.advance(now);
            node.host.run_ended(now, task, RunEnd::Stopped, &mut node.cores, &mut Desk::default());
            self.turn(n);
        }
    }

    fn close(mut self) -> (Outcome, Vec<String>) {
        for (n, node) in self.nodes.iter().enumerate() {
            let tally = node.host.counts();
            if node.up && !(tally.is_consistent() && tally.in_flight == 0) {
                self.outcome.rules.broke(Broken::Lost, self.now, n as u16, NONE);
            }
        }
        self.outcome.most_below = match (&self.below, self.scenario.below) {
            (Some(below), Some(model)) => below.most() / model.survives,
            _ => 0.0,
        };
        self.latencies.sort_unstable_by(f32::total_cmp);
        let count = self.latencies.len().max(1);
        self.outcome.latency = self.latencies.iter().map(|one| f64::from(*one)).sum::<f64>() / count as f64;
        let late = (count as f64 * 0.99) as usize;
        self.outcome.latency_99 = self.latencies.get(late).map_or(0.0, |one| f64::from(*one));
        self.outcome.line = self
            .seconds
            .iter()
            .map(|(earned, offered)| if *offered > 0.0 { earned / offered } else { 0.0 })
            .collect();
        (self.outcome, self.told)
    }
}
