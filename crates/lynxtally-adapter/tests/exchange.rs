//! Tests the adapter as a program: a short exchange, and the error texts for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INIT: &str = r#"{"type":"init","i":3,"init-seed":7,"profile-data":{"unknown":1,"lanes":[{"name":"a","importance":1.0,"promise-ms":1000,"deadline-ms":3000,"idempotency":"pure"}],"rules":{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":6,"warm-after-ms":9000},"specifics":{"cores":2,"blowup":4,"ram-kb":9000,"say":"silent"}}}"#;
const FRAME: &str = r#"{"type":"frame","now-ms":10.5}"#;
const REQUEST: &str =
    r#"{"type":"inbound","i":3,"xid":"x1","profile":"a","footprint":10.0,"earlier":0,"new-key":[]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lynxtally-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    child
        .stdin
        .take()
        .expect("standard input should be piped")
        .write_all((lines.join("\n") + "\n").as_bytes())
        .expect("the adapter should read its input");
    child.wait_with_output().expect("the adapter should exit")
}

#[test]
fn a_request_that_arrives_is_started() {
    let out = run(&[FRAME, INIT, REQUEST, r#"{"type":"eob"}"#]);
    let text = String::from_utf8(out.stdout).expect("the output should be UTF-8");
    assert!(out.status.success(), "the adapter exits without an error at the end of its input");
    assert!(text.contains(r#"{"type":"serve","i":3,"xid":"x1"}"#), "{text}");
    assert!(text.ends_with("{\"type\":\"yield\"}\n"));
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_text() {
    let settings_without_cores = INIT.replace(r#""cores":2"#, r#""cores":0"#);
    let cases: [(&[&str], &str); 7] = [
        (&["no json"], "line 1: "),
        (&[FRAME, r#"{"type":"odd"}"#], "line 2: unknown variant `odd`"),
        (&[FRAME, REQUEST], "line 2: instance 3 was never started"),
        (&[FRAME, INIT, r#"{"type":"inbound","i":3,"xid":"x1"}"#], "line 3: missing field `profile`"),
        (&[FRAME, INIT, &REQUEST.replace(r#""a""#, r#""b""#)], "line 3: field `profile`"),
        (&[FRAME, &settings_without_cores], "line 2: settings: `specifics.cores` is 0"),
        (&[FRAME], "input ended inside a batch"),
    ];
    for (lines, message) in cases {
        let out = run(lines);
        let error_text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && error_text.contains(message), "{lines:?} gave {error_text:?}");
        assert!(!error_text.contains("panicked"));
    }
}

/// The adapter reads each message of the simulator, and writes its own messages, with the wire names of the protocol.
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
    let text = String::from_utf8(out.stdout).expect("the output should be UTF-8");
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
