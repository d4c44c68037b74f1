//! Compatibility with a log that an older version of the program wrote, before its types were renamed, and with the
//! snapshot of the resulting state.
//!
//! While a fleet of coordinators is upgraded, replicas of two versions run side by side and compare digests of their
//! serialized state; a replica whose digest differs stops. Each entry therefore has to decode and encode to the same
//! bytes, each output and the digest after each entry have to be the same, and so do the texts in stored responses.

use lynxtally::Instant;
use lynxtally_coordination::schemas::{check_compatibility, read, render, SchemaError};
use lynxtally_coordination::*;
use lynxtally_messages::Fields;
use serde_json::{json, Value};

fn fixture(file: &str) -> String {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the fixture should exist")
}

/// The entries of the log with their positions. Each line of the fixture is one entry; the first has the index 1.
fn stored_log() -> Vec<(LogPosition, TimestampedCommand)> {
    let (terms, entries) = (fixture("terms.txt"), fixture("log.jsonl"));
    let terms_and_entries = terms.lines().zip(entries.lines());
    terms_and_entries
        .zip(1..)
        .map(|((term, entry), index)| {
            let position = LogPosition { index, term: term.parse().expect("a line should be a term") };
            (position, serde_json::from_str(entry).expect("a line should be an entry"))
        })
        .collect()
}

#[test]
fn log_entries_keep_their_encoding() {
    let stored = fixture("log.jsonl");
    assert_eq!(stored.lines().count(), stored_log().len());
    for ((_, entry), line) in stored_log().iter().zip(stored.lines()) {
        assert_eq!(serde_json::to_string(entry).expect("an entry should encode"), line);
    }
    // The fixture has at least one entry of each kind and at least one admin request of each kind.
    for kind in [
        "\"blank\"",
        "{\"tick\":",
        "{\"say\":",
        "{\"order\":",
        "{\"suspect\":",
        "\"mark\"",
        "{\"compare\":",
        "{\"budget\":",
        "{\"wallet\":",
        "{\"top_up\":",
        "{\"correct\":",
        "{\"schema\":",
        "{\"document\":",
        "{\"over\":",
    ] {
        assert!(stored.contains(kind), "{kind}");
    }
}

#[test]
fn the_same_log_leads_to_the_same_outputs_digests_and_snapshot() {
    let mut state = CoordinationState::default();
    let (outputs, digests) = (fixture("answers.jsonl"), fixture("digests.txt"));
    for (((position, entry), expected), digest) in
        stored_log().iter().zip(outputs.lines()).zip(digests.lines())
    {
        let output = state.apply(*position, entry);
        let encoded = serde_json::to_string(&output).expect("an output should encode");
        assert_eq!(encoded, expected, "at index {}", position.index);
        assert_eq!(state.digest().to_string(), digest, "at index {}", position.index);
    }
    let snapshot = String::from_utf8(state.snapshot()).expect("a snapshot should be UTF-8");
    assert_eq!(snapshot, fixture("snapshot.json"));
}

#[test]
fn a_stored_snapshot_keeps_its_encoding_and_its_state_continues_like_the_replayed_one() {
    let stored = fixture("snapshot.json");
    let mut restored =
        CoordinationState::restore(stored.as_bytes()).expect("the stored snapshot should be valid");
    assert_eq!(String::from_utf8(restored.snapshot()).expect("a snapshot should be UTF-8"), stored);
    let mut replayed = CoordinationState::default();
    stored_log().iter().for_each(|(position, entry)| drop(replayed.apply(*position, entry)));
    let term = stored_log().last().expect("the log should have entries").0.term;
    for index in restored.applied_index() + 1..restored.applied_index() + 20 {
        let leader_clock = Instant::from_micros(905_000_000 + index * 400_000);
        let entry = TimestampedCommand {
            term,
            leader_clock,
            command: Command::Tick { acknowledged_indexes: [(3, index)].into() },
        };
        let position = LogPosition { index, term };
        assert_eq!(restored.apply(position, &entry), replayed.apply(position, &entry));
        assert_eq!(restored.digest(), replayed.digest());
    }
}

#[test]
fn outputs_keep_their_encoding() {
    for line in fixture("answers.jsonl").lines() {
        let output: Output = serde_json::from_str(line).expect("a line should be an output");
        assert_eq!(serde_json::to_string(&output).expect("an output should encode"), line);
    }
}

/// A result in the form in which the fixture has it.
fn result_as_json(result: Result<Value, impl ToString>) -> Value {
    match result {
        Ok(document) => json!({ "document": document }),
        Err(error) => json!({ "error": error.to_string() }),
    }
}

#[test]
fn compatibility_results_and_document_errors_keep_their_texts() {
    let cases = fixture("schema_rules.jsonl");
    assert_eq!(cases.lines().count(), 33);
    for line in cases.lines() {
        let case: Value = serde_json::from_str(line).expect("a line should be JSON");
        let fields = |key: &str| -> Fields {
            serde_json::from_value(case[key].clone()).expect("the case should have the fields of a schema")
        };
        let (newer, older, document) = (fields("newer"), fields("older"), &case["document"]);
        let compatibility = check_compatibility(&newer, &older);
        assert_eq!(json!(compatibility.rendered), case["rendered"], "{line}");
        assert_eq!(json!(compatibility.conflicts), case["reasons"], "{line}");
        assert_eq!(result_as_json(read(&newer, document)), case["read"], "{line}");
        assert_eq!(result_as_json(render(&newer, &older, document)), case["down"], "{line}");
    }
}

#[test]
fn errors_that_do_not_occur_in_the_stored_log_keep_their_texts() {
    let texts = [
        (
            AdminError::KeyTooOld { observed_index: 3, evicted_index: 9 },
            "`id.seen` is 3; orders up to 9 are forgotten, draw it up anew with the present number",
        ),
        (
            AdminError::TooManyBudgets { budget: "calls".into() },
            "`what.budget.name` calls: there are 1024 budgets already",
        ),
        (
            AdminError::TooManyWallets { wallet: "acme".into() },
            "`what.wallet.name` acme: there are 65536 wallets already",
        ),
        (AdminError::Schema(SchemaError::TooManyVersions), "`what.schema`: 64 versions may still be read"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
