//! The run: one agenda of things to come, in real time.

use super::clock::Clock;
use super::keepers::Keepers;
use super::node::{Node, Process};
use super::script::{Need, Script, What};
use lynxtally::{Pcg, Span};
use lynxtally_lease_client::OutgoingRequest;
use lynxtally_messages::{NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// By which rule calls are let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// By the grants of the register.
    Divided,
    /// Each node has an equal part for good; of units that do not go round the first nodes have one.
    Static,
    /// As one that sees everything at once would.
    AllSeeing,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// What was let go in each span of 100 ms.
    pub windows: Vec<u64>,
    /// Calls that were wanted, and those that were let go in their time.
    pub wanted: u64,
    /// Those that were let go in their time.
    pub served: u64,
    /// The most that was in hand below at one moment.
    pub most: u64,
    /// Events.
    pub events: u64,
    /// Entries in the log.
    pub entries: u64,
}

/// The sum passed the whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The seed that replays it.
    pub seed: u64,
    /// When, in microseconds of real time.
    pub at: u64,
    /// What was in hand, and the whole.
    pub in_hand: u64,
    /// The whole.
    pub whole: u64,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { seed, at, in_hand, whole } = self;
        write!(f, "seed {seed}: at {at} us {in_hand} calls were in hand, of {whole}")
    }
}

impl std::error::Error for Broken {}

enum Thing {
    /// A task comes to a node.
    Task(usize),
    /// A node has something to do.
    Wake(usize),
    /// A call begins below, and is decided on by now.
    Begin,
    /// A call ends below.
    End,
    /// A message comes to the keepers.
    Said(usize, u64, u64, Box<NodeRequest>),
    /// A reply comes to a node, or surely none will.
    Told(usize, u64, u64, Option<Box<NodeResponse>>),
    /// Something may be agreed on.
    Agreed,
    /// The leader's tick.
    Tick,
    /// A fault begins or ends.
    Fault(usize, bool),
}

struct World<'a> {
    script: &'a Script,
    rule: Rule,
    chance: Pcg,
    now: u64,
    agenda: BTreeMap<(u64, u64), Thing>,
    put: u64,
    nodes: Vec<Node>,
    keepers: Keepers,
    loss: f64,
    /// For one that sees everything: until when each task waits.
    pool: VecDeque<u64>,
    in_hand: u64,
    /// Calls that were let go, also those that have not begun below.
    let_go: u64,
    figures: Figures,
}

/// A message takes up to this long, in microseconds.
const WAY: f64 = 10_000.0;
/// A message comes twice by this chance.
const TWICE: f64 = 0.02;
const TICK: u64 = 250_000;
const WINDOW: u64 = 100_000;

/// Plays a script.
///
/// # Errors
/// More was in hand below than there is.
pub fn run(script: &Script, rule: Rule) -> Result<Figures, Broken> {
    let mut chance = Pcg::new(script.seed ^ 0x5eed);
    let keepers = Keepers::new(&mut chance, script.terms, script.really_drift);
    let top = script.nodes.div_ceil(10);
    let all = script.load * script.terms.capacity as f64;
    let need = |at: usize| match script.need {
        Need::Even => all / script.nodes as f64,
        Need::Skewed if at < top => all / 2.0 / top as f64,
        Need::Skewed => all / 2.0 / (script.nodes - top).max(1) as f64,
    };
    let nodes = (0..script.nodes)
        .map(|at| Node {
            clock: Clock::draw(&mut chance, script.really_drift),
            life: 0,
            process: None,
            stopped: 0,
            cut_sent: 0,
            cut_told: 0,
            wake: u64::MAX,
            need: need(at),
        })
        .collect();
    let mut world = World {
        script,
        rule,
        chance,
        now: 0,
        agenda: BTreeMap::new(),
        put: 0,
        nodes,
        keepers,
        loss: 0.0,
        pool: VecDeque::new(),
        in_hand: 0,
        let_go: 0,
        figures: Figures::default(),
    };
    world.play()
}

