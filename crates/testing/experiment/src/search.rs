//! The search for the scenario on which the module loses most against the best of the others: hill climbing with restarts
//! over loads, habits and scripts of faults, then cut down to what matters. Where service stays down though the trouble is
//! over, it says so.

use crate::spec::{Cell, Script, Spec, StepSpec};
use crate::stats::interval;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Mutex, PoisonError};

/// A scenario that was found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Load, over what all cores can do.
    pub load: f64,
    /// How sidecars choose.
    pub habit: String,
    /// Good answers that pay for a further try; 0 where tries are without limit.
    pub price: u32,
    /// The script.
    pub steps: Vec<StepSpec>,
    /// The module's service.
    pub service: f64,
    /// The best other, and its service.
    pub best: (String, f64),
    /// The module's service in the last fifth over that before the trouble, where there was trouble and it was over.
    pub after: Option<f64>,
}

impl Found {
    /// How much the module loses.
    pub fn loss(&self) -> f64 {
        self.best.1 - self.service
    }

    /// Whether service stays down though the trouble is over.
    pub fn metastable(&self) -> bool {
        self.after.is_some_and(|after| after < METASTABLE)
    }
}

/// Service under this part of what it was counts as down.
const METASTABLE: f64 = 0.7;
/// A part of the loss that may go when a script is cut down.
const CUT: f64 = 0.1;
const STEPS_MOST: usize = 4;
const KINDS: [&str; 4] = ["crash", "slow", "leave", "deaf"];

#[derive(Clone, Debug)]
struct Point {
    load: f64,
    habit: usize,
    price: u32,
    /// Troubles, each over after a while.
    troubles: Vec<Trouble>,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    at: f64,
    lasts: f64,
    from: f64,
    part: f64,
    kind: usize,
    slow: f64,
}

const HABITS: [&str; 4] = ["two", "round-robin", "random", "least"];
const PRICES: [u32; 3] = [5, 20, 0];

impl Trouble {
    fn draw(spec: &Spec, chance: &mut Pcg64Mcg) -> Self {
        let room = spec.duration_s - spec.warm_up_s;
        Self {
            at: spec.warm_up_s + room * chance.random_range(0.05..0.45),
            lasts: room * chance.random_range(0.05..0.3),
            from: chance.random_range(0.0..0.6),
            part: chance.random_range(0.1..0.6),
            kind: chance.random_range(0..KINDS.len()),
            slow: chance.random_range(0.05..0.7),
        }
    }

    fn steps(&self) -> Vec<StepSpec> {
        let step = |at_s: f64, what: &str, value: f64| StepSpec {
            at_s,
            node_fraction: self.part,
            from_fraction: self.from,
            fault: what.to_owned(),
            value,
        };
        let over = self.at + self.lasts;
        match KINDS[self.kind] {
            "crash" => vec![step(self.at, "crash", 0.0), step(over, "restart", 0.0)],
            "slow" => vec![step(self.at, "slow", self.slow), step(over, "slow", 1.0)],
            "leave" => vec![step(self.at, "leave", self.lasts / 2.0), step(over, "restart", 0.0)],
            _ => vec![step(self.at, "deaf", 0.0), step(over, "mended", 0.0)],
        }
    }
}

impl Point {
    fn draw(spec: &Spec, chance: &mut Pcg64Mcg) -> Self {
        let (low, high) = range(spec);
        let count = chance.random_range(0..=2);
        Self {
            load: chance.random_range(low..=high),
            habit: chance.random_range(0..HABITS.len()),
            price: PRICES[chance.random_range(0..PRICES.len())],
            troubles: (0..count).map(|_| Trouble::draw(spec, chance)).collect(),
        }
    }

    fn neighbour(&self, spec: &Spec, chance: &mut Pcg64Mcg) -> Self {
        let mut next = self.clone();
        let (low, high) = range(spec);
        match chance.random_range(0..6) {
            0 | 1 => next.load = (next.load * chance.random_range(0.8..1.25)).clamp(low, high),
            2 => next.habit = chance.random_range(0..HABITS.len()),
            3 => next.price = PRICES[chance.random_range(0..PRICES.len())],
            4 if next.troubles.len() < STEPS_MOST => next.troubles.push(Trouble::draw(spec, chance)),
            _ if !next.troubles.is_empty() => {
                let at = chance.random_range(0..next.troubles.len());
                next.troubles[at] = Trouble::draw(spec, chance);
            }
            _ => next.troubles.push(Trouble::draw(spec, chance)),
        }
        next
    }

