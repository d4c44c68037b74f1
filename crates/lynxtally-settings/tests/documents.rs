//! Checks which setting each key of the settings object sets, and the text of each error.

use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
use serde_json::{json, Value};

/// A settings document that has every known key and one unknown key.
fn document() -> Value {
    json!({
        "lanes": [
            {"name": "a", "importance": 1.5, "late-worth": 0.25, "promise-ms": 900.5, "deadline-ms": 2000,
             "idempotency": "pure"},
            {"name": "b", "importance": 2, "promise-ms": 100, "deadline-ms": 300, "idempotency": "token",
             "dedup-window-ms": 5000},
            {"name": "c", "importance": 3, "promise-ms": 100, "deadline-ms": 300, "idempotency": "side_effect"}
        ],
        "orgs": [{"name": "acme", "quota-per-s": 12.5}],
        "specifics": {
            "below": "shared", "blowup": 4, "calls-out": 7, "calls-over-ms": 250, "class-calls": [true, false, true],
            "class-skip-worth": [0.5, 0, 0], "cold": true, "cores": 3, "gauges": ["cpu_busy", "sockets"],
            "heeded-ms": 400, "idle-ms": 60000, "kb-per-key": 0.5, "linger-ms": 80, "ram-kb": 9000,
            "say": "credit", "share-for-ms": 20, "stop-mode": "pause", "upstreams": 6
        },
        "rules": {"cold-share": 0.2, "drain-grace-ms": 1000, "fall-multiple": 6, "warm-after-ms": 9000},
        "allowed": {"max-retry-after-ms": 700, "retry-after": true},
        "over-share-worth": 0.3, "servers": 9, "tier": 2, "worth-by": "work", "unknown": 1
    })
}

fn class(utility: f64, latency_objective: Span, deadline: u64, effect: Effect) -> RequestClass {
    RequestClass {
        utility,
        late_utility_fraction: 0.0,
        latency_objective,
        deadline: Span::from_millis(deadline),
        effect,
        deduplication_window: Span::ZERO,
        calls_downstream: true,
        degraded_utility_fraction: 0.0,
    }
}

#[test]
fn every_key_reaches_its_setting() {
    let read = lynxtally_settings::read(document()).expect("the settings should be valid");
    let first = class(1.5, Span::from_micros(900_500), 2000, Effect::Idempotent);
    let second = class(2.0, Span::from_millis(100), 300, Effect::Deduplicated);
    let settings = Settings {
        cores: 3,
        memory_kb: 9000.0,
        running_memory_factor: 4.0,
        idempotency_key_kb: 0.5,
        cold_start: true,
        cold_capacity_fraction: 0.2,
        warmup_time: Span::from_millis(9000),
        max_running_per_core: 6.0,
        drain_grace: Span::from_millis(1000),
        classes: vec![
            RequestClass { late_utility_fraction: 0.25, degraded_utility_fraction: 0.5, ..first },
            RequestClass { deduplication_window: Span::from_millis(5000), calls_downstream: false, ..second },
            class(3.0, Span::from_millis(100), 300, Effect::NonIdempotent),
        ],
        tenant_quotas: vec![12.5],
        over_quota_utility_fraction: 0.3,
        utility_per_work: true,
        backends: 9,
        callers: 6,
        tier_depth: 2,
        downstream: Downstream::Shared {
            concurrent_calls: 7.0,
            averaging_window: Span::from_millis(250),
            cancellation_lag: Span::from_millis(80),
        },
        stoppable: true,
        capacity_format: CapacityFormat::Credits,
        capacity_ttl: Span::from_millis(400),
        client_idle_timeout: Span::from_millis(60_000),
        coalescing_window: Span::from_millis(20),
        max_retry_after: Span::from_millis(700),
    };
    assert_eq!(read.settings, settings);
    assert_eq!(read.class_names, ["a", "b", "c"]);
    assert_eq!(read.tenant_names, ["acme"]);
    assert_eq!(read.gauges, ["cpu_busy", "sockets"]);
    assert!(read.stop_keeps_progress);
}

