//! The adapter as a program: a small exchange by hand, and what it says of malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INIT: &str = r#"{"type":"init","i":3,"init-seed":7,"profile-data":{"unknown":1,"lanes":[{"name":"a","importance":1.0,"promise-ms":1000,"deadline-ms":3000,"idempotency":"pure"}],"rules":{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":6,"warm-after-ms":9000},"specifics":{"cores":2,"blowup":4,"ram-kb":9000,"say":"silent"}}}"#;
const FRAME: &str = r#"{"type":"frame","now-ms":10.5}"#;
const TASK: &str =
    r#"{"type":"inbound","i":3,"xid":"x1","profile":"a","footprint":10.0,"earlier":0,"new-key":[]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lynxtally-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all((lines.join("\n") + "\n").as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

#[test]
fn a_small_exchange() {
    let out = run(&[FRAME, INIT, TASK, r#"{"type":"eob"}"#]);
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(out.status.success(), "the end of input is a clean end");
    assert!(text.contains(r#"{"type":"serve","i":3,"xid":"x1"}"#), "{text}");
    assert!(text.ends_with("{\"type\":\"yield\"}\n"));
}

#[test]
fn malformed_input_gets_a_plain_message() {
    let coreless = INIT.replace(r#""cores":2"#, r#""cores":0"#);
    let cases: [(&[&str], &str); 7] = [
        (&["no json"], "line 1: "),
        (&[FRAME, r#"{"type":"odd"}"#], "line 2: unknown variant `odd`"),
        (&[FRAME, TASK], "line 2: instance 3 was never started"),
        (&[FRAME, INIT, r#"{"type":"inbound","i":3,"xid":"x1"}"#], "line 3: missing field `profile`"),
        (&[FRAME, INIT, &TASK.replace(r#""a""#, r#""b""#)], "line 3: field `profile`"),
        (&[FRAME, &coreless], "line 2: settings: `specifics.cores` is 0"),
        (&[FRAME], "input ended inside a batch"),
    ];
    for (lines, message) in cases {
        let out = run(lines);
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && said.contains(message), "{lines:?} gave {said:?}");
        assert!(!said.contains("panicked"));
    }
}

/// Each message that the simulator sends is read by the protocol's own names, and the messages that come back have them.
#[test]
fn every_message_of_the_protocol_is_read() {
    let out = run(&[
        FRAME,
        INIT,
        r#"{"type":"inbound","i":3,"xid":"x1","profile":"a","footprint":10.0,"client-group":0,"by":2,"effort-ms":5.5,"lay-ms":1,"earlier":"x0","not-after-ms":900,"opts":3,"item":"it"}"#,
        r#"{"type":"needs-dep","i":3,"xid":"x1"}"#,
        r#"{"type":"called","i":3,"xid":"x1","status":200}"#,
        r#"{"type":"result","i":3,"xid":"x1","status":200}"#,
        r#"{"type":"abandoned","i":3,"xid":"x1"}"#,
        r#"{"type":"fired","i":3,"server-stats":{"cpu_busy":0.5,"sockets":4}}"#,
        r#"{"type":"eob"}"#,
        r#"{"type":"frame","now-ms":11}"#,
        r#"{"type":"quiesce","i":3,"not-after-ms":12}"#,
        r#"{"type":"eob"}"#,
        r#"{"type":"frame","now-ms":200}"#,
        r#"{"type":"inbound","i":3,"xid":"x2","profile":"a","footprint":10.0}"#,
        r#"{"type":"eob"}"#,
        r#"{"type":"frame","now-ms":201}"#,
        r#"{"type":"retire","i":3}"#,
        r#"{"type":"eob"}"#,
    ]);
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    for message in [
        r#"{"type":"readiness","i":3,"on":true,"cheap":true}"#,
        r#"{"type":"timer","i":3,"mark":0,"from-now-ms":25.0}"#,
        r#"{"type":"readiness","i":3,"on":false,"cheap":true}"#,
    ] {
        assert!(text.lines().any(|line| line == message), "{message} in {text}");
    }
    assert_eq!(text.matches("{\"type\":\"yield\"}").count(), 4);
}
