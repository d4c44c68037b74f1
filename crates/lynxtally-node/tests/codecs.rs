//! The state machines by bytes: split anywhere, several at once, cut off, over-long. No socket is needed.

use lynxtally::{CallOutcome, Span};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_node::config;
use lynxtally_node::downstream::Ended;
use lynxtally_node::executor_link::{self as kernel, Command, Notice, Reaped};
use lynxtally_node::http::{Asked, Bad, Message, Names, Reader, Sent, BODY_MOST, HEAD_MOST};
use lynxtally_node::response::{self as answer, Answer};

#[allow(dead_code)]
#[path = "../../../tests/host/mod.rs"]
mod host;
use host::world;

const TASK: &str = "POST /ops/a HTTP/1.1\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\nx-arrived-ms: 1764576000123\r\n\
    X-Upstream-Peer: 4\r\nX-Org: acme\r\nX-Need-Kb: 24.5\r\nX-Criticality: 0.6250\r\nContent-Length: 4\r\n\r\nb\r\n\0";

/// Shortly after the task arrived.
const NOW: u64 = 1_764_576_000_200;

fn names() -> Names {
    Names { stages: vec!["b".into(), "a".into()], customers: vec!["acme".into()], longest_ms: 2000 }
}

fn sent() -> Sent {
    Sent {
        id: "9b1f03aa5c7e2d41".into(),
        arrived_ms: 1_764_576_000_123,
        stage: 1,
        customer: Some(0),
        caller: 4,
        limit_ms: None,
        hint_ms: None,
        further: false,
        kb: 24.5,
        place: 0.625,
        subject: None,
        mark: None,
        body: b"b\r\n\0".to_vec(),
    }
}

fn asked(text: &str) -> Result<Option<Message<Asked>>, Bad> {
    Reader { buffer: text.as_bytes().to_vec() }.next_asked(&names(), NOW)
}

#[test]
fn a_task_split_at_any_point_is_the_same_task() {
    for at in 0..TASK.len() {
        let mut reader = Reader { buffer: TASK.as_bytes()[..at].to_vec() };
        assert_eq!(reader.next_asked(&names(), NOW), Ok(None), "cut at {at}");
        reader.buffer.extend_from_slice(&TASK.as_bytes()[at..]);
        let message = reader.next_asked(&names(), NOW).expect("readable").expect("whole");
        assert_eq!(message, Message { what: Asked::Task(Box::new(sent())), last: false });
        assert!(reader.buffer.is_empty());
    }
}

#[test]
fn a_task_may_say_how_long_its_caller_waits_what_it_costs_and_that_it_comes_again() {
    // The books' sidecars give tries up long before their stage's limit: tasks were answered when nobody waited.
    let with = |fields: &str| match asked(&TASK.replace("X-Org", &format!("{fields}\r\nX-Org"))) {
        Ok(Some(Message { what: Asked::Task(sent), .. })) => (sent.limit_ms, sent.hint_ms, sent.further),
        other => panic!("{other:?}"),
    };
    let told = with("X-Deadline-Ms: 1500\r\nX-Estimate-Ms: 466.58\r\nX-Resent: 1");
    assert_eq!(told, (Some(1_764_576_001_623), Some(466.58), true));
    let huge = with("X-Deadline-Ms: 999999999999999999999\r\nX-Estimate-Ms: 0\r\nX-Resent: 0");
    assert_eq!(huge, (Some(1_764_576_002_123), None, false), "nobody waits longer than the longest limit");
    let bad = |field: &str| {
        asked(&TASK.replace("X-Org", &format!("{field}\r\nX-Org"))).expect_err("unfit").status()
    };
    assert_eq!((bad("X-Deadline-Ms: soon"), bad("X-Estimate-Ms: -1")), (400, 400));
}