    fn judge(&self, spec: &Spec) -> Found {
        let mut own = spec.clone();
        own.balancing = HABITS[self.habit].to_owned();
        own.successes_per_retry = self.price;
        let steps: Vec<StepSpec> = self.troubles.iter().flat_map(Trouble::steps).collect();
        own.scripts = vec![Script { name: "found".to_owned(), steps: steps.clone() }];
        let run = |policy: &str, seed: u64| {
            let (policy, script) = (policy.to_owned(), "found".to_owned());
            crate::run(&own, &Cell { policy, nodes: spec.nodes[0], load: self.load, script, seed })
        };
        let of = |policy: &str| {
            let services: Vec<f64> = spec.seeds.iter().map(|seed| run(policy, *seed).service).collect();
            services.iter().sum::<f64>() / services.len() as f64
        };
        let records: Vec<_> = spec.seeds.iter().map(|seed| run(&spec.policies[0], *seed)).collect();
        let service = records.iter().map(|record| record.service).sum::<f64>() / records.len() as f64;
        let best = spec.policies[1..].iter().map(|policy| (policy.clone(), of(policy)));
        let best = best.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_else(|| ("none".to_owned(), 0.0));
        let begins = self.troubles.iter().map(|trouble| trouble.at).fold(f64::INFINITY, f64::min);
        let ends = self.troubles.iter().map(|trouble| trouble.at + trouble.lasts).fold(0.0, f64::max);
        let mean = |from: f64, to: f64| {
            let seconds = (from.ceil() as usize)..(to.floor().max(0.0) as usize);
            let all: Vec<f64> = records
                .iter()
                .flat_map(|record| record.service_by_second.get(seconds.clone()).unwrap_or(&[]).to_vec())
                .collect();
            (!all.is_empty()).then(|| interval(&all).mean)
        };
        let last = spec.duration_s - (spec.duration_s - spec.warm_up_s) / 5.0;
        let before = mean(spec.warm_up_s, begins.min(spec.duration_s));
        let after = before.zip(mean(last, spec.duration_s)).map(|(before, after)| after / before.max(1e-9));
        let after = after.filter(|_| ends > 0.0 && ends < last);
        Found {
            load: self.load,
            habit: own.balancing.clone(),
            price: self.price,
            steps,
            service,
            best,
            after,
        }
    }
}

fn range(spec: &Spec) -> (f64, f64) {
    let low = spec.loads.iter().copied().fold(f64::INFINITY, f64::min);
    let high = spec.loads.iter().copied().fold(0.0, f64::max);
    (low, high)
}

/// Climbs from so many starts, in so many steps each; the same seed finds the same. `each` hears of every start's best.
pub fn search(
    spec: &Spec,
    starts: usize,
    steps: usize,
    seed: u64,
    threads: usize,
    each: impl Fn(&Found) + Sync,
) -> Vec<Found> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let found: Vec<Mutex<Option<Found>>> = (0..starts).map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let start = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(slot) = found.get(start) else { return };
                let best = climb(spec, steps, seed.wrapping_add(start as u64));
                each(&best);
                *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(best);
            });
        }
    });
    let slots = found.into_iter().map(|slot| slot.into_inner().unwrap_or_else(PoisonError::into_inner));
    let mut all: Vec<Found> = slots.flatten().collect();
    all.sort_by(|a, b| b.loss().total_cmp(&a.loss()));
    all
}

fn climb(spec: &Spec, steps: usize, seed: u64) -> Found {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut point = Point::draw(spec, &mut chance);
    let mut best = point.judge(spec);
    for _ in 0..steps {
        let other = point.neighbour(spec, &mut chance);
        let judged = other.judge(spec);
        if judged.loss() > best.loss() {
            (point, best) = (other, judged);
        }
    }
    // What can go without most of the loss going with it, goes.
    let mut at = 0;
    while at < point.troubles.len() {
        let mut other = point.clone();
        other.troubles.remove(at);
        let judged = other.judge(spec);
        if judged.loss() >= best.loss() * (1.0 - CUT) {
            (point, best) = (other, judged);
        } else {
            at += 1;
        }
    }
    best
}
