//! The fleet simulation: it is deterministic, the policy keeps the invariants under faults, and schedulers that violate an
//! invariant are detected.

use lynxtally::{
    Action, Downstream, Effect, Event, Instant, Policy, RequestClass, RequestId, Settings, Span,
};
use lynxtally_engine::Scheduler;
use lynxtally_simulator::cores::MachineModel;
use lynxtally_simulator::dependency::DependencyModel;
use lynxtally_simulator::event_queue::EventQueue;
use lynxtally_simulator::outcome::Outcome;
use lynxtally_simulator::scenario::{
    unconstrained_settings, BoxedScheduler, ClassLoad, Fault, FaultStep, Scenario,
};
use lynxtally_simulator::sidecar::{LoadBalancing, RetryPolicy};
use lynxtally_simulator::violations::Violation;
use lynxtally_simulator::work_distribution::WorkDistribution;
use lynxtally_simulator::world::World;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

fn class(utility: f64, effect: Effect) -> ClassLoad {
    let settings = RequestClass {
        utility,
        late_utility_fraction: 0.0,
        latency_objective: Span::from_millis(300),
        deadline: Span::from_millis(1000),
        effect,
        deduplication_window: Span::ZERO,
        calls_downstream: false,
        degraded_utility_fraction: 0.0,
    };
    ClassLoad {
        class: settings,
        share: 1.0,
        mean_work: 0.02,
        distribution: WorkDistribution::Exponential,
        mean_call_work: 0.0,
    }
}

fn scenario(nodes: usize, load: f64) -> Scenario {
    let classes = vec![class(1.0, Effect::Idempotent), class(5.0, Effect::NonIdempotent)];
    Scenario {
        nodes,
        machine: MachineModel {
            cores: 2,
            crowding_threshold: 4.0,
            crowding_slope: 0.05,
            cold_speed: 0.2,
            warmup_time: Span::from_millis(2000),
        },
        settings: Settings {
            memory_kb: 1e5,
            running_memory_factor: 2.0,
            idempotency_key_kb: 1.0,
            cold_capacity_fraction: 0.2,
            warmup_time: Span::from_millis(2000),
            max_running_per_core: 10.0,
            drain_grace: Span::from_millis(400),
            capacity_ttl: Span::from_millis(1000),
            ..unconstrained_settings(2, classes.iter().map(|load| load.class.clone()).collect(), nodes, 4)
        },
        classes,
        load,
        duration: Span::from_secs(8.0),
        warm_up: Span::from_secs(1.0),
        sidecars: 4,
        balancing: LoadBalancing::TwoChoices,
        retry_policy: RetryPolicy::Budgeted { max_attempts: 3, successes_per_retry: 5 },
        outliers: None,
        mean_link_delay: Span::from_millis(1),
        dependency: None,
        faults: vec![
            FaultStep { at: Span::from_secs(2.0), first_node: 0, node_count: 1, fault: Fault::Crash },
            FaultStep { at: Span::from_secs(3.0), first_node: 0, node_count: 1, fault: Fault::Restart },
            FaultStep { at: Span::from_secs(4.0), first_node: 1, node_count: 1, fault: Fault::Slow(0.3) },
            FaultStep {
                at: Span::from_secs(5.0),
                first_node: 2,
                node_count: 1,
                fault: Fault::Drain(Span::from_millis(1500)),
            },
            FaultStep { at: Span::from_secs(5.5), first_node: 1, node_count: 1, fault: Fault::Slow(1.0) },
        ],
    }
}

fn policy(settings: &Settings, seed: u64, now: Instant) -> BoxedScheduler {
    Box::new(Policy::new(settings.clone(), seed, now))
}

fn run(scenario: &Scenario, make: &dyn Fn(&Settings, u64, Instant) -> BoxedScheduler, seed: u64) -> Outcome {
    World::new(scenario, make, seed).run().0
}

