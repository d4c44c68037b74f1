//! Compatibility with messages that an older version of the program wrote, before its types were renamed.
//!
//! Nodes, operators and coordinators of different versions run side by side. Each stored message has to decode and
//! encode to the same bytes. A message that can't be decoded has to be rejected with the same text, because rejections
//! are stored in replicated logs.

use lynxtally_messages::*;

fn fixture_lines(file: &str) -> Vec<String> {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the fixture should exist");
    text.lines().map(str::to_owned).collect()
}

/// Checks that each of the `count` messages in a fixture decodes, and encodes to the same bytes again.
fn assert_encoding_unchanged<T: Message>(file: &str, count: usize) {
    let lines = fixture_lines(file);
    assert_eq!(lines.len(), count, "{file}");
    for line in lines {
        let message: T = decode(line.as_bytes()).expect("a stored message should decode");
        let encoded = String::from_utf8(encode(&message)).expect("an encoded message should be UTF-8");
        assert_eq!(encoded, line, "{file}");
    }
}

#[test]
fn node_requests_and_responses_keep_their_encoding() {
    assert_encoding_unchanged::<NodeRequest>("node_requests.jsonl", 3);
    assert_encoding_unchanged::<NodeResponse>("replies.jsonl", 10);
}

#[test]
fn admin_requests_and_responses_keep_their_encoding() {
    assert_encoding_unchanged::<AdminRequest>("orders.jsonl", 9);
    assert_encoding_unchanged::<AdminResponse>("outcomes.jsonl", 9);
}

#[test]
fn messages_that_cannot_be_decoded_are_rejected_with_the_same_text() {
    let lines = fixture_lines("unreadable.jsonl");
    assert_eq!(lines.len(), 71);
    for line in lines {
        let (message_type, text, expected): (String, String, String) =
            serde_json::from_str(&line).expect("a fixture line should have three strings");
        let error = match message_type.as_str() {
            "say" => decode::<NodeRequest>(text.as_bytes()).err(),
            "order" => decode::<AdminRequest>(text.as_bytes()).err(),
            "reply" => decode::<NodeResponse>(text.as_bytes()).err(),
            other => panic!("unknown message type in the fixture: {other}"),
        };
        assert_eq!(error.expect("decoding should fail").to_string(), expected, "{text}");
    }
}