#[test]
fn keys_left_out_have_their_defaults() {
    let read = lynxtally_settings::read(json!({
        "lanes": [{"name": "a", "importance": 1, "promise-ms": 900, "deadline-ms": 2000, "idempotency": "pure"}],
        "rules": {"cold-share": 0.2, "drain-grace-ms": 1000, "fall-multiple": 6, "warm-after-ms": 9000},
        "specifics": {"cores": 1, "blowup": 4, "ram-kb": 9000}
    }))
    .expect("the settings should be valid");
    let settings = read.settings;
    assert_eq!(settings.classes[0].late_utility_fraction, 0.0);
    assert_eq!(settings.classes[0].deduplication_window, Span::ZERO);
    assert!(!settings.classes[0].calls_downstream);
    assert_eq!(settings.classes[0].degraded_utility_fraction, 0.0);
    assert_eq!(settings.idempotency_key_kb, 0.0);
    assert!(!settings.cold_start && !settings.utility_per_work && !settings.stoppable);
    assert!(settings.tenant_quotas.is_empty());
    assert_eq!(settings.over_quota_utility_fraction, 1.0);
    assert_eq!((settings.backends, settings.callers, settings.tier_depth), (1, 1, 0));
    assert_eq!(settings.downstream, Downstream::None);
    assert_eq!(settings.capacity_format, CapacityFormat::None);
    assert_eq!(settings.capacity_ttl, Span::ZERO);
    assert_eq!(settings.client_idle_timeout, Span::ZERO);
    assert_eq!(settings.coalescing_window, Span::ZERO);
    assert_eq!(settings.max_retry_after, Span::ZERO);
    assert!(read.tenant_names.is_empty() && read.gauges.is_empty() && !read.stop_keeps_progress);
}

/// Each value of the keys that have a fixed set of values.
#[test]
fn every_value_is_read() {
    let with = |pointer: &str, value: &str| {
        let mut document = document();
        *document.pointer_mut(pointer).expect("the document should have the key") = json!(value);
        lynxtally_settings::read(document).expect("the settings should be valid")
    };
    let formats = ["silent", "level", "credit", "weight"].map(|value| with("/specifics/say", value).settings);
    let formats = formats.map(|settings| settings.capacity_format);
    assert_eq!(
        formats,
        [CapacityFormat::None, CapacityFormat::Threshold, CapacityFormat::Credits, CapacityFormat::Weight]
    );
    assert_eq!(with("/specifics/below", "silent").settings.downstream, Downstream::None);
    assert_eq!(with("/specifics/below", "tier").settings.downstream, Downstream::Tier);
    assert!(!with("/worth-by", "request").settings.utility_per_work);
    let silent = with("/specifics/stop-mode", "silent");
    assert!(!silent.settings.stoppable && !silent.stop_keeps_progress);
    let dropped = with("/specifics/stop-mode", "drop");
    assert!(dropped.settings.stoppable && !dropped.stop_keeps_progress);
}

