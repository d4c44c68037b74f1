//! Checks that each key of docs/configuration.md sets the setting that it stands for, and that its value is read in the
//! documented unit.

use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
use lynxtally_settings::{read, BackendSettings};

const MS: fn(u64) -> Span = Span::from_millis;

fn json() -> serde_json::Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/settings.json");
    let text = std::fs::read_to_string(path).expect("the fixture should be readable");
    serde_json::from_str(&text).expect("the file should be JSON")
}

/// The settings that the fixture declares.
fn declared() -> BackendSettings {
    let greet = RequestClass {
        utility: 1.5,
        late_utility_fraction: 0.25,
        latency_objective: MS(1001),
        deadline: MS(3001),
        effect: Effect::Idempotent,
        deduplication_window: Span::ZERO,
        calls_downstream: false,
        degraded_utility_fraction: 0.0,
    };
    let pay = RequestClass {
        utility: 10.0,
        late_utility_fraction: 0.0,
        latency_objective: MS(1002),
        deadline: MS(3002),
        effect: Effect::Deduplicated,
        deduplication_window: MS(60_003),
        calls_downstream: true,
        degraded_utility_fraction: 0.75,
    };
    let book = RequestClass {
        utility: 4.0,
        late_utility_fraction: 0.0,
        latency_objective: MS(1004),
        deadline: MS(3004),
        effect: Effect::NonIdempotent,
        ..greet.clone()
    };
    let settings = Settings {
        cores: 3,
        memory_kb: 65_536.0,
        running_memory_factor: 8.0,
        idempotency_key_kb: 0.5,
        cold_start: true,
        cold_capacity_fraction: 0.2,
        warmup_time: MS(10_006),
        max_running_per_core: 8.5,
        drain_grace: MS(1005),
        classes: vec![greet, pay, book],
        tenant_quotas: vec![50.5, 7.0],
        over_quota_utility_fraction: 0.1,
        utility_per_work: true,
        backends: 12,
        callers: 9,
        tier_depth: 2,
        downstream: Downstream::Shared {
            concurrent_calls: 4.5,
            averaging_window: MS(5010),
            cancellation_lag: MS(211),
        },
        stoppable: true,
        capacity_format: CapacityFormat::Credits,
        capacity_ttl: MS(1008),
        client_idle_timeout: MS(30_009),
        coalescing_window: MS(112),
        max_retry_after: MS(1007),
    };
    BackendSettings {
        settings,
        class_names: ["greet", "pay", "book"].map(str::to_owned).to_vec(),
        tenant_names: ["acme", "zenith"].map(str::to_owned).to_vec(),
        gauges: ["cpu_busy", "runnable", "mem_used", "sockets"].map(str::to_owned).to_vec(),
        stop_keeps_progress: true,
    }
}

#[test]
fn every_documented_key_is_read() {
    assert_eq!(read(json()).expect("the settings should be valid"), declared());
}

/// `examples/node.json` is the file that docs/configuration.md starts from.
#[test]
fn the_settings_of_the_example_node_are_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/node.json");
    let text = std::fs::read_to_string(path).expect("examples/node.json should be readable");
    let file: serde_json::Value = serde_json::from_str(&text).expect("the file should be JSON");
    let declared = read(file["settings"].clone()).expect("the settings should be valid");
    assert_eq!(declared.class_names, ["greet", "pay"]);
    assert_eq!(declared.tenant_names, ["acme"]);
    assert_eq!(declared.settings.classes[1].latency_objective, MS(1000));
}

/// Each value of the keys that have a fixed set of values.
#[test]
fn every_documented_value_is_read() {
    let with = |pointer: &str, value: &str| {
        let mut json = json();
        *json.pointer_mut(pointer).expect("the fixture should have the key") = value.into();
        read(json).expect("the settings should be valid").settings
    };
    for (value, format) in [
        ("silent", CapacityFormat::None),
        ("level", CapacityFormat::Threshold),
        ("credit", CapacityFormat::Credits),
        ("weight", CapacityFormat::Weight),
    ] {
        assert_eq!(with("/specifics/say", value).capacity_format, format);
    }
    for (value, stoppable) in [("silent", false), ("drop", true), ("pause", true)] {
        assert_eq!(with("/specifics/stop-mode", value).stoppable, stoppable);
    }
    for (value, downstream) in
        [("silent", Downstream::None), ("tier", Downstream::Tier), ("shared", declared().settings.downstream)]
    {
        assert_eq!(with("/specifics/below", value).downstream, downstream);
    }
    for (value, per_work) in [("request", false), ("work", true)] {
        assert_eq!(with("/worth-by", value).utility_per_work, per_work);
    }
}
