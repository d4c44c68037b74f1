//! The codecs, tested without sockets: messages that are split at any byte, concatenated, truncated or too long.

use lynxtally::{CallOutcome, Span};
use lynxtally_engine::FinalResponse;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_node::config;
use lynxtally_node::executor_link::{Command, EventReader, NumberedEvent};
use lynxtally_node::http::{
    ClientMessage, Framed, MessageReader, ParseError, ReceivedRequest, RequestSchema, MAX_HEAD_BYTES,
    MAX_REQUEST_BODY_BYTES,
};
use lynxtally_node::messages::{CallEnd, CommandName, ExecutorEvent, RunStatus};
use lynxtally_node::response::{self, ResponseContext};

mod doubles;
use doubles::{config as config_text, Addresses};

const REQUEST: &str = "POST /ops/a HTTP/1.1\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\nx-arrived-ms: 1764576000123\r\n\
    X-Upstream-Peer: 4\r\nX-Org: acme\r\nX-Need-Kb: 24.5\r\nX-Criticality: 0.6250\r\nContent-Length: 4\r\n\r\nb\r\n\0";

/// The current Unix time in milliseconds, shortly after the request's arrival time.
const NOW_MS: u64 = 1_764_576_000_200;

fn schema() -> RequestSchema {
    RequestSchema {
        classes: vec!["b".into(), "a".into()],
        tenants: vec!["acme".into()],
        max_deadline_ms: 2000,
    }
}

fn request() -> ReceivedRequest {
    ReceivedRequest {
        id: "9b1f03aa5c7e2d41".into(),
        arrived_ms: 1_764_576_000_123,
        class: 1,
        tenant: Some(0),
        client: 4,
        deadline_ms: None,
        expected_work_ms: None,
        is_retry: false,
        memory_kb: 24.5,
        criticality: 0.625,
        subject: None,
        idempotency_key: None,
        body: b"b\r\n\0".to_vec(),
    }
}

fn parse(text: &str) -> Result<Option<Framed<ClientMessage>>, ParseError> {
    MessageReader { buffer: text.as_bytes().to_vec() }.next_client_message(&schema(), NOW_MS)
}

#[test]
fn a_request_split_at_any_point_is_the_same_request() {
    for at in 0..REQUEST.len() {
        let mut reader = MessageReader { buffer: REQUEST.as_bytes()[..at].to_vec() };
        assert_eq!(reader.next_client_message(&schema(), NOW_MS), Ok(None), "split at byte {at}");
        reader.buffer.extend_from_slice(&REQUEST.as_bytes()[at..]);
        let message = reader
            .next_client_message(&schema(), NOW_MS)
            .expect("parse the bytes")
            .expect("complete message");
        assert_eq!(
            message,
            Framed { content: ClientMessage::Request(Box::new(request())), closes_connection: false }
        );
        assert!(reader.buffer.is_empty());
    }
}

/// Guards against late responses to clients whose own deadline is much shorter than the deadline of the class.
/// Without the header, the node answered requests whose client had stopped waiting.
#[test]
fn a_request_may_carry_a_deadline_an_estimate_and_a_retry_mark() {
    let with = |fields: &str| match parse(&REQUEST.replace("X-Org", &format!("{fields}\r\nX-Org"))) {
        Ok(Some(Framed { content: ClientMessage::Request(request), .. })) => {
            (request.deadline_ms, request.expected_work_ms, request.is_retry)
        }
        other => panic!("{other:?}"),
    };
    let parsed = with("X-Deadline-Ms: 1500\r\nX-Estimate-Ms: 466.58\r\nX-Resent: 1");
    assert_eq!(parsed, (Some(1_764_576_001_623), Some(466.58), true));
    let huge = with("X-Deadline-Ms: 999999999999999999999\r\nX-Estimate-Ms: 0\r\nX-Resent: 0");
    assert_eq!(huge, (Some(1_764_576_002_123), None, false), "capped at the longest deadline");
    let bad = |field: &str| {
        parse(&REQUEST.replace("X-Org", &format!("{field}\r\nX-Org")))
            .expect_err("an invalid message was accepted")
            .status()
    };
    assert_eq!((bad("X-Deadline-Ms: soon"), bad("X-Estimate-Ms: -1")), (400, 400));
}

#[test]
fn several_messages_in_one_read_are_returned_in_order() {
    let text = format!("{REQUEST}GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n{REQUEST}");
    let mut reader = MessageReader { buffer: text.into_bytes() };
    let mut next = || reader.next_client_message(&schema(), NOW_MS).expect("parse the bytes");
    assert!(matches!(next(), Some(Framed { content: ClientMessage::Request(_), closes_connection: false })));
    assert_eq!(next(), Some(Framed { content: ClientMessage::HealthCheck, closes_connection: true }));
    assert!(matches!(next(), Some(Framed { content: ClientMessage::Request(_), .. })));
    assert_eq!(next(), None);
}

