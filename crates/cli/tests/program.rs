//! Output and exit codes of the operators' program.

use std::path::PathBuf;
use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_lynxtally")).args(arguments).output().expect("the program starts");
    let text = |octets: &[u8]| String::from_utf8_lossy(octets).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lynxtally-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

const GOOD: &str = "$ORIGIN example.org.\n$TTL 60\n@ SOA ns host 1 1 1 1 1\n@ NS ns\nns A 192.0.2.1\n";

#[test]
fn check_prints_each_refused_record_and_fails_if_there_is_one() {
    let good = file("good", GOOD);
    let bad = file("bad", &format!("{GOOD}a A x\nb A 192.0.2.2\n"));
    let (good, bad) = (good.to_str().expect("a UTF-8 path"), bad.to_str().expect("a UTF-8 path"));
    assert_eq!(
        run(&["names", "check", good]),
        (Some(0), "3 records kept, 0 refused\n".into(), String::new())
    );
    let output = format!("{bad}:6:5: \"x\" is not a valid IPv4 address\n4 records kept, 1 refused\n");
    assert_eq!(run(&["names", "check", bad]), (Some(1), output, String::new()));
    let (code, json, _) = run(&["names", "check", bad, "--format", "json"]);
    assert_eq!((code, json.contains("\"line\":6") && json.contains("\"kept\":4")), (Some(1), true), "{json}");
    let (code, output, _) = run(&["names", "diff", good, bad]);
    assert_eq!((code, output.as_str()), (Some(1), "+ b.example.org. 60 IN A 192.0.2.2\n"));
    assert_eq!(run(&["names", "check", "/nowhere"]).0, Some(2));
    assert_eq!(run(&["names", "frob"]).0, Some(2));
    for path in [good, bad] {
        std::fs::remove_file(path).expect("the test's files exist");
    }
}

#[test]
fn settings_errors_name_the_file_and_the_key() {
    let settings = |body: &str| {
        let path = file("settings.jsonnet", body);
        let ended = run(&["settings", "check", path.to_str().expect("a UTF-8 path")]);
        std::fs::remove_file(path).expect("the test's files exist");
        ended
    };
    let zone = "{ apex: 'example.org', file: 'z' }";
    let (code, _, output) =
        settings(&format!("{{ listen: ['127.0.0.1:0'], state: 's', zones: [{zone}, {zone}] }}"));
    assert_eq!(code, Some(1));
    assert!(
        output.contains("settings.jsonnet: `zones[1].apex` is example.org., which stands above too"),
        "{output}"
    );
    let (code, _, output) = settings(&format!("{{ listen: [], state: 's', zonse: [{zone}] }}"));
    assert!(code == Some(1) && output.contains("unknown field `zonse`"), "{output}");
    let (code, _, output) = settings("{ listen: [ }");
    assert!(code == Some(1) && output.contains("settings.jsonnet"), "{output}");
    let (code, _, output) = settings("{ listen: ['127.0.0.1:0'], upstreams: ['127.0.0.1:1'], stages: [] }");
    assert!(code == Some(1) && output.contains("settings.jsonnet: `stages` is empty"), "{output}");
    let stage = "{ name: 'a', utility: 0, due_ms: 1, limit_ms: 1, effect: 'restartable' }";
    let (code, _, output) =
        settings(&format!("{{ listen: ['127.0.0.1:0'], upstreams: ['127.0.0.1:1'], stages: [{stage}] }}"));
    assert!(code == Some(1) && output.contains("`stages[0].utility` is 0; above 0 is expected"), "{output}");
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/stream/front.jsonnet");
    let (code, output, _) = run(&["stream", "check", "--settings", deployed, "PUT", "/logs/17"]);
    assert_eq!((code, output.as_str()), (Some(0), "PUT /logs/17: log\n"));
    let (code, output, _) = run(&["completion", "bash"]);
    assert!(code == Some(0) && output.contains("_lynxtally"), "{code:?}");
    let (code, output, _) = run(&["man"]);
    assert!(code == Some(0) && output.contains("names"), "{code:?}");
}