/// An operator who makes a mistake in a key has to find the key and the expected value in the log. The texts are
/// compared in full because operators search for them; renaming a struct must not change them.
#[test]
fn error_texts_name_the_key_and_do_not_change() {
    let cases = [
        ("/lanes", json!([]), "`lanes` is empty; at least one is expected"),
        ("/lanes", json!(1), "`lanes` cannot be read: invalid type: integer `1`, expected a sequence"),
        ("/lanes", Value::Null, "cannot be read: missing field `lanes`"),
        ("/lanes/1", json!(1), "`lanes[1]` cannot be read: invalid type: integer `1`, expected struct Lane"),
        ("/lanes/0/name", json!("a b"), "`lanes[0].name` is \"a b\"; one word without slashes is expected"),
        ("/lanes/0/name", json!(""), "`lanes[0].name` is \"\"; one word without slashes is expected"),
        ("/lanes/0/importance", json!("x"), "`lanes[0].importance` cannot be read: invalid type: string \"x\", expected f64"),
        ("/lanes/1/promise-ms", json!(0), "`lanes[1].promise-ms` is 0; a time above 0 is expected"),
        ("/lanes/1/deadline-ms", json!(-1), "`lanes[1].deadline-ms` is -1; a time above 0 is expected"),
        ("/lanes/1/dedup-window-ms", Value::Null, "`lanes[1].dedup-window-ms` is missing or 0; a time above 0 is expected where `idempotency` is \"token\""),
        ("/lanes/1/idempotency", json!("no"), "`lanes[1].idempotency` cannot be read: unknown variant `no`, expected one of `pure`, `token`, `side_effect`"),
        ("/lanes/1/idempotency", json!(1), "`lanes[1].idempotency` cannot be read: invalid type: integer `1`, expected string or map"),
        ("/orgs/0", json!(1), "`orgs[0]` cannot be read: invalid type: integer `1`, expected struct Org"),
        ("/orgs/0/quota-per-s", Value::Null, "`orgs[0]` cannot be read: missing field `quota-per-s`"),
        ("/specifics", json!(1), "`specifics` cannot be read: invalid type: integer `1`, expected struct Specifics"),
        ("/specifics/cores", json!(0), "`specifics.cores` is 0; at least 1 is expected"),
        ("/specifics/cores", json!(-1), "`specifics.cores` cannot be read: invalid value: integer `-1`, expected u32"),
        ("/specifics/ram-kb", json!(0), "`specifics.ram-kb` is 0; a number above 0 is expected"),
        ("/specifics/blowup", json!(-0.5), "`specifics.blowup` is -0.5; a number above 0 is expected"),
        ("/specifics/below", json!("below"), "`specifics.below` cannot be read: unknown variant `below`, expected one of `silent`, `shared`, `tier`"),
        ("/specifics/below", json!(1), "`specifics.below` cannot be read: invalid type: integer `1`, expected string or map"),
        ("/specifics/calls-out", Value::Null, "`specifics.calls-out` is missing or 0; a number above 0 is expected where `specifics.below` is \"shared\""),
        ("/specifics/calls-over-ms", json!(0), "`specifics.calls-over-ms` is missing or 0; a number above 0 is expected where `specifics.below` is \"shared\""),
        ("/specifics/class-calls", json!([true]), "`specifics.class-calls` has 1 entries; one for each of 3 `lanes` is expected"),
        ("/specifics/class-skip-worth", json!([0, 0]), "`specifics.class-skip-worth` has 2 entries; one for each of 3 `lanes` is expected"),
        ("/specifics/say", json!("say"), "`specifics.say` cannot be read: unknown variant `say`, expected one of `silent`, `level`, `credit`, `weight`"),
        ("/specifics/say", json!(1), "`specifics.say` cannot be read: invalid type: integer `1`, expected string or map"),
        ("/specifics/stop-mode", json!("stop"), "`specifics.stop-mode` cannot be read: unknown variant `stop`, expected one of `silent`, `drop`, `pause`"),
        ("/specifics/stop-mode", json!(1), "`specifics.stop-mode` cannot be read: invalid type: integer `1`, expected string or map"),
        ("/specifics/heeded-ms", json!("x"), "`specifics.heeded-ms` cannot be read: invalid type: string \"x\", expected f64"),
        ("/rules", json!(1), "`rules` cannot be read: invalid type: integer `1`, expected struct Rules"),
        ("/rules/fall-multiple", Value::Null, "`rules` cannot be read: missing field `fall-multiple`"),
        ("/allowed", json!(1), "`allowed` cannot be read: invalid type: integer `1`, expected struct Allowed"),
        ("/allowed/retry-after", json!(1), "`allowed.retry-after` cannot be read: invalid type: integer `1`, expected a boolean"),
        ("/servers", json!(-1), "`servers` cannot be read: invalid value: integer `-1`, expected u32"),
        ("/worth-by", json!("x"), "`worth-by` cannot be read: unknown variant `x`, expected `request` or `work`"),
        ("/worth-by", json!(1), "`worth-by` cannot be read: invalid type: integer `1`, expected string or map"),
    ];
    for (pointer, value, text) in cases {
        let mut document = document();
        let (parent, key) = pointer.rsplit_once('/').expect("the pointer should have a parent");
        let parent = document.pointer_mut(parent).expect("the document should have the parent");
        match (value, parent) {
            (Value::Null, Value::Object(keys)) => {
                keys.remove(key);
            }
            (value, Value::Array(entries)) => {
                entries[key.parse::<usize>().expect("the key of an array should be an index")] = value
            }
            (value, parent) => parent[key] = value,
        }
        let error = lynxtally_settings::read(document).expect_err(pointer);
        assert_eq!(error.to_string(), text, "{pointer}");
    }
    let error = lynxtally_settings::read(json!(1)).expect_err("a number should not be accepted as settings");
    assert_eq!(error.to_string(), "cannot be read: invalid type: integer `1`, expected struct Profile");
}