#[test]
fn a_message_that_is_not_accepted_gets_the_status_for_its_fault() {
    let with = |from: &str, to: &str| {
        parse(&REQUEST.replace(from, to)).expect_err("an invalid message was accepted").status()
    };
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
    // The scheduler would learn a wrong receive delay from an arrival time that is far from the current time.
    for arrived in ["0", "1764575990000", "1764576010000", "99999999999999999999", "-5", "+1764576000123"] {
        assert_eq!(with("1764576000123", arrived), 400, "{arrived}");
    }
    assert_eq!(with("Peer: 4", "Peer: +4"), 400);
    assert_eq!(with("X-Org: acme\r\n", ""), 400, "missing tenant although the settings have tenants");
    assert_eq!(with("X-Org: acme", &format!("X-Org: acme\r\nX-Subject: {}", "s".repeat(99))), 400);
    assert_eq!(with("x-arrived-ms", "x-arrived"), 400);
    assert_eq!(with("/ops/a", "/ops/c"), 400);
    assert_eq!(with("/ops/a", "/a"), 404);
    assert_eq!(with("POST", "PUT"), 405);
    assert_eq!(with("Content-Length: 4", &format!("Content-Length: {}", MAX_REQUEST_BODY_BYTES + 1)), 413);
    assert_eq!(with("Content-Length: 4", "Content-Length: 99999999999999999999999"), 413);
    assert_eq!(with("X-Org: acme", &format!("X-Other: {}", "x".repeat(MAX_HEAD_BYTES))), 431);
    assert_eq!(with("X-Org: acme", "Transfer-Encoding: chunked"), 501);
    assert_eq!(parse(&"G".repeat(MAX_HEAD_BYTES)), Err(ParseError::HeadTooLarge));
}

#[test]
fn a_call_response_determines_the_known_outcome_of_the_call() {
    let outcome = |text: &str| {
        let mut reader = MessageReader { buffer: text.as_bytes().to_vec() };
        let response = reader
            .next_call_response()
            .map(|message| message.map(|m| CallEnd::Response(m.content).outcome()));
        response.map_err(|_| CloseReason::Malformed.call_outcome(true))
    };
    let head = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(outcome(&head("200 OK")), Ok(Some(CallOutcome::Succeeded)));
    assert_eq!(outcome(&head("503 No\r\nX-Untouched: 1")), Ok(Some(CallOutcome::NotExecuted)));
    assert_eq!(outcome(&head("409 No\r\nX-Untouched: 1")), Ok(Some(CallOutcome::NotExecuted)));
    assert_eq!(outcome(&head("503 No")), Ok(Some(CallOutcome::MaybeExecuted)));
    assert_eq!(outcome(&head("504 Late")), Ok(Some(CallOutcome::MaybeExecuted)));
    assert_eq!(outcome(&head("200 OK")[..30]), Ok(None), "an incomplete response");
    let announced = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Untouched: 1\r\n\r\n{}",
        head("200 OK")
    );
    assert_eq!(outcome(&announced), Ok(Some(CallOutcome::Succeeded)), "a 1xx response is not final");
    assert_eq!(outcome(&announced[..60]), Ok(None));
    assert_eq!(outcome("HTTP/1.1 101 Switching\r\n\r\n"), Err(CallOutcome::MaybeExecuted));
    assert_eq!(outcome("HTTP/1.1 200 OK\r\n\r\n"), Err(CallOutcome::MaybeExecuted), "no Content-Length");
    assert_eq!(outcome(&head("200 OK").replace("2\r", "99999999\r")), Err(CallOutcome::MaybeExecuted));
    for end in CloseReason::ALL {
        assert_eq!(
            end.call_outcome(false),
            CallOutcome::NotExecuted,
            "{end}: no byte of the call was written"
        );
    }
    assert_eq!(CloseReason::Reset.call_outcome(true), CallOutcome::MaybeExecuted);
}

#[test]
fn events_split_at_any_point_are_the_same_events() {
    let text =
        b"BOOTED COLD 1500.25\r\nIOREQ 1 9b 4\r\nb\r\n\0\r\nREAP 2 9b OK 3.5 2\r\n\r\n\r\nINFO gauges-5 0.5 1\r\nINFO sync-7 0 0\r\n\
        EINVAL SCHED 9b\r\nDMESG 3  all \xff is \t well\r\nREAP 4 9c STOPPED 1 0\r\n\r\n";
    let expected = [
        NumberedEvent {
            number: None,
            event: ExecutorEvent::Started { cold_start: true, uptime_ms: 1500.25 },
        },
        NumberedEvent {
            number: Some(1),
            event: ExecutorEvent::CallRequested { id: "9b".into(), body: b"b\r\n\0".to_vec() },
        },
        NumberedEvent {
            number: Some(2),
            event: ExecutorEvent::RunEnded {
                id: "9b".into(),
                status: RunStatus::Succeeded,
                result: b"\r\n".to_vec(),
            },
        },
        NumberedEvent { number: None, event: ExecutorEvent::Gauges { number: 5, values: vec![0.5, 1.0] } },
        NumberedEvent { number: None, event: ExecutorEvent::CaughtUp { link: 7 } },
        NumberedEvent {
            number: None,
            event: ExecutorEvent::CommandRefused { command: CommandName::Start, id: "9b".into() },
        },
        NumberedEvent { number: Some(3), event: ExecutorEvent::LogLine("3 all \u{fffd} is well".into()) },
        NumberedEvent {
            number: Some(4),
            event: ExecutorEvent::RunEnded { id: "9c".into(), status: RunStatus::Stopped, result: vec![] },
        },
    ];
    for at in 0..text.len() {
        let mut reader = EventReader::default();
        let mut read = Vec::new();
        for part in [&text[..at], &text[at..]] {
            reader.buffer().extend_from_slice(part);
            while let Some(event) = reader.next_event().expect("parse the bytes") {
                read.push(event);
            }
        }
        assert_eq!(read, expected, "split at byte {at}");
        assert!(reader.is_empty());
    }
}

