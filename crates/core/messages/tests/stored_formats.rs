//! Messages written by the program before its types were renamed. Nodes, operators and coordinators of different
//! versions run side by side, so each is read and written again octet for octet, and a message that can't be read is
//! refused with the same text: refusals stand in replicated logs.

use lynxtally_messages::*;

fn lines(file: &str) -> Vec<String> {
    let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a fixture");
    text.lines().map(str::to_owned).collect()
}

fn survives<T: Message>(file: &str, count: usize) {
    let all = lines(file);
    assert_eq!(all.len(), count, "{file}");
    for line in all {
        let message: T = decode(line.as_bytes()).expect("a message of today");
        assert_eq!(String::from_utf8(encode(&message)).expect("JSON"), line, "{file}");
    }
}

#[test]
fn what_nodes_send_and_are_sent_keeps_its_octets() {
    survives::<NodeRequest>("node_requests.jsonl", 3);
    survives::<NodeResponse>("replies.jsonl", 10);
}

#[test]
fn what_operators_send_and_are_sent_keeps_its_octets() {
    survives::<AdminRequest>("orders.jsonl", 9);
    survives::<AdminResponse>("outcomes.jsonl", 9);
}

#[test]
fn what_cannot_be_read_is_refused_with_the_same_text() {
    let all = lines("unreadable.jsonl");
    assert_eq!(all.len(), 71);
    for line in all {
        let (message, text, reason): (String, String, String) =
            serde_json::from_str(&line).expect("a line of the fixture");
        let refused = match message.as_str() {
            "say" => decode::<NodeRequest>(text.as_bytes()).err(),
            "order" => decode::<AdminRequest>(text.as_bytes()).err(),
            "reply" => decode::<NodeResponse>(text.as_bytes()).err(),
            other => panic!("no message {other}"),
        };
        assert_eq!(refused.expect("refused").to_string(), reason, "{text}");
    }
}
