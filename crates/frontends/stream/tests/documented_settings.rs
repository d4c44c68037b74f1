//! Reads a settings file with every key that docs/streams.md documents, and checks that each value arrives in
//! its field and unit.

use lynxtally::Effect;
use lynxtally_stream::settings::SettingsFile;
use std::path::PathBuf;

#[test]
fn every_documented_setting_is_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/settings.json");
    let text = std::fs::read_to_string(path).expect("a fixture");
    let file: SettingsFile = serde_json::from_str(&text).expect("settings");
    let limits = &file.limits;
    assert_eq!((limits.memory_mb, limits.floor_kb, limits.window_kb), (65, 17, 1025));
    assert_eq!((limits.socket_kb, limits.ahead_ms, limits.at_once), (257, 201, 66));
    assert_eq!((limits.connections, limits.idle_ms, limits.head_ms), (2001, 60_001, 10_001));
    assert_eq!((limits.connect_ms, limits.link_mbit), (2002, 1.5));
    assert_eq!((limits.spool_kb, limits.spool_each_kb), (16_385, 258));
    assert_eq!((limits.rest_kb, limits.rest_ms, limits.results_kb), (1026, 2003, 4097));
    assert_eq!((limits.uploads_mb, limits.uploads_all_mb, limits.uploads_s), (1027, 16_386, 86_401));
    assert_eq!((file.progress.span_ms, file.progress.part), (5001, 0.03));
    assert_eq!((file.progress.least, file.progress.patience), (1028, 4));
    assert_eq!((file.leave_out.failures, file.leave_out.out_ms), (5, 1001));
    assert_eq!((file.leave_out.out_most_ms, file.leave_out.share, file.leave_out.proven), (60_002, 0.75, 6));
    assert_eq!((file.repeats.price, file.repeats.most), (7, 21));
    assert_eq!(file.coding.takes, ["gzip", "zstd"]);
    assert_eq!((file.coding.code_from_kb, file.coding.ratio, file.coding.slack_kb), (4, 101.0, 1029));
    assert_eq!((file.stop_ms, file.grace_ms), (20_001, 2501));
    assert_eq!(file.customer_field.as_deref(), Some("X-Org"));
    assert_eq!((file.customers[0].name.as_str(), file.customers[0].quota), ("acme", 12.5));
    let log = &file.stages[0];
    assert_eq!(
        (log.name.as_str(), &log.methods[..], &log.paths[..]),
        ("log", &["PUT".to_owned()][..], &["/logs/".to_owned()][..])
    );
    assert_eq!((log.utility, log.late_part, log.due_ms, log.limit_ms), (4.0, 0.25, 60_000, 600_000));
    assert_eq!((log.repeat_ms, log.body_mb, log.resumable), (70_000, 512, true));

    let checked = file.check().expect("valid settings");
    assert_eq!(checked.listen, ["127.0.0.1:8480".parse().expect("an address")]);
    assert_eq!(checked.upstreams.len(), 2);
    assert_eq!(checked.upload_directory, Some(PathBuf::from("state/streams")));
    let effects: Vec<Effect> = checked.classes.iter().map(|class| class.effect).collect();
    assert_eq!(effects, [Effect::Idempotent, Effect::Deduplicated, Effect::NonIdempotent]);

    let unknown = text.replacen("\"stop_ms\"", "\"stop\"", 1);
    assert!(serde_json::from_str::<SettingsFile>(&unknown).is_err());
}
