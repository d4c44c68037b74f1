//! Decoding of messages: a valid message decodes to what was encoded, and an invalid one is rejected with an error that
//! names the faulty field.

use lynxtally_messages::*;
use proptest::prelude::*;

fn node_request() -> NodeRequest {
    let report = BudgetReport {
        budget: "calls".into(),
        lease_version: 3,
        in_use: 1,
        demand_milliunits: 4,
        max_in_flight_us: 500_000,
    };
    NodeRequest {
        name: "n1".into(),
        incarnation: 12,
        sequence: 7,
        program_version: "0.1.0".into(),
        schema_versions: vec![1, 2],
        budgets: vec![report],
        wallets: vec![],
        applied_document: None,
        ends_session: false,
    }
}

/// The text of the error that decoding `text` as a node's request fails with.
fn decode_error(text: &str) -> String {
    decode::<NodeRequest>(text.as_bytes()).expect_err("decoding should fail").to_string()
}

#[test]
fn an_encoded_message_decodes_to_the_same_message() {
    assert_eq!(decode::<NodeRequest>(&encode(&node_request())), Ok(node_request()));
}

#[test]
fn unknown_versions_and_fields_and_values_out_of_range_are_rejected_with_the_field() {
    let text = String::from_utf8(encode(&node_request())).expect("an encoded message should be UTF-8");
    let cases = [
        (text.replace("\"v\":1", "\"v\":2"), "`v` is 2; 1 is expected"),
        (text.replace("\"over\"", "\"done\""), "unknown field `done`"),
        (text.replace("\"need\":4", "\"need\":-4"), "`say.wants[0].need`"),
        (text.replace("\"need\":4", "\"need\":1e3"), "`say.wants[0].need`"),
        (
            text.replace("\"in_use\":1", "\"in_use\":99999999999999"),
            "`say.wants[0].in_use` is 99999999999999",
        ),
        (text.replace("n1", "two words"), "`say.name` is \"two words\""),
        (text.replace("\"number\":7", "\"number\":0"), "`say.number` is 0"),
        (format!("{text} more"), "`v` can't be read"),
        (String::new(), "`v` can't be read"),
    ];
    for (text, expected) in cases {
        let error = decode_error(&text);
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    assert!(decode_error(&" ".repeat(MAX_MESSAGE_BYTES + 1)).contains("octets"));
}

#[test]
fn a_request_that_names_a_budget_twice_is_rejected() {
    let mut request = node_request();
    request.budgets.push(request.budgets[0].clone());
    let text = String::from_utf8(encode(&request)).expect("an encoded message should be UTF-8");
    assert!(decode_error(&text).contains("names `calls` twice"));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode::<NodeRequest>(&bytes).is_err());
        prop_assert!(decode::<AdminRequest>(&bytes).is_err());
    }

    #[test]
    fn a_truncated_message_is_rejected_and_a_changed_one_is_rejected_or_valid(
        offset in 0_usize..200,
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&node_request());
        let offset = offset % bytes.len();
        prop_assert!(decode::<NodeRequest>(&bytes[..offset]).is_err());
        bytes[offset] = byte;
        if let Ok(decoded) = decode::<NodeRequest>(&bytes) {
            prop_assert_eq!(decode::<NodeRequest>(&encode(&decoded)), Ok(decoded));
        }
    }
}
