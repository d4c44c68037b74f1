//! The configuration file: each key that docs/configuration.md documents outside `settings` sets the field of [`Config`]
//! that it stands for, and its value is read in the documented unit.

use lynxtally_node::config::{self, Config};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../examples/node.json");

fn parse(text: &str) -> Config {
    config::parse(text, |_| None).expect("valid configuration")
}

#[test]
fn the_example_is_read() {
    let config = parse(EXAMPLE);
    let address = |text: &str| text.parse().expect("parse the address");
    assert_eq!(config.name, "n1");
    assert_eq!(config.listen, address("127.0.0.1:8443"));
    assert_eq!(config.executor, address("127.0.0.1:7300"));
    assert_eq!(config.control_plane, address("127.0.0.1:7946"));
    assert_eq!(config.downstream, Some(address("127.0.0.1:5432")));
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(config.shutdown_timeout, Duration::from_secs(3));
    assert_eq!(config.max_sockets, 1024);
    assert_eq!(config.memory_bytes, 192 << 20);
    assert!(config.coordination.is_none());
}

/// Every key has a value other than its default, and each value must arrive in its field. An unknown key at the top
/// level is ignored; in `shares`, it is an error.
#[test]
fn every_key_outside_the_settings_is_read() {
    let mut file: serde_json::Value = serde_json::from_str(EXAMPLE).expect("parse JSON");
    file["stop_ms"] = 4001.into();
    file["limits"] = serde_json::json!({"sockets": 512, "memory_mb": 64, "cores": 2});
    file["unknown"] = true.into();
    file["shares"] = serde_json::json!({
        "keepers": ["127.0.0.1:7601", "127.0.0.1:7602"], "patience_ms": 250, "calls": "ledger",
        "quotas": {"acme": "acme-rate"}, "wallets": {"acme": "acme-wallet"},
    });
    let config = parse(&file.to_string());
    assert_eq!(config.shutdown_timeout, Duration::from_millis(4001));
    assert_eq!(config.max_sockets, 512);
    assert_eq!(config.memory_bytes, 64 << 20);
    assert!(config.coordination.is_some());

    file["shares"]["keeper"] = "127.0.0.1:7601".into();
    let error =
        config::parse(&file.to_string(), |_| None).expect_err("an unknown key of `shares` was accepted");
    assert!(error.to_string().contains("shares"), "{error}");
}

/// The environment variables for the name and the listening address override the file.
#[test]
fn the_environment_overrides_the_file() {
    let environment = |name: &str| match name {
        "RELAY_NAME" => Some("n7".to_owned()),
        "RELAY_LISTEN" => Some("127.0.0.2:8444".to_owned()),
        _ => None,
    };
    let config = config::parse(EXAMPLE, environment).expect("valid configuration");
    assert_eq!(config.name, "n7");
    assert_eq!(config.listen, "127.0.0.2:8444".parse().expect("parse the address"));
}