#[test]
fn the_same_seed_gives_the_same_outcome_and_all_invariants_hold_under_faults() {
    for load in [0.6, 1.5] {
        let scenario = scenario(4, load);
        let outcome = run(&scenario, &policy, 7);
        assert_eq!(outcome, run(&scenario, &policy, 7));
        assert_eq!(outcome.violations.records, [], "load {load}");
        assert_ne!(outcome.events, run(&scenario, &policy, 8).events);
        assert!(outcome.utility_ratio() > 0.5 && outcome.requests > 500, "{outcome:?}");
    }
    let other = std::thread::spawn(|| run(&scenario(4, 1.5), &policy, 7))
        .join()
        .expect("the simulation thread doesn't panic");
    assert_eq!(other, run(&scenario(4, 1.5), &policy, 7), "the outcome differs on another thread");
}

#[test]
fn a_request_is_explained_from_its_creation_on() {
    let scenario = scenario(4, 1.5);
    let (_, lines) = World::new(&scenario, &policy, 7).explain(100).run();
    assert!(
        lines.len() >= 3 && lines[0].contains("created") && lines[1].contains("sent to node"),
        "{lines:?}"
    );
}

/// The policy with a defect that violates one invariant.
struct FaultyScheduler {
    inner: Policy,
    violation: Violation,
    decisions: u32,
    held_back: BTreeMap<RequestId, ()>,
}

impl Scheduler for FaultyScheduler {
    fn handle(&mut self, now: Instant, event: Event) {
        if let (Violation::StartedAfterGrace, Event::Drain(_)) = (self.violation, &event) {
            return; // The policy never learns of the shutdown.
        }
        if let (Violation::NodeOverloaded, Event::Arrived(arrival)) = (self.violation, &event) {
            self.held_back.insert(arrival.request, ());
            return;
        }
        if let (Violation::NodeOverloaded, Event::RunEnded(..) | Event::CallerGone(_)) =
            (self.violation, &event)
        {
            return;
        }
        self.inner.handle(now, event);
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let from = actions.len();
        self.inner.decide(now, actions);
        match self.violation {
            Violation::ResponseLost => {
                // Drops one rejection or failure in a hundred, so that the caller gets no response.
                let mut n = from;
                while n < actions.len() {
                    if matches!(actions[n], Action::Reject { .. } | Action::Fail(_)) {
                        self.decisions += 1;
                        if self.decisions.is_multiple_of(100) {
                            actions.remove(n);
                            continue;
                        }
                    }
                    n += 1;
                }
            }
            Violation::ExecutedTwice => {
                // Rejects one started request in twenty, so that its sidecar retries it elsewhere while it still runs here.
                for n in from..actions.len() {
                    if let Action::Start(request) = actions[n] {
                        self.decisions += 1;
                        if self.decisions.is_multiple_of(20) {
                            let rejection =
                                Action::Reject { request, retry_after: Span::ZERO, no_retry: false };
                            actions.push(rejection);
                        }
                    }
                }
            }
            Violation::NodeOverloaded => {
                let all = std::mem::take(&mut self.held_back);
                actions.extend(all.into_keys().map(Action::Start));
            }
            Violation::StartedAfterGrace | Violation::DependencyOverloaded => {}
        }
    }
}

/// The defects: losing responses, executing requests twice, ignoring a shutdown, and starting every request on arrival.
#[test]
fn a_scheduler_that_violates_an_invariant_is_detected_in_one_simulation() {
    for violation in [
        Violation::ResponseLost,
        Violation::ExecutedTwice,
        Violation::StartedAfterGrace,
        Violation::NodeOverloaded,
    ] {
        let make = move |settings: &Settings, seed, now| -> BoxedScheduler {
            let inner = Policy::new(settings.clone(), seed, now);
            Box::new(FaultyScheduler { inner, violation, decisions: 0, held_back: BTreeMap::new() })
        };
        let outcome = run(&scenario(4, 2.0), &make, 3);
        assert!(
            outcome.violations.has(violation),
            "not detected: {violation}; recorded: {:?}",
            outcome.violations
        );
    }
}

