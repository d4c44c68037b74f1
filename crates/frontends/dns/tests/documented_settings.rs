//! Every setting in docs/names.md is decoded into its field, with its unit.

use lynxtally_dns::settings::{ClassSettings, RawSettings};
use std::path::PathBuf;

#[test]
fn every_documented_setting_is_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/settings.json");
    let text = std::fs::read_to_string(path).expect("a fixture");
    let file: RawSettings = serde_json::from_str(&text).expect("settings");

    assert_eq!(file.listen, ["127.0.0.1:5300".parse().expect("an address")]);
    assert_eq!(file.state, PathBuf::from("state/names"));
    assert_eq!(file.keys, [PathBuf::from("state/keys/nodes.key")]);
    assert_eq!(file.cookie_secret, Some(PathBuf::from("state/keys/cookies")));
    assert_eq!((file.stop_ms, file.grace_ms), (5001, 2501));

    let limits = &file.limits;
    assert_eq!((limits.memory_mb, limits.connections, limits.payload), (65, 501, 1233));
    assert_eq!((limits.prefix_share, limits.prefix_least, limits.proof), (0.3, 1001.0, false));
    assert_eq!((limits.history, limits.repeats_s, limits.log_mb), (100_002, 303, 66));
    assert_eq!((limits.records, limits.zone_mb, limits.lease_least_s), (1_000_004, 12, 35));
    assert_eq!((limits.lease_share, limits.lease_suspect), (0.4, 0.6));

    let class = |class: ClassSettings| (class.utility, class.due_ms, class.limit_ms);
    assert_eq!(class(file.stages.query), (1.5, 201, 2001));
    assert_eq!(class(file.stages.beyond), (0.03, 202, 2002));
    assert_eq!(class(file.stages.update), (51.0, 1003, 5003));
    assert_eq!(class(file.stages.transfer), (21.0, 60_004, 120_004));
    assert_eq!(class(file.stages.notify), (22.0, 1005, 5005));

    let own = &file.zones[0];
    assert_eq!(
        (own.apex.as_str(), own.file.clone()),
        ("fleet.example.org.", Some(PathBuf::from("fleet.zone")))
    );
    assert_eq!((own.refused_most, own.notify[0]), (10, "127.0.0.2:53".parse().expect("an address")));
    assert_eq!((&own.transfer.keys[..], own.transfer.anyone), (&["nodes.example.org.".to_owned()][..], true));
    assert_eq!(own.updates[0].key, "nodes.example.org.");
    assert_eq!(own.updates[0].below.as_deref(), Some("fleet.example.org."));
    assert_eq!(own.updates[0].kinds, ["A", "SRV"]);
    assert_eq!(own.updates[1].tree.as_deref(), Some("pool.fleet.example.org."));
    assert_eq!(own.updates[2].name.as_deref(), Some("www.fleet.example.org."));
    let followed = &file.zones[1];
    assert_eq!(followed.primaries, ["127.0.0.3:53".parse().expect("an address")]);
    assert_eq!(followed.key.as_deref(), Some("nodes.example.org."));

    let unknown = text.replacen("\"stop_ms\"", "\"stop\"", 1);
    assert!(serde_json::from_str::<RawSettings>(&unknown).is_err(), "an unknown key is an error");
}
