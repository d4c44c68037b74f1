//! The module stays as small as it has to be: its files are those under `policy` in the deploy file.

use std::path::Path;

/// Lines that are not blank, over all of them, and characters in a line.
const LINES: usize = 920;
const WIDTH: usize = 110;

#[test]
fn the_module_keeps_to_its_lines_and_their_width() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let list = deploy.split_once("\npolicy = [").expect("a list").1.split_once(']').expect("its end").0;
    let files: Vec<&str> = list.split('"').skip(1).step_by(2).collect();
    let mut lines = 0;
    for file in &files {
        let text = std::fs::read_to_string(root.join(file)).expect(file);
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > WIDTH).collect();
        assert!(wide.is_empty(), "{file}: {wide:#?}");
    }
    assert!(files.len() >= 5 && (300..=LINES).contains(&lines), "{lines} lines in {files:?}");
}
