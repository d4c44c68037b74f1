//! Tests of subsets, spillover and plans.

use lynxtally::Pcg;
use lynxtally_routes::plan::{ClassDemand, Plan, PlanError, Planner, Problem};
use lynxtally_routes::spillover::spillover;
use lynxtally_routes::subset::{apply_weights, subset, SubsetMember};
use proptest::prelude::*;

/// The total load of each member, in units of one proxy's load.
fn loads(proxies: usize, members: usize, min_members: usize) -> Vec<f64> {
    let mut loads = vec![0.0; members];
    for proxy in 0..proxies {
        for SubsetMember { member, fraction } in subset(proxy, proxies, members, min_members) {
            loads[member] += fraction;
        }
    }
    loads
}

/// Compares deterministic subsets with random subsets and with rendezvous hashing. Random and hashed subsets load some
/// members much more than others; deterministic subsets must not, and must change little when a proxy or member is added.
#[test]
fn subsets_are_balanced_unlike_random_and_hashed_ones_and_change_little() {
    let (proxies, members, min_members) = (300, 97, 10);
    let spread = |loads: &[f64]| {
        let highest = loads.iter().copied().fold(0.0, f64::max);
        let lowest = loads.iter().copied().fold(f64::MAX, f64::min);
        highest / lowest.max(1e-9)
    };
    assert!(spread(&loads(proxies, members, min_members)) < 1.000_001);
    let mut generator = Pcg::new(1);
    let (mut random, mut hashed) = (vec![0.0; members], vec![0.0; members]);
    for proxy in 0..proxies {
        for _ in 0..min_members {
            random[(generator.unit() * members as f64) as usize] += 0.1;
        }
        // Rendezvous hashing: the `min_members` members with the highest scores for this proxy.
        let score =
            |member: usize| ((proxy * 7919 + member * 104_729) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut ranked: Vec<usize> = (0..members).collect();
        ranked.sort_by_key(|member| std::cmp::Reverse(score(*member) ^ score(*member) >> 29));
        ranked[..min_members].iter().for_each(|member| hashed[*member] += 0.1);
    }
    assert!(spread(&random) > 1.3 && spread(&hashed) > 1.3, "{} {}", spread(&random), spread(&hashed));
    // The fraction of all requests that go to another member after a proxy or a member has been added.
    let moved = |from: (usize, usize), to: (usize, usize)| {
        let mut moved = 0.0;
        for proxy in 0..from.0.min(to.0) {
            let old = subset(proxy, from.0, from.1, min_members);
            let new = subset(proxy, to.0, to.1, min_members);
            for entry in &old {
                let kept = new.iter().find(|other| other.member == entry.member);
                moved += (entry.fraction - kept.map_or(0.0, |kept| kept.fraction)).max(0.0);
            }
        }
        moved / from.0 as f64
    };
    assert!(moved((300, 97), (301, 97)) < 0.03, "{}", moved((300, 97), (301, 97)));
    assert!(moved((300, 97), (300, 98)) < 0.08, "{}", moved((300, 97), (300, 98)));
    let entries = apply_weights(&subset(0, 4, 8, 4), &[1.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
    assert!(
        (entries.iter().map(|entry| entry.fraction).sum::<f64>() - 1.0).abs() < 1e-9
            && entries[1].fraction > entries[0].fraction * 2.9
    );
}

/// A zone must serve its own demand up to its capacity, and send the rest to other zones by their spare capacity. If there
/// is none, and also for a zone without members, all demand must still be distributed.
#[test]
fn a_zone_keeps_its_requests_up_to_its_capacity_and_the_rest_spills_by_spare_capacity() {
    let fractions = spillover(&[50.0, 50.0, 0.0], &[100.0, 100.0, 100.0]);
    assert_eq!((fractions[0][0], fractions[1][1], fractions[2][2]), (1.0, 1.0, 1.0));
    let fractions = spillover(&[170.0, 10.0, 10.0], &[100.0, 100.0, 50.0]);
    assert!(
        (fractions[0][0] - 0.5).abs() < 1e-9 && fractions[0][1] > fractions[0][2] && fractions[1][1] == 1.0,
        "{fractions:?}"
    );
    // No zone has spare capacity: all demand is distributed nevertheless.
    let fractions = spillover(&[400.0, 400.0], &[100.0, 100.0]);
    assert!(fractions.iter().all(|row| (row.iter().sum::<f64>() - 1.0).abs() < 1e-9));
    let fractions = spillover(&[100.0, 0.0], &[0.0, 100.0]);
    assert!((fractions[0][1] - 1.0).abs() < 1e-9, "zone without members: {fractions:?}");
}

fn class(utility: f64, demand: f64, core_seconds: &[f64]) -> ClassDemand {
    ClassDemand { utility, demand, core_seconds: core_seconds.to_vec(), calls: vec![1.0], reserved: 0.0 }
}

/// Each of two pools is much faster at one of two classes. A plan must earn more than a distribution by capacity, and
/// serve the class with the higher utility first.
#[test]
fn a_plan_earns_more_than_a_distribution_by_capacity_if_costs_differ_between_pools() {
    // The pool capacity suffices for about half of the demand.
    let problem = Problem {
        classes: vec![class(1.0, 1000.0, &[0.01, 0.04]), class(5.0, 300.0, &[0.08, 0.02])],
        pool_cores: vec![6.0, 5.0],
        dependency_rates: vec![700.0],
    };
    let (plan, by_capacity) = (problem.solve().expect("a plan"), problem.proportional());
    assert!(plan.utility > by_capacity.utility * 1.5, "{} {}", plan.utility, by_capacity.utility);
    assert_within_capacity(&problem, &plan);
    assert_within_capacity(&problem, &by_capacity);
    assert!(plan.pool_fractions(1).expect("class 1 is served")[1] > 0.8, "{plan:?}");
    let admitted = plan.admitted_fraction(&problem, 1);
    assert!(
        (0.85..=1.0).contains(&admitted) && plan.admitted_fraction(&problem, 0) < 0.5,
        "{admitted} {plan:?}"
    );
}

/// Asserts that a plan exceeds no capacity of a pool or dependency.
fn assert_within_capacity(problem: &Problem, plan: &Plan) {
    for (pool, cores) in problem.pool_cores.iter().enumerate() {
        let used: f64 = problem
            .classes
            .iter()
            .zip(&plan.rates)
            .map(|(class, rates)| class.core_seconds[pool] * rates[pool])
            .sum();
        assert!(used <= cores * 1.000_001 + 1e-6, "pool {pool}: {used} of {cores}");
    }
    for (dependency, calls) in problem.dependency_rates.iter().enumerate() {
        let used = problem
            .classes
            .iter()
            .zip(&plan.rates)
            .map(|(class, rates)| class.calls[dependency] * rates.iter().sum::<f64>());
        assert!(used.sum::<f64>() <= calls * 1.000_001 + 1e-6);
    }
}

/// A pool loses its capacity, and then its capacity is not a number; neither problem has a plan. The last good plan must
/// stay in force and the error must be reported, unless the numbers of classes and pools have changed.
#[test]
fn a_problem_without_a_plan_leaves_the_last_good_plan_in_force_and_reports_the_error() {
    let mut problem = Problem {
        classes: vec![class(1.0, 100.0, &[0.01]), class(5.0, 100.0, &[0.02])],
        pool_cores: vec![2.0],
        dependency_rates: vec![1000.0],
    };
    problem.classes[0].reserved = 30.0;
    let mut planner = Planner::default();
    let good = planner.update(&problem).clone();
    assert!(
        planner.last_error.is_none() && good.rates[0][0] >= 30.0 - 1e-6,
        "the reserved rate is served: {good:?}"
    );
    let mut unsolvable = problem.clone();
    unsolvable.pool_cores = vec![0.1];
    assert_eq!(planner.update(&unsolvable), &good);
    assert_eq!(planner.last_error, Some(PlanError::Infeasible));
    unsolvable.pool_cores = vec![f64::NAN];
    assert_eq!(planner.update(&unsolvable), &good);
    assert_eq!(planner.last_error, Some(PlanError::InvalidCapacity));
    // The last plan does not fit a problem with fewer classes.
    unsolvable = problem.clone();
    unsolvable.classes.pop();
    (unsolvable.pool_cores, unsolvable.classes[0].reserved) = (vec![0.1], 60.0);
    assert_eq!(planner.update(&unsolvable).rates.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any numbers of proxies and members: the fractions of each proxy add up to 1, each subset has the minimum size,
    /// and all members get the same load.
    #[test]
    fn subsets_are_complete_and_balanced(
        proxies in 1..60_usize,
        members in 1..60_usize,
        min_members in 0..70_usize,
    ) {
        for proxy in 0..proxies {
            let entries = subset(proxy, proxies, members, min_members);
            prop_assert!((entries.iter().map(|entry| entry.fraction).sum::<f64>() - 1.0).abs() < 1e-6);
            prop_assert!(entries.len() >= min_members.min(members));
        }
        let loads = loads(proxies, members, min_members);
        let mean = proxies as f64 / members as f64;
        // This also holds if each arc covers the whole ring, so that each proxy uses all members equally.
        prop_assert!(loads.iter().all(|load| (load - mean).abs() < mean * 1e-6), "{:?}", loads);
    }

    /// For any demand: the fractions of each zone add up to 1, and no zone is overloaded while all demand fits within the
    /// usable capacity, which is 0.85 of each zone's capacity.
    #[test]
    fn spillover_is_complete_and_overloads_no_zone_while_others_have_spare_capacity(
        demand in proptest::collection::vec(0.0..200.0_f64, 4),
        capacity in proptest::collection::vec(1.0..200.0_f64, 4),
    ) {
        let fractions = spillover(&demand, &capacity);
        let total_demand: f64 = demand.iter().sum();
        let usable_capacity: f64 = capacity.iter().sum::<f64>() * 0.85;
        for (to, zone_capacity) in capacity.iter().enumerate() {
            let load: f64 = demand.iter().enumerate().map(|(from, demand)| demand * fractions[from][to]).sum();
            prop_assert!(
                total_demand > usable_capacity || load <= zone_capacity * 0.85 + 1e-6,
                "zone {to}: {load} of {zone_capacity}"
            );
        }
        prop_assert!(fractions.iter().all(|row| (row.iter().sum::<f64>() - 1.0).abs() < 1e-6));
    }

    /// A plan exceeds no capacity, and its utility is no lower than that of a distribution by capacity.
    #[test]
    fn a_plan_exceeds_no_capacity_and_earns_no_less_than_a_distribution_by_capacity(
        class_values in proptest::collection::vec(
            (0.1..10.0_f64, 0.0..500.0_f64, 0.001..0.1_f64, 0.001..0.1_f64),
            1..6,
        ),
        cores in (0.5..20.0_f64, 0.5..20.0_f64),
    ) {
        let classes = class_values.iter().map(|(utility, demand, a, b)| class(*utility, *demand, &[*a, *b])).collect();
        let problem = Problem { classes, pool_cores: vec![cores.0, cores.1], dependency_rates: vec![400.0] };
        let (plan, by_capacity) = (problem.solve().expect("a plan"), problem.proportional());
        assert_within_capacity(&problem, &plan);
        prop_assert!(plan.utility >= by_capacity.utility * 0.999_999);
    }
}
