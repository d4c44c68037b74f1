//! The list of tests that are known to fail, as `.ci/tests` reads it, before a stand-in of cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Says what it was called with, has one failing test `red` in the target `stories`, and one that passes, `green`.
const CARGO: &str = r#"#!/usr/bin/env bash
echo "cargo $*" >> "$CALLS"
case "$*" in
*"--list --exact red") echo "red: test" ;;
*"--list --exact twice") printf 'twice: test\ntwice: test\n' ;;
*"--exact red") printf 'running 1 test\ntest red ... FAILED\n'; exit 101 ;;
*"--exact twice") printf 'running 1 test\ntest twice ... FAILED\n'; exit 101 ;;
*"--exact green") printf 'running 1 test\ntest green ... ok\n' ;;
*"--exact none") printf 'running 0 tests\n' ;;
esac
"#;

/// What comes of a list: whether it passes, what is printed, and what cargo was last asked.
fn outcome(name: &str, list: Option<&str>) -> (bool, String, String) {
    let folder = std::env::temp_dir().join(format!("lynxtally-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let cargo = folder.join("cargo");
    fs::write(&cargo, CARGO).expect("a file");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("a flag");
    if let Some(list) = list {
        fs::write(folder.join("KNOWN-RED.txt"), list).expect("a file");
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").expect("a path"));
    let out = Command::new(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/tests"))
        .current_dir(&folder)
        .env("PATH", path)
        .env("CALLS", folder.join("calls"))
        .output()
        .expect("it runs");
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    fs::remove_dir_all(&folder).expect("it is there");
    let said = [out.stdout, out.stderr].concat();
    let said = String::from_utf8(said).expect("UTF-8");
    (out.status.success(), said, calls.lines().last().unwrap_or_default().to_owned())
}

#[test]
fn without_a_list_all_tests_run() {
    let all = "cargo test --workspace --locked";
    assert_eq!(outcome("none", None), (true, String::new(), all.to_owned()));
    assert_eq!(outcome("empty", Some("")).2, all);
}

#[test]
fn exactly_what_is_listed_is_passed_over_and_printed() {
    let (well, said, last) = outcome("listed", Some("toy stories red: a fault (7)\n"));
    assert!(well && said.contains("known red: toy stories red: a fault (7)"), "{said}");
    assert_eq!(last, "cargo test --workspace --locked -- --exact --skip red");
}

#[test]
fn a_list_that_is_out_of_date_or_cannot_be_read_is_an_error() {
    let line = |test: &str| format!("toy stories {test}: a fault (7)\n");
    for (name, list, why) in [
        ("green", line("green"), "green: it passes"),
        ("gone", line("none"), "none: there is no such test"),
        ("twice", line("twice"), "twice: 2 tests have this name"),
        ("four", line("red").repeat(4), "4 lines; three at most"),
        ("bare", "red\n".to_owned(), "line 1: PACKAGE TARGET TEST: cause (issue) is expected"),
    ] {
        let (well, said, last) = outcome(name, Some(&list));
        assert!(!well && said.contains(why), "{name}: {said}");
        assert!(!last.contains("--skip"), "nothing was passed over");
    }
}
