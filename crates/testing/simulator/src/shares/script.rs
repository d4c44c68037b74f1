//! What a run is made of. All of it is drawn from one seed.

use lynxtally::Pcg;
use lynxtally_messages::{BudgetKind, BudgetTerms};

/// How need is spread over the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Alike.
    Even,
    /// A tenth of the nodes has half of it.
    Skewed,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// Messages of a node get lost: those it sends, those it is sent, or both.
    Cut {
        /// Which.
        node: usize,
        /// Those it sends.
        sent: bool,
        /// Those it is sent.
        told: bool,
    },
    /// A node's processes stand still.
    Stop {
        /// Which.
        node: usize,
    },
    /// A node is killed, and another process of its name is started at the end.
    Kill {
        /// Which.
        node: usize,
    },
    /// A node leaves properly, and another process of its name is started at the end.
    Leave {
        /// Which.
        node: usize,
    },
    /// The leader is lost; another leads from the end on.
    Leader,
    /// All keepers are gone.
    Keepers,
    /// Any message may be lost, by this chance.
    Loss(f64),
    /// So many of a hundred nodes, from the first on, are killed at once and started again.
    Herd(usize),
}

/// Something that goes wrong for a while, in microseconds of real time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// From when.
    pub from: u64,
    /// Until when.
    pub until: u64,
    /// What.
    pub what: What,
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// What everything else is drawn from.
    pub seed: u64,
    /// So many nodes.
    pub nodes: usize,
    /// How long it lasts, in microseconds.
    pub lasts: u64,
    /// The budget.
    pub terms: BudgetTerms,
    /// Calls take this long in the mean, in microseconds; each a time of its own, exponential.
    pub call_us: u64,
    /// A call is given up after this, and lingers for as long as the next says.
    pub time_out_us: u64,
    /// A call that was given up stays below for so long.
    pub linger_us: u64,
    /// A task waits for a call for this long.
    pub waits_us: u64,
    /// Calls wanted at one moment, in the mean, as a share of the whole.
    pub load: f64,
    /// How it is spread.
    pub need: Need,
    /// How far two clocks really drift apart at most, in millionths.
    pub really_drift: u64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

const MS: u64 = 1000;

impl Script {
    /// A run in which nothing goes wrong.
    pub fn calm(seed: u64, nodes: usize, whole: u64, need: Need) -> Self {
        let terms = BudgetTerms {
            kind: BudgetKind::Concurrency,
            capacity: whole,
            min_per_node: 1,
            newcomer_reserve_permille: 30,
            lease_duration_us: 3000 * MS,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 100 * MS,
        };
        Self {
            seed,
            nodes,
            lasts: 40_000 * MS,
            terms,
            call_us: 200 * MS,
            time_out_us: 1000 * MS,
            linger_us: 200 * MS,
            waits_us: 500 * MS,
            load: 0.8,
            need,
            really_drift: 10_000,
            faults: Vec::new(),
        }
    }

    /// A run drawn whole from its seed: size, terms, load and faults, with three to so many nodes.
    pub fn draw(seed: u64, most: usize) -> Self {
        let mut chance = Pcg::new(seed);
        let mut upto = |most: u64| u64::from(chance.next_u32()) % most.max(1);
        let nodes = 3 + upto(most as u64 - 2) as usize;
        let whole = 1 + upto(nodes as u64 * 4);
        let need = if upto(2) == 0 { Need::Even } else { Need::Skewed };
        let mut script = Self::calm(seed, nodes, whole, need);
        script.terms.min_per_node = upto(3);
        script.terms.newcomer_reserve_permille = upto(300);
        script.terms.lease_duration_us = (300 + upto(3000)) * MS;
        script.terms.max_clock_drift_ppm = upto(50_000);
        script.really_drift = script.terms.max_clock_drift_ppm;
        script.terms.pause_margin_us = upto(200) * MS;
        script.load = 0.3 + upto(20) as f64 / 10.0;
        script.lasts = 20_000 * MS;
        // In a third of the runs calls take so long that most are given up.
        script.call_us = (20 + upto(600)) * MS * if upto(3) == 0 { 10 } else { 1 };
        script.linger_us = upto(500) * MS;
        for _ in 0..2 + upto(7 + nodes as u64 / 10) {
            let from = upto(script.lasts);
            let until = from + (20 + upto(5000)) * MS;
            let node = upto(nodes as u64) as usize;
            let what = match upto(10) {
                0 => What::Cut { node, sent: true, told: false },
                1 => What::Cut { node, sent: false, told: true },
                2 => What::Cut { node, sent: true, told: true },
                3 => What::Stop { node },
                4 => What::Kill { node },
                5 => What::Leave { node },
                6 => What::Leader,
                7 => What::Keepers,
                8 => What::Loss(upto(6) as f64 / 10.0),
                _ => What::Herd(upto(100) as usize),
            };
            script.faults.push(Fault { from, until, what });
        }
        script
    }
}