#[test]
fn several_messages_in_one_read_come_one_after_another() {
    let text = format!("{TASK}GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n{TASK}");
    let mut reader = Reader { buffer: text.into_bytes() };
    let mut next = || reader.next_asked(&names(), NOW).expect("readable");
    assert!(matches!(next(), Some(Message { what: Asked::Task(_), last: false })));
    assert_eq!(next(), Some(Message { what: Asked::Health, last: true }));
    assert!(matches!(next(), Some(Message { what: Asked::Task(_), .. })));
    assert_eq!(next(), None);
}

#[test]
fn what_cannot_be_taken_says_why() {
    let with = |from: &str, to: &str| asked(&TASK.replace(from, to)).expect_err("unfit").status();
    assert_eq!(with("POST /ops/a HTTP/1.1", "POST /ops/a"), 400);
    assert_eq!(with("Content-Length: 4", "Content-Length: four"), 400);
    assert_eq!(with("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"), 400);
    assert_eq!(with("Content-Length: 4", "Content-Length: -4"), 400);
    assert_eq!(with("9b1f03aa5c7e2d41", "9b1f03aa"), 400);
    assert_eq!(with("X-Org: acme", "X-Org: other"), 400);
    assert_eq!(with("X-Org: acme", "X-Need-Kb: 24.5"), 400);
    assert_eq!(with("0.6250", "1"), 400);
    for kb in ["NaN", "inf", "-1", "+24.5", "1e9", "0", "2000", "99999999", ""] {
        assert_eq!(with("24.5", kb), 400, "{kb}");
    }
    // A time of another age would teach the module that tasks lay unread for so long.
    for arrived in ["0", "1764575990000", "1764576010000", "99999999999999999999", "-5", "+1764576000123"] {
        assert_eq!(with("1764576000123", arrived), 400, "{arrived}");
    }
    assert_eq!(with("Peer: 4", "Peer: +4"), 400);
    assert_eq!(with("X-Org: acme\r\n", ""), 400, "no customer where the settings name some");
    assert_eq!(with("X-Org: acme", &format!("X-Org: acme\r\nX-Subject: {}", "s".repeat(99))), 400);
    assert_eq!(with("x-arrived-ms", "x-arrived"), 400);
    assert_eq!(with("/ops/a", "/ops/c"), 400);
    assert_eq!(with("/ops/a", "/a"), 404);
    assert_eq!(with("POST", "PUT"), 405);
    assert_eq!(with("Content-Length: 4", &format!("Content-Length: {}", BODY_MOST + 1)), 413);
    assert_eq!(with("Content-Length: 4", "Content-Length: 99999999999999999999999"), 413);
    assert_eq!(with("X-Org: acme", &format!("X-Other: {}", "x".repeat(HEAD_MOST))), 431);
    assert_eq!(with("X-Org: acme", "Transfer-Encoding: chunked"), 501);
    assert_eq!(asked(&"G".repeat(HEAD_MOST)), Err(Bad::HeadLarge));
}

#[test]
fn a_reply_says_what_is_known_of_the_call() {
    let outcome = |text: &str| {
        let mut reader = Reader { buffer: text.as_bytes().to_vec() };
        let reply = reader.next_reply().map(|message| message.map(|m| Ended::Replied(m.what).outcome()));
        reply.map_err(|_| CloseReason::Malformed.call_outcome(true))
    };
    let head = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(outcome(&head("200 OK")), Ok(Some(CallOutcome::Succeeded)));
    assert_eq!(outcome(&head("503 No\r\nX-Untouched: 1")), Ok(Some(CallOutcome::NotExecuted)));
    assert_eq!(outcome(&head("409 No\r\nX-Untouched: 1")), Ok(Some(CallOutcome::NotExecuted)));
    assert_eq!(outcome(&head("503 No")), Ok(Some(CallOutcome::MaybeExecuted)));
    assert_eq!(outcome(&head("504 Late")), Ok(Some(CallOutcome::MaybeExecuted)));
    assert_eq!(outcome(&head("200 OK")[..30]), Ok(None), "a part of a reply is none yet");
    let announced = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Untouched: 1\r\n\r\n{}",
        head("200 OK")
    );
    assert_eq!(outcome(&announced), Ok(Some(CallOutcome::Succeeded)), "1xx only announces a reply");
    assert_eq!(outcome(&announced[..60]), Ok(None));
    assert_eq!(outcome("HTTP/1.1 101 Switching\r\n\r\n"), Err(CallOutcome::MaybeExecuted));
    assert_eq!(outcome("HTTP/1.1 200 OK\r\n\r\n"), Err(CallOutcome::MaybeExecuted), "without a length");
    assert_eq!(outcome(&head("200 OK").replace("2\r", "99999999\r")), Err(CallOutcome::MaybeExecuted));
    for end in CloseReason::ALL {
        assert_eq!(end.call_outcome(false), CallOutcome::NotExecuted, "{end}: no byte of it was written");
    }
    assert_eq!(CloseReason::Reset.call_outcome(true), CallOutcome::MaybeExecuted);
}

