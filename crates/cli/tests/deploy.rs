//! The example settings under `deploy/`, which the documentation uses, are valid.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

fn deploy_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(file)
}

/// Runs `lynxtally settings check` on a file, in a directory with the keys that the file names.
fn check(name: &str, file: &str) -> (Option<i32>, String) {
    let folder = std::env::temp_dir().join(format!("lynxtally-deploy-{}-{name}", std::process::id()));
    let keys = folder.join("state/keys");
    std::fs::create_dir_all(&keys).expect("the directory is created");
    let key = keys.join("nodes.key");
    let secret = "c2VjcmV0IHNlY3JldCBzZWNyZXQgc2VjcmV0IHNlY3I=";
    std::fs::write(&key, format!("hmac-sha256 nodes.fleet.example.org. {secret}\n"))
        .expect("the file is written");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("the file mode is set");
    let out = Command::new(env!("CARGO_BIN_EXE_lynxtally"))
        .args(["settings", "check"])
        .arg(deploy_path(file))
        .current_dir(&folder)
        .output()
        .expect("the program starts");
    std::fs::remove_dir_all(&folder).expect("the test's files exist");
    (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn the_settings_of_the_dns_server_are_valid() {
    assert_eq!(check("names", "names/fleet.jsonnet"), (Some(0), String::new()));
}

#[test]
fn the_settings_of_the_stream_server_are_valid() {
    assert_eq!(check("stream", "stream/front.jsonnet"), (Some(0), String::new()));
}