#[test]
fn an_event_that_cannot_be_parsed_closes_the_link() {
    let long = "x".repeat(2000);
    for text in [
        "HELLO\r\n",
        "REAP 1 9b OK 3 x\r\n",
        "REAP 1 9b WELL 3 0\r\n\r\n",
        "IOREQ 1 9b 1\r\nabc",
        "INFO t NaN\r\n",
        &long,
    ] {
        let mut reader = EventReader::default();
        reader.buffer().extend_from_slice(text.as_bytes());
        assert_eq!(reader.next_event(), Err(CloseReason::Malformed), "{text:?}");
    }
    // A log line may be longer than other lines and have any content.
    let mut reader = EventReader::default();
    reader.buffer().extend_from_slice(format!("DMESG 8 {}{long}\r\n", &long[..1500]).as_bytes());
    assert!(matches!(
        reader.next_event(),
        Ok(Some(NumberedEvent { number: Some(8), event: ExecutorEvent::LogLine(_) }))
    ));
}

#[test]
fn commands_carry_their_bodies_unchanged() {
    let mut out = Vec::new();
    Command::Start { id: "9b".into(), class: "a".into(), body: b"\r\n\0".to_vec() }.write(&mut out);
    Command::Stop("9b".into()).write(&mut out);
    Command::Resume("9b".into()).write(&mut out);
    Command::CallResponse { id: "9b".into(), body: vec![] }.write(&mut out);
    Command::ReportGauges(5).write(&mut out);
    Command::ReportCaughtUp(3).write(&mut out);
    Command::ReplayAfter(12).write(&mut out);
    let expected = b"SCHED 9b a 3\r\n\r\n\0\r\nPREEMPT 9b\r\nRESCHED 9b\r\nIODONE 9b 0\r\n\r\n\
        SYSINFO gauges-5\r\nSYSINFO sync-3\r\nOPEN 12\r\n";
    assert_eq!(out, expected);
}

#[test]
fn a_rejection_carries_retry_after_and_no_retry() {
    let text = |response: &FinalResponse, closes_connection| {
        let mut out = Vec::new();
        let context = ResponseContext { capacity: Some(2.25), closes_connection };
        response::write(&mut out, response, context);
        String::from_utf8(out).expect("valid UTF-8")
    };
    let rejected = FinalResponse::Rejected { retry_after: Span::from_micros(250_400), no_retry: true };
    let expected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Backend-Says: 2.25\r\n\
        X-Pushback-Ms: 251\r\nX-Stop-Trying: 1\r\n\r\n";
    assert_eq!(text(&rejected, false), expected);
    assert!(text(&FinalResponse::Failed, true).contains("\r\nConnection: close\r\n"));
}

#[test]
fn the_error_of_an_invalid_configuration_names_the_key() {
    let at = ([127, 0, 0, 1], 9).into();
    let good = config_text(Addresses::all(at));
    let none = |_: &str| None;
    assert_eq!(config::parse(&good, none).expect("valid configuration").name, "n1");
    let own = |name: &str| (name == "RELAY_NAME").then(|| "n7".to_owned());
    assert_eq!(
        config::parse(&good, own).expect("valid configuration").name,
        "n7",
        "the environment overrides the file"
    );
    for (from, to, expected) in [
        ("{", "", "invalid JSON: "),
        ("\"kernel\"", "\"colonel\"", "missing field `kernel`"),
        ("\"ledger\":\"127.0.0.1:9\"", "\"ledger\":\"there\"", "`ledger` is \"there\"; an address"),
        (
            "\"ledger\"",
            "\"leger\"",
            "`ledger` is missing; an address is expected, as request class `a` makes downstream calls",
        ),
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
        let error = config::parse(&good.replacen(from, to, 1), none).expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against a failed start of nodes in the last tier, whose request classes make no calls and which have no
/// address of a dependency. Such a node once ended at once with "missing field `ledger`".
#[test]
fn a_node_whose_classes_call_nothing_starts_without_a_dependency() {
    let at = ([127, 0, 0, 1], 9).into();
    let text = config_text(Addresses::all(at)).replacen("\"ledger\"", "\"leger\"", 1).replacen(
        "[true,true]",
        "[false,false]",
        1,
    );
    assert_eq!(config::parse(&text, |_| None).expect("valid configuration").downstream, None);
}