#[test]
fn notices_split_at_any_point_are_the_same_notices() {
    let text =
        b"BOOTED COLD 1500.25\r\nIOREQ 1 9b 4\r\nb\r\n\0\r\nREAP 2 9b OK 3.5 2\r\n\r\n\r\nINFO gauges-5 0.5 1\r\nINFO sync-7 0 0\r\n\
        EINVAL SCHED 9b\r\nDMESG 3  all \xff is \t well\r\nREAP 4 9c STOPPED 1 0\r\n\r\n";
    let expected = [
        (None, Notice::Booted { cold: true, ms: 1500.25 }),
        (Some(1), Notice::AtCall { id: "9b".into(), body: b"b\r\n\0".to_vec() }),
        (Some(2), Notice::Ended { id: "9b".into(), how: Reaped::Ok, result: b"\r\n".to_vec() }),
        (None, Notice::Gauges { number: 5, values: vec![0.5, 1.0] }),
        (None, Notice::Synced(7)),
        (None, Notice::Refused { command: "SCHED".into(), id: "9b".into() }),
        (Some(3), Notice::Remark("3 all \u{fffd} is well".into())),
        (Some(4), Notice::Ended { id: "9c".into(), how: Reaped::Stopped, result: vec![] }),
    ];
    for at in 0..text.len() {
        let (mut reader, mut read) = (kernel::Reader::default(), Vec::new());
        for part in [&text[..at], &text[at..]] {
            reader.room().extend_from_slice(part);
            while let Some(notice) = reader.next_notice().expect("readable") {
                read.push(notice);
            }
        }
        assert_eq!(read, expected, "cut at {at}");
        assert!(reader.is_empty());
    }
}

#[test]
fn an_unreadable_notice_ends_the_link() {
    let long = "x".repeat(2000);
    for text in [
        "HELLO\r\n",
        "REAP 1 9b OK 3 x\r\n",
        "REAP 1 9b WELL 3 0\r\n\r\n",
        "IOREQ 1 9b 1\r\nabc",
        "INFO t NaN\r\n",
        &long,
    ] {
        let mut reader = kernel::Reader::default();
        reader.room().extend_from_slice(text.as_bytes());
        assert_eq!(reader.next_notice(), Err(CloseReason::Malformed), "{text:?}");
    }
    // A remark of any length means nothing.
    let mut reader = kernel::Reader::default();
    reader.room().extend_from_slice(format!("DMESG 8 {}{long}\r\n", &long[..1500]).as_bytes());
    assert!(matches!(reader.next_notice(), Ok(Some((Some(8), Notice::Remark(_))))));
}

#[test]
fn commands_carry_their_bodies_unchanged() {
    let mut out = Vec::new();
    Command::Run { id: "9b".into(), stage: "a".into(), body: b"\r\n\0".to_vec() }.write(&mut out);
    Command::Stop("9b".into()).write(&mut out);
    Command::Resume("9b".into()).write(&mut out);
    Command::Reply { id: "9b".into(), body: vec![] }.write(&mut out);
    Command::Gauges(5).write(&mut out);
    Command::Sync(3).write(&mut out);
    Command::Open(12).write(&mut out);
    let expected = b"SCHED 9b a 3\r\n\r\n\0\r\nPREEMPT 9b\r\nRESCHED 9b\r\nIODONE 9b 0\r\n\r\n\
        SYSINFO gauges-5\r\nSYSINFO sync-3\r\nOPEN 12\r\n";
    assert_eq!(out, expected);
}

