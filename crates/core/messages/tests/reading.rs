//! Messages as they are read: what is not as it should be is refused with its place.

use lynxtally_messages::*;
use proptest::prelude::*;

fn say() -> NodeRequest {
    let want = BudgetReport {
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
        budgets: vec![want],
        wallets: vec![],
        applied_document: None,
        ends_session: false,
    }
}

fn refused(text: &str) -> String {
    decode::<NodeRequest>(text.as_bytes()).expect_err("refused").to_string()
}

#[test]
fn what_was_written_is_read() {
    assert_eq!(decode::<NodeRequest>(&encode(&say())), Ok(say()));
}

#[test]
fn versions_and_fields_that_are_not_known_and_values_out_of_range_are_refused_with_their_place() {
    let text = String::from_utf8(encode(&say())).expect("JSON");
    let told = [
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
    for (text, place) in told {
        let line = refused(&text);
        assert!(line.contains(place) && !line.contains('\n'), "{line}");
    }
    assert!(refused(&" ".repeat(MAX_MESSAGE_BYTES + 1)).contains("octets"));
}

#[test]
fn a_budget_named_twice_is_refused() {
    let mut twice = say();
    twice.budgets.push(twice.budgets[0].clone());
    assert!(refused(&String::from_utf8(encode(&twice)).expect("JSON")).contains("names `calls` twice"));
}

proptest! {
    #[test]
    fn no_octets_harm(octets in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode::<NodeRequest>(&octets).is_err());
        prop_assert!(decode::<AdminRequest>(&octets).is_err());
    }

    #[test]
    fn a_message_that_was_cut_or_changed_is_read_or_refused(at in 0_usize..200, octet in any::<u8>()) {
        let mut octets = encode(&say());
        let at = at % octets.len();
        prop_assert!(decode::<NodeRequest>(&octets[..at]).is_err());
        octets[at] = octet;
        if let Ok(read) = decode::<NodeRequest>(&octets) {
            prop_assert_eq!(decode::<NodeRequest>(&encode(&read)), Ok(read));
        }
    }
}
