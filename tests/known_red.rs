//! The list of tests that are known to fail, as `.ci/tests` reads it, before a stand-in of cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Says what it was called with, and has tests that fail (`red...`), that pass (`green`), that stand in two targets (`twice`),
/// that can't be built (`broken`), and that fail with one seed only (`seeded`).
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

/// An entry for a test of the target `stories` in the package `toy`.
fn entry(test: &str) -> String {
    let command = format!("cargo test -p toy --test stories --locked -- --exact {test}");
    format!("test: {test}\ncommand: {command}\nseen: a fault\nissue: 7\n")
}

#[test]
fn exactly_what_is_listed_is_passed_over_and_printed() {
    let (well, said, last) = outcome("listed", Some(&entry("red")));
    assert!(well, "{said}");
    for line in entry("red").lines() {
        assert!(said.contains(&format!("known red: {line}")), "{line} in {said}");
    }
    assert_eq!(last, "cargo test --workspace --locked -- --exact --skip red");
    // There is no fixed number of entries, and some of a library's own tests may be among them.
    let library = entry("red_in_lib").replace("--test stories", "--lib");
    let four = [entry("red"), entry("red_too"), library, entry("red_again")].join("\n\n");
    let (well, said, last) = outcome("four", Some(&four));
    assert!(well, "{said}");
    let skips = "--skip red --skip red_too --skip red_in_lib --skip red_again";
    assert_eq!(last, format!("cargo test --workspace --locked -- --exact {skips}"));
}

#[test]
fn a_listed_test_is_run_with_the_seed_of_its_command() {
    let seeded = |seed: &str| entry("seeded").replace("cargo test", &format!("SEED={seed} cargo test"));
    let (well, said, last) = outcome("seed", Some(&seeded("7")));
    assert!(well, "{said}");
    assert_eq!(last, "cargo test --workspace --locked -- --exact --skip seeded");
    let (well, said, _) = outcome("other-seed", Some(&seeded("8")));
    assert!(!well && said.contains("seeded: it passes"), "{said}");
}

#[test]
fn a_list_that_is_out_of_date_or_cannot_be_read_is_an_error() {
    let without = |field: &str| -> String {
        entry("red").lines().filter(|line| !line.starts_with(field)).map(|line| format!("{line}\n")).collect()
    };
    for (name, list, why) in [
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
        let (well, said, last) = outcome(name, Some(&list));
        assert!(!well && said.contains(why), "{name}: {said}");
        assert!(!last.contains("--skip"), "nothing was passed over");
    }
}