#[test]
fn a_rejection_tells_when_to_come_back_and_whether_to_go_on() {
    let text = |answer: &Answer, last| {
        let mut out = Vec::new();
        answer::write(&mut out, answer, Some(2.25), last);
        String::from_utf8(out).expect("UTF-8")
    };
    let answer = Answer::Rejected { hold_off: Span::from_micros(250_400), terminal: true };
    let expected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Backend-Says: 2.25\r\n\
        X-Pushback-Ms: 251\r\nX-Stop-Trying: 1\r\n\r\n";
    assert_eq!(text(&answer, false), expected);
    assert!(text(&Answer::Abandoned, true).contains("\r\nConnection: close\r\n"));
}

#[test]
fn a_faulty_configuration_names_the_key() {
    let at = ([127, 0, 0, 1], 9).into();
    let good = world::config([at; 4]);
    let none = |_: &str| None;
    assert_eq!(config::read(&good, none).expect("fit").name, "n1");
    let own = |name: &str| (name == "RELAY_NAME").then(|| "n7".to_owned());
    assert_eq!(config::read(&good, own).expect("fit").name, "n7", "the environment goes before the file");
    for (from, to, said) in [
        ("{", "", "no JSON: "),
        ("\"kernel\"", "\"colonel\"", "missing field `kernel`"),
        ("\"ledger\":\"127.0.0.1:9\"", "\"ledger\":\"there\"", "`ledger` is \"there\"; an address"),
        ("\"ledger\"", "\"leger\"", "`ledger` is missing; an address is expected, as stage `a` calls"),
        ("8c1f30d27a5be964", "seed", "`seed` is \"seed\"; up to 16 hex digits"),
        ("\"sockets\":64", "\"sockets\":3", "`limits.sockets` is 3; at least"),
        ("\"stop_ms\":3000", "\"stop_ms\":\"soon\"", "`stop_ms` cannot be read: "),
        ("\"cores\":4", "\"cores\":0", "`settings.specifics.cores` is 0; at least 1"),
        ("\"promise-ms\":10000", "\"promise-ms\":0", "`settings.lanes[0].promise-ms` is 0"),
        ("\"name\":\"a\"", "\"name\":\"a b\"", "`settings.lanes[0].name` is \"a b\"; one word"),
        ("\"importance\":1", "\"importance\":[]", "`settings.lanes[0].importance` cannot be read"),
        (
            "\"say\":\"credit\"",
            "\"say\":\"kredit\"",
            "`settings.specifics.say` cannot be read: unknown variant",
        ),
        ("\"pause\"", "\"stop\"", "`settings.specifics.stop-mode` cannot be read: unknown variant"),
        ("\"cores\":4", "\"below\":\"ledger\",\"cores\":4", "`settings.specifics.below` cannot be read"),
        ("\"cores\":4", "\"below\":\"shared\",\"cores\":4", "`settings.specifics.calls-out` is missing or 0"),
        ("\"pure\"", "\"token\"", "`settings.lanes[0].dedup-window-ms` is missing or 0; a time above 0"),
        (
            "[true,true]",
            "[true]",
            "`settings.specifics.class-calls` has 1 entries; one for each of 2 `lanes`",
        ),
    ] {
        let fault = config::read(&good.replacen(from, to, 1), none).expect_err(said).to_string();
        assert!(fault.contains(said), "{fault}");
    }
}

#[test]
fn a_node_whose_stages_call_nothing_starts_without_a_ledger() {
    // The last tier of several: the node ended at once with "missing field `ledger`".
    let at = ([127, 0, 0, 1], 9).into();
    let text = world::config([at; 4]).replacen("\"ledger\"", "\"leger\"", 1).replacen(
        "[true,true]",
        "[false,false]",
        1,
    );
    assert_eq!(config::read(&text, |_| None).expect("fit").ledger, None);
}