/// An overloaded fleet that shares one dependency. All nodes start at once while the dependency is slow, and a release
/// restarts half of them while it is even slower.
fn fleet_with_shared_dependency(nodes: usize) -> Scenario {
    let averaging_window = Span::from_millis(5000);
    let downstream = Downstream::Shared {
        concurrent_calls: 0.4,
        averaging_window,
        cancellation_lag: Span::from_millis(200),
    };
    let mut scenario = scenario(nodes, 1.1);
    for load in &mut scenario.classes {
        (load.mean_work, load.mean_call_work) = (0.2, 0.005);
        (load.class.latency_objective, load.class.deadline) =
            (Span::from_millis(2000), Span::from_millis(5000));
        (load.class.calls_downstream, load.class.effect) = (true, Effect::Idempotent);
    }
    scenario.settings.classes = scenario.classes.iter().map(|load| load.class.clone()).collect();
    scenario.settings.downstream = downstream;
    scenario.dependency = Some(DependencyModel {
        slots: nodes as f64 * 0.08,
        crowding_slope: 0.3,
        max_mean_calls: nodes as f64 * 0.4,
        averaging_window,
        cancellation_lag: Span::from_millis(200),
    });
    scenario.sidecars = nodes / 2;
    scenario.duration = Span::from_secs(13.0);
    let step = |at_seconds, node_count, fault| FaultStep {
        at: Span::from_secs(at_seconds),
        first_node: 0,
        node_count,
        fault,
    };
    scenario.faults = vec![
        step(0.0, 0, Fault::SlowDependency(0.05)),
        step(2.0, 0, Fault::SlowDependency(1.0)),
        step(5.0, nodes / 2, Fault::Drain(Span::from_millis(1500))),
        step(5.5, 0, Fault::SlowDependency(0.01)),
        step(6.6, nodes / 2, Fault::Restart),
        step(11.0, 0, Fault::SlowDependency(1.0)),
    ];
    scenario
}

#[test]
fn nodes_that_act_in_unison_never_exceed_the_call_limit_of_the_dependency() {
    let outcome = run(&fleet_with_shared_dependency(350), &policy, 5);
    assert_eq!(outcome.violations.records, []);
    assert!(
        outcome.peak_dependency_load > 0.3,
        "the dependency was barely loaded: {}",
        outcome.peak_dependency_load
    );
    assert!(outcome.utility_ratio() > 0.2, "too little utility was earned: {}", outcome.utility_ratio());
    // Each node exceeds its own limit by 80 percent. One such node would do no harm; all together overload the dependency.
    let exceeding = |settings: &Settings, seed, now| -> BoxedScheduler {
        let mut settings = settings.clone();
        if let Downstream::Shared { concurrent_calls: calls, .. } = &mut settings.downstream {
            *calls *= 1.8;
        }
        Box::new(Policy::new(settings, seed, now))
    };
    let outcome = run(&fleet_with_shared_dependency(350), &exceeding, 5);
    assert!(outcome.violations.has(Violation::DependencyOverloaded), "{}", outcome.peak_dependency_load);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// The event queue pops the same events as a binary heap, and events due at the same instant in the order of pushing.
    #[test]
    fn the_event_queue_pops_like_a_binary_heap_with_stable_order(
        steps in proptest::collection::vec((any::<bool>(), 0..5000_u64), 1..400)
    ) {
        let (mut queue, mut heap, mut number, mut now) = (EventQueue::default(), BinaryHeap::new(), 0_u32, 0);
        for (push, wait) in steps {
            if push || heap.is_empty() {
                let at = now + if wait % 7 == 0 { 0 } else { wait };
                queue.push(at, number);
                heap.push(Reverse((at, number)));
                number += 1;
            } else {
                let expected = heap.pop().map(|Reverse(next)| next);
                let got = queue.pop();
                prop_assert_eq!(got, expected);
                now = got.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(queue.len(), heap.len());
        }
    }
}
