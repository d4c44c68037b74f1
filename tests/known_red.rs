//! Tests how `.ci/tests` handles the list of tests that are known to fail, with a fake cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// A fake cargo that records its arguments. It simulates tests by name: `red...` fails, `green` passes, `twice` fails and
/// exists in two targets, `broken` doesn't compile, `seeded` fails with one seed only, and `none` doesn't exist.
const CARGO: &str = r#"#!/usr/bin/env bash
echo "cargo $*" >> "$CALLS"
name=${*: -1}
case "$*" in
*"--list --exact twice") printf 'twice: test\ntwice: test\n' ;;
*"--list --exact "*) echo "$name: test" ;;
*"--skip "*) ;;
*"--exact seeded") [[ ${SEED:-} == 7 ]] || { printf 'running 1 test\ntest seeded ... ok\n'; exit 0; }
    printf 'running 1 test\ntest seeded ... FAILED\n'; exit 101 ;;
*"--exact red"* | *"--exact twice") printf "running 1 test\ntest $name ... FAILED\n"; exit 101 ;;
*"--exact green") printf 'running 1 test\ntest green ... ok\n' ;;
*"--exact broken") echo 'error: could not compile'; exit 101 ;;
*"--exact none") printf 'running 0 tests\n' ;;
esac
"#;

/// Runs `.ci/tests` with a list of known failing tests, or without one. Returns whether it succeeded, its output, and the
/// last cargo command.
fn run_ci_tests(name: &str, list: Option<&str>) -> (bool, String, String) {
    let folder = std::env::temp_dir().join(format!("lynxtally-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder should be created");
    let cargo = folder.join("cargo");
    fs::write(&cargo, CARGO).expect("the file should be written");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755))
        .expect("the fake cargo should become executable");
    if let Some(list) = list {
        fs::write(folder.join("KNOWN-RED.txt"), list).expect("the file should be written");
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").expect("PATH should be set"));
    let out = Command::new(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/tests"))
        .current_dir(&folder)
        .env("PATH", path)
        .env("CALLS", folder.join("calls"))
        .output()
        .expect(".ci/tests should run");
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    fs::remove_dir_all(&folder).expect("the folder should be removed");
    let output = [out.stdout, out.stderr].concat();
    let output = String::from_utf8(output).expect("the output should be UTF-8");
    (out.status.success(), output, calls.lines().last().unwrap_or_default().to_owned())
}

#[test]
fn without_a_list_all_tests_run() {
    let all = "cargo test --workspace --locked";
    assert_eq!(run_ci_tests("none", None), (true, String::new(), all.to_owned()));
    assert_eq!(run_ci_tests("empty", Some("")).2, all);
}

/// An entry for a test of the target `stories` in the package `toy`.
fn entry(test: &str) -> String {
    let command = format!("cargo test -p toy --test stories --locked -- --exact {test}");
    format!("test: {test}\ncommand: {command}\nseen: a fault\nissue: 7\n")
}

#[test]
fn exactly_the_listed_tests_are_skipped_and_printed() {
    let (success, output, last) = run_ci_tests("listed", Some(&entry("red")));
    assert!(success, "{output}");
    for line in entry("red").lines() {
        assert!(output.contains(&format!("known red: {line}")), "{line} in {output}");
    }
    assert_eq!(last, "cargo test --workspace --locked -- --exact --skip red");
    // The number of entries is not limited, and unit tests of a library may be listed.
    let library = entry("red_in_lib").replace("--test stories", "--lib");
    let four = [entry("red"), entry("red_too"), library, entry("red_again")].join("\n\n");
    let (success, output, last) = run_ci_tests("four", Some(&four));
    assert!(success, "{output}");
    let skips = "--skip red --skip red_too --skip red_in_lib --skip red_again";
    assert_eq!(last, format!("cargo test --workspace --locked -- --exact {skips}"));
}

#[test]
fn a_listed_test_is_run_with_the_seed_of_its_command() {
    let seeded = |seed: &str| entry("seeded").replace("cargo test", &format!("SEED={seed} cargo test"));
    let (success, output, last) = run_ci_tests("seed", Some(&seeded("7")));
    assert!(success, "{output}");
    assert_eq!(last, "cargo test --workspace --locked -- --exact --skip seeded");
    let (success, output, _) = run_ci_tests("other-seed", Some(&seeded("8")));
    assert!(!success && output.contains("seeded: it passes"), "{output}");
}

#[test]
fn an_outdated_or_malformed_list_is_an_error() {
    let without = |field: &str| -> String {
        entry("red").lines().filter(|line| !line.starts_with(field)).map(|line| format!("{line}\n")).collect()
    };
    for (name, list, expected_error) in [
        ("green", entry("green"), "green: it passes"),
        ("gone", entry("none"), "none: there is no such test"),
        ("twice", entry("twice"), "twice: 2 tests have this name"),
        ("broken", entry("broken"), "broken: it could not be run"),
        ("bare", "red\n".to_owned(), "line 1: `test: ...` is expected"),
        ("old", "toy stories red: a fault (7)\n".to_owned(), "line 1: `test: ...` is expected"),
        ("no-command", without("command"), "line 2: `command: ...` is expected"),
        ("no-seen", without("seen"), "line 3: `seen: ...` is expected"),
        ("no-issue", without("issue"), "the last entry ends before its `issue`"),
        ("empty-seen", entry("red").replace("a fault", ""), "line 3: `seen: ...` is expected"),
        ("issue", entry("red").replace("issue: 7", "issue: soon"), "line 4: the number of an open issue"),
        ("name", entry("red two"), "line 1: a test's name is expected"),
        ("whole-package", entry("red").replace(" --test stories", ""), "line 2: [SEED=VALUE] cargo test"),
        ("not-exact", entry("red").replace(" --exact", ""), "line 2: [SEED=VALUE] cargo test"),
        (
            "other",
            entry("red").replace("--exact red", "--exact green"),
            "line 2: the command runs another test",
        ),
        ("two-lines", entry("red").replace("\nseen", "\n\nseen"), "line 3: `seen: ...` is expected"),
        ("again", [entry("red"), entry("red")].join("\n"), "line 6: red is listed twice"),
    ] {
        let (success, output, last) = run_ci_tests(name, Some(&list));
        assert!(!success && output.contains(expected_error), "{name}: {output}");
        assert!(!last.contains("--skip"), "no test is skipped after an error");
    }
}