impl World<'_> {
    fn put(&mut self, at: u64, thing: Thing) {
        self.put += 1;
        self.agenda.insert((at.max(self.now), self.put), thing);
    }

    fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.chance.unit()).ln()
    }

    fn play(&mut self) -> Result<Figures, Broken> {
        for node in 0..self.script.nodes {
            self.start(node);
            self.next_task(node);
        }
        self.put(TICK, Thing::Tick);
        for (n, fault) in self.script.faults.iter().enumerate() {
            self.put(fault.from, Thing::Fault(n, true));
            self.put(fault.until, Thing::Fault(n, false));
        }
        while let Some(((at, _), thing)) = self.agenda.pop_first() {
            if at > self.script.lasts {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            self.happen(thing);
            self.figures.most = self.figures.most.max(self.in_hand);
            let whole = self.script.terms.capacity;
            // An equal part knows nothing of the calls of a process before it, so only the grants are held to it.
            if self.rule == Rule::Divided && self.in_hand > whole {
                return Err(Broken { seed: self.script.seed, at, in_hand: self.in_hand, whole });
            }
        }
        self.figures.entries = self.keepers.register.applied_index();
        Ok(std::mem::take(&mut self.figures))
    }

    fn start(&mut self, at: usize) {
        let seed = u64::from(self.chance.next_u32()) << 16 | at as u64;
        let node = &mut self.nodes[at];
        node.life += 1;
        node.process = Some(Process::new(self.script, at, seed, node.clock.shows(self.now)));
        self.turn(at);
    }

    fn next_task(&mut self, at: usize) {
        let mean = self.script.call_us as f64 / self.nodes[at].need.max(1e-6);
        let wait = self.exp(mean) as u64;
        self.put(self.now + wait.max(1), Thing::Task(at));
    }

    fn happen(&mut self, thing: Thing) {
        match thing {
            Thing::Task(at) => self.task(at),
            // Only the last that was set counts.
            Thing::Wake(at) if self.nodes[at].wake == self.now => {
                self.nodes[at].wake = u64::MAX;
                self.turn(at);
            }
            Thing::Wake(_) => {}
            Thing::Begin => self.in_hand += 1,
            Thing::End => {
                self.in_hand -= 1;
                self.let_go -= 1;
                if self.rule == Rule::AllSeeing {
                    self.serve_pool();
                }
            }
            Thing::Said(at, life, token, say) => {
                match self.keepers.say(&mut self.chance, self.now, *say, (at, life, token)) {
                    Some(agreed) => self.put(agreed, Thing::Agreed),
                    None => self.told(at, life, token, None),
                }
            }
            Thing::Told(at, life, token, reply) => {
                let node = &mut self.nodes[at];
                if node.life != life || node.process.is_none() {
                    return;
                }
                if node.stopped > self.now {
                    let wake = node.stopped;
                    return self.put(wake, Thing::Told(at, life, token, reply));
                }
                let now = node.clock.shows(self.now);
                if let Some(process) = &mut node.process {
                    process.holder.on_response(now, token, reply.map(|reply| *reply));
                }
                self.turn(at);
            }
            Thing::Agreed => {
                for ((at, life, token), reply) in self.keepers.agreed(self.now) {
                    self.told(at, life, token, Some(reply));
                }
            }
            Thing::Tick => {
                if let Some(agreed) = self.keepers.tick(&mut self.chance, self.now) {
                    self.put(agreed, Thing::Agreed);
                }
                self.put(self.now + TICK, Thing::Tick);
            }
            Thing::Fault(n, begins) => self.fault(n, begins),
        }
    }

    fn task(&mut self, at: usize) {
        self.next_task(at);
        self.figures.wanted += 1;
        let node = &self.nodes[at];
        if node.process.as_ref().is_none_or(|process| process.leaving) {
            return;
        }
        if self.rule == Rule::AllSeeing {
            if node.stopped <= self.now {
                self.pool.push_back(self.now + self.script.waits_us);
                self.serve_pool();
            }
            return;
        }
        let until = node.clock.shows(self.now) + Span::from_micros(self.script.waits_us);
        if let Some(process) = &mut self.nodes[at].process {
            process.want(until);
        }
        self.turn(at);
    }

    /// An equal part, for a rule by which nothing has to be told.
    fn fixed(&self, at: usize) -> Option<u64> {
        let (nodes, whole) = (self.script.nodes as u64, self.script.terms.capacity);
        let part = whole / nodes + u64::from((at as u64) < whole % nodes);
        (self.rule == Rule::Static).then_some(part)
    }

    /// One that sees everything lets the first that waits go as soon as there is room below.
    fn serve_pool(&mut self) {
        let now = self.now;
        while self.pool.pop_front_if(|until| *until <= now).is_some() {}
        while self.let_go < self.script.terms.capacity && self.pool.pop_front().is_some() {
            self.begin(0);
        }
    }

    /// A call goes; it is over below when it is done, or has lingered after being given up. Tells how long that is.
    fn begin(&mut self, held: u64) -> u64 {
        self.figures.served += 1;
        let window = (self.now / WINDOW) as usize;
        self.figures.windows.resize(self.figures.windows.len().max(window + 1), 0);
        self.figures.windows[window] += 1;
        self.let_go += 1;
        let mean = self.script.call_us as f64;
        let takes = (self.exp(mean) as u64).max(1).min(self.script.time_out_us + self.script.linger_us);
        // The process may be held up between its look at the clock and the call itself.
        self.put(self.now + held, Thing::Begin);
        self.put(self.now + held + takes, Thing::End);
        held + takes
    }

    fn turn(&mut self, at: usize) {
        if self.rule == Rule::AllSeeing {
            return;
        }
        let fixed = self.fixed(at);
        let node = &mut self.nodes[at];
        let (clock, life) = (node.clock, node.life);
        if node.stopped > self.now {
            let wake = node.stopped;
            return self.wake(at, wake);
        }
        let now = clock.shows(self.now);
        let Some(process) = &mut node.process else { return };
        let (begun, outgoing) = process.turn(now, fixed);
        for _ in 0..begun {
            let margin = self.script.terms.pause_margin_us as f64;
            let held = if self.chance.unit() < 0.1 { (margin * self.chance.unit()) as u64 } else { 0 };
            let took = self.begin(held);
            let end = clock.shows(self.now + took) + Span::from_micros(1);
            if let Some(process) = &mut self.nodes[at].process {
                process.began(end);
            }
        }
        if let Some(outgoing) = outgoing {
            self.say(at, life, outgoing);
        }
        let Some(process) = &mut self.nodes[at].process else { return };
        if fixed.is_none() && process.holder.has_ended() && process.leaving {
            self.nodes[at].process = None;
            return;
        }
        if let Some(due) = process.next_due(fixed) {
            let due = clock.when(due).max(self.now + 1);
            self.wake(at, due);
        }
    }

    /// Wakes a node then, unless it is woken before.
    fn wake(&mut self, at: usize, when: u64) {
        if when < self.nodes[at].wake {
            self.nodes[at].wake = when;
            self.put(when, Thing::Wake(at));
        }
    }

    fn way(&mut self) -> u64 {
        1 + (WAY * self.chance.unit()) as u64
    }

    fn say(&mut self, at: usize, life: u64, outgoing: OutgoingRequest) {
        let OutgoingRequest { token, request: say, .. } = outgoing;
        if self.nodes[at].cut_sent > self.now || self.chance.unit() < self.loss {
            return;
        }
        let way = self.way();
        if self.chance.unit() < TWICE {
            let late = way * 50;
            self.put(self.now + late, Thing::Said(at, life, token, Box::new(say.clone())));
        }
        self.put(self.now + way, Thing::Said(at, life, token, Box::new(say)));
    }

    fn told(&mut self, at: usize, life: u64, token: u64, reply: Option<NodeResponse>) {
        if self.nodes[at].cut_told > self.now || self.chance.unit() < self.loss {
            return;
        }
        let way = self.way();
        if self.chance.unit() < TWICE {
            let late = way * 50;
            self.put(self.now + late, Thing::Told(at, life, token, reply.clone().map(Box::new)));
        }
        self.put(self.now + way, Thing::Told(at, life, token, reply.map(Box::new)));
    }

    fn fault(&mut self, n: usize, begins: bool) {
        let fault = self.script.faults[n];
        match (fault.what, begins) {
            (What::Cut { node, sent, told }, true) => {
                let node = &mut self.nodes[node];
                if sent {
                    node.cut_sent = node.cut_sent.max(fault.until);
                }
                if told {
                    node.cut_told = node.cut_told.max(fault.until);
                }
            }
            (What::Cut { .. }, false) => {}
            (What::Stop { node }, true) => {
                self.nodes[node].stopped = self.nodes[node].stopped.max(fault.until)
            }
            (What::Stop { node }, false) => self.turn(node),
            (What::Kill { node }, true) => self.kill(node),
            (What::Kill { node }, false) => self.start_if_gone(node),
            (What::Leave { node }, true) => {
                if let Some(process) = &mut self.nodes[node].process {
                    process.leaving = true;
                    process.holder.leave();
                }
                self.turn(node);
            }
            (What::Leave { node }, false) => {
                self.kill(node);
                self.start_if_gone(node);
            }
            (What::Leader | What::Keepers, true) => self.keepers.lose(&mut self.chance),
            (What::Leader | What::Keepers, false) => self.keepers.elect(),
            (What::Loss(chance), begins) => self.loss = if begins { chance } else { 0.0 },
            (What::Herd(part), begins) => {
                for node in 0..self.script.nodes * part / 100 {
                    if begins {
                        self.kill(node);
                    } else {
                        self.start_if_gone(node);
                    }
                }
            }
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].process = None;
        self.nodes[at].life += 1;
    }

    fn start_if_gone(&mut self, at: usize) {
        if self.nodes[at].process.is_none() {
            self.start(at);
        }
    }
}
