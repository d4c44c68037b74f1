//! The decisions stay in short files that the deploy file names, so that each can be read in one go.

use std::collections::BTreeSet;
use std::path::Path;

/// Lines that are not blank, over all files of decisions: this many and more are too many.
const ALL_FILES_LINES: usize = 1200;
/// Lines that are not blank in one file of decisions, at most.
const FILE_LINES: usize = 400;
/// Characters in a line, at most.
const WIDTH: usize = 110;

/// The files that the deploy file lists under a key.
fn listed(deploy: &str, key: &str) -> Vec<String> {
    let start = format!("\n{key} = [");
    let list = deploy.split_once(&start).expect("the list").1.split_once(']').expect("its end").0;
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// The Rust files of a folder itself, as the deploy file would name them.
fn rust_files(root: &Path, folder: &str) -> Vec<String> {
    let entries = std::fs::read_dir(root.join(folder)).expect(folder);
    let names = entries.map(|entry| entry.expect(folder).file_name().into_string().expect("a name"));
    names.filter(|name| name.ends_with(".rs")).map(|name| format!("{folder}/{name}")).collect()
}

fn deploy_file(root: &Path) -> String {
    std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file")
}

#[test]
fn the_deploy_file_names_every_file_of_decisions_once() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = deploy_file(root);
    let (policy, node) = (listed(&deploy, "policy"), listed(&deploy, "node"));
    let all: Vec<&String> = policy.iter().chain(&node).collect();
    for file in &all {
        assert!(root.join(file).exists(), "{file} is named and doesn't exist");
    }
    let distinct: BTreeSet<&String> = all.iter().copied().collect();
    assert_eq!(distinct.len(), all.len(), "a file is named twice: {all:#?}");
    assert!(policy.len() >= 5, "{policy:?}");
    for file in rust_files(root, "src/policy") {
        assert!(policy.contains(&file), "{file} is not under `policy`");
    }
    for file in rust_files(root, "src") {
        assert!(node.contains(&file), "{file} is not under `node`");
    }
}

#[test]
fn the_files_of_decisions_keep_to_their_lines_and_their_width() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = listed(&deploy_file(root), "policy");
    let mut all_lines = 0;
    for file in &files {
        let text = std::fs::read_to_string(root.join(file)).expect(file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= FILE_LINES, "{file}: {lines} lines");
        all_lines += lines;
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > WIDTH).collect();
        assert!(wide.is_empty(), "{file}: {wide:#?}");
    }
    assert!((300..ALL_FILES_LINES).contains(&all_lines), "{all_lines} lines in {files:?}");
}
