//! Checks that the policy is in short files that the deploy file names, so that each can be read in one sitting.

use std::collections::BTreeSet;
use std::path::Path;

/// Upper bound (exclusive) of the non-blank lines in all policy files.
const TOTAL_LINES: usize = 1200;
/// Maximum number of non-blank lines in one policy file.
const MAX_FILE_LINES: usize = 400;
/// Maximum number of characters in a line.
const MAX_LINE_CHARS: usize = 110;

/// The files that the deploy file lists under a key.
fn listed(deploy: &str, key: &str) -> Vec<String> {
    let start = format!("\n{key} = [");
    let list = deploy
        .split_once(&start)
        .expect("the deploy file should have the list")
        .1
        .split_once(']')
        .expect("the list should have an end")
        .0;
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// The Rust files directly in a folder, with the paths that the deploy file has for them.
fn rust_files(root: &Path, folder: &str) -> Vec<String> {
    let entries = std::fs::read_dir(root.join(folder)).expect(folder);
    let names = entries
        .map(|entry| entry.expect(folder).file_name().into_string().expect("the file name should be UTF-8"));
    names.filter(|name| name.ends_with(".rs")).map(|name| format!("{folder}/{name}")).collect()
}

fn deploy_file(root: &Path) -> String {
    std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml should be readable")
}

#[test]
fn the_deploy_file_names_every_policy_file_once() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = deploy_file(root);
    let (policy, node) = (listed(&deploy, "policy"), listed(&deploy, "node"));
    let all: Vec<&String> = policy.iter().chain(&node).collect();
    for file in &all {
        assert!(root.join(file).exists(), "the deploy file names {file}, which doesn't exist");
    }
    let distinct: BTreeSet<&String> = all.iter().copied().collect();
    assert_eq!(distinct.len(), all.len(), "the deploy file names a file twice: {all:#?}");
    assert!(policy.len() >= 5, "{policy:?}");
    for file in rust_files(root, "src/policy") {
        assert!(policy.contains(&file), "`policy` in the deploy file lacks {file}");
    }
    for file in rust_files(root, "src") {
        assert!(node.contains(&file), "`node` in the deploy file lacks {file}");
    }
}

#[test]
fn policy_files_stay_within_their_size_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = listed(&deploy_file(root), "policy");
    let mut all_lines = 0;
    for file in &files {
        let text = std::fs::read_to_string(root.join(file)).expect(file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_FILE_LINES, "{file} has {lines} non-blank lines");
        all_lines += lines;
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > MAX_LINE_CHARS).collect();
        assert!(wide.is_empty(), "lines of {file} that are too long: {wide:#?}");
    }
    assert!((300..TOTAL_LINES).contains(&all_lines), "{all_lines} non-blank lines in {files:?}");
}
