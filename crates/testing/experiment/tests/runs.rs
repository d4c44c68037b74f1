//! A small experiment, from its declaration to its reports, and the search for bad scenarios.

use lynxtally_experiment::spec::Spec;
use lynxtally_experiment::{report, run_all, search};
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};

fn declared() -> serde_json::Value {
    json!({
        "name": "small", "nodes": [3], "loads": [0.8, 1.8], "seeds": [1, 2, 3], "policies": ["module", "pool"],
        "lasts_s": 4.0, "warm_up_s": 1.0,
        "stages": [
            {"name": "cheap", "utility": 1, "due_ms": 200, "limit_ms": 600, "share": 0.8, "work_ms": 10},
            {"name": "dear", "utility": 10, "due_ms": 400, "limit_ms": 900, "share": 0.2, "work_ms": 20, "spread": "pareto"},
        ],
        "scripts": [{"name": "crash", "steps": [{"at_s": 2, "part": 0.4, "what": "crash"}]}],
    })
}

fn spec(json: serde_json::Value) -> Spec {
    serde_json::from_value(json).expect("the declaration matches the schema of an experiment")
}

#[test]
fn results_do_not_depend_on_the_number_of_threads_and_finished_runs_are_not_repeated() {
    let spec = spec(declared());
    assert!(spec.check().is_ok());
    let one = run_all(&spec, &[], 1, |_| ());
    assert_eq!(one.len(), 24);
    assert_eq!(run_all(&spec, &[], 4, |_| ()), one);
    let new_runs = AtomicUsize::new(0);
    let resumed = run_all(&spec, &one[..20], 2, |_| {
        new_runs.fetch_add(1, Ordering::Relaxed);
    });
    assert_eq!((resumed, new_runs.into_inner()), (one.clone(), 4));
    assert!(one
        .iter()
        .filter(|record| record.cell.policy == "module")
        .all(|record| record.violations.is_empty()));
    let table = report::markdown_table(&spec, &one);
    assert!(table.contains("## crash") && table.contains("| 3 | 180 % |"), "{table}");
    assert_eq!(report::csv(&one).lines().count(), 25);
    assert!(report::summary(&spec, &one).starts_with("24 runs; module is better in "));
}

#[test]
fn errors_in_a_declaration_name_the_key() {
    for (key, value, message) in [
        ("policies", json!(["module", "magic"]), "`policies[1]` is \"magic\"; no policy has this name"),
        ("nodes", json!([0]), "`nodes[0]` is 0; 1 to 10000 is expected"),
        ("seeds", json!([]), "`seeds` is empty; at least one is expected"),
        ("habit", json!("odd"), "`habit` is \"odd\"; round-robin, random, least, two or hash is expected"),
        (
            "scripts",
            json!([{"name": "a", "steps": [{"at_s": 1, "part": 1, "what": "melt"}]}]),
            "`scripts[0].steps[0].what` is \"melt\"; no such fault is known",
        ),
    ] {
        let mut declared = declared();
        declared[key] = value;
        assert_eq!(spec(declared).check().map_err(|error| error.to_string()), Err(message.to_owned()));
    }
}

#[test]
fn the_search_is_deterministic_and_never_ends_below_its_starting_points() {
    let mut declared = declared();
    (declared["seeds"], declared["lasts_s"]) = (json!([1]), json!(3.0));
    let spec = spec(declared);
    let found = search::search(&spec, 3, 4, 9, 3, |_| ());
    let again = search::search(&spec, 3, 4, 9, 1, |_| ());
    let losses =
        |all: &[search::FoundScenario]| all.iter().map(search::FoundScenario::loss).collect::<Vec<_>>();
    assert_eq!(losses(&found), losses(&again));
    let starts = search::search(&spec, 3, 0, 9, 3, |_| ());
    assert!(found[0].loss() >= starts[0].loss() * 0.9 - 1e-9);
    assert!(found.windows(2).all(|pair| pair[0].loss() >= pair[1].loss()));
}
