//! Properties of zones, names, record data and zone files. Versions with shared nodes must behave like separate maps.

use lynxtally_zones::change::diff;
use lynxtally_zones::record_data::Token;
use lynxtally_zones::{zone_file, Name, Record, RecordType, Zone};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Add(u16, u8),
    Remove(u16, u8),
    Drop(u16),
}

/// A name from few labels in up to three levels, so that names share parents.
fn name(n: u16) -> Name {
    let label = |n: u16| format!("l{}", n % 40);
    let text = match n % 3 {
        0 => label(n / 3),
        1 => format!("{}.{}", label(n / 3), label(n / 120)),
        _ => format!("{}.{}.{}", label(n / 3), label(n / 120), n / 4800),
    };
    format!("{text}.example.org").parse().expect("a valid name")
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (any::<u16>(), 0..4_u8).prop_map(|(n, d)| Step::Add(n % 3000, d)),
        2 => (any::<u16>(), 0..4_u8).prop_map(|(n, d)| Step::Remove(n % 3000, d)),
        1 => any::<u16>().prop_map(|n| Step::Drop(n % 3000)),
    ];
    proptest::collection::vec(step, 1..400)
}

type Plain = BTreeMap<Name, BTreeSet<Vec<u8>>>;

fn apply(zone: &mut Zone, plain: &mut Plain, step: &Step) {
    match step {
        Step::Add(n, d) => {
            let record = Record { name: name(*n), kind: RecordType::A, ttl: 60, data: vec![10, 0, 0, *d] };
            assert_eq!(zone.add(&record), Ok(plain.entry(name(*n)).or_default().insert(record.data)));
        }
        Step::Remove(n, d) => {
            let there = plain.get_mut(&name(*n)).is_some_and(|all| all.remove(&vec![10, 0, 0, *d]));
            assert_eq!(zone.remove(&name(*n), RecordType::A, &[10, 0, 0, *d]), there);
        }
        Step::Drop(n) => {
            let there = plain.remove(&name(*n)).is_some_and(|all| !all.is_empty());
            assert_eq!(zone.remove_set(&name(*n), RecordType::A), there);
        }
    }
    plain.retain(|_, all| !all.is_empty());
}

fn content(zone: &Zone) -> Plain {
    let mut all = Plain::new();
    zone.walk().for_each(|(name, node)| {
        for set in node.sets() {
            all.entry(name.clone()).or_default().extend(set.records().map(<[u8]>::to_vec));
        }
    });
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn versions_match_a_plain_map_and_older_ones_stay_unchanged(first in steps(), second in steps()) {
        let (mut zone, mut plain) = (Zone::new("example.org".parse().unwrap()), Plain::new());
        first.iter().for_each(|step| apply(&mut zone, &mut plain, step));
        let (old, old_plain) = (zone.clone(), plain.clone());
        second.iter().for_each(|step| apply(&mut zone, &mut plain, step));
        prop_assert_eq!(content(&zone), plain.clone());
        prop_assert_eq!(content(&old), old_plain.clone());
        prop_assert_eq!(zone.record_count(), plain.values().map(BTreeSet::len).sum::<usize>());
        prop_assert_eq!(zone.name_count(), plain.len());
        let change = diff(&old, &zone);
        let one = |all: &Plain| -> BTreeSet<(Name, Vec<u8>)> {
            all.iter().flat_map(|(n, all)| all.iter().map(move |d| (n.clone(), d.clone()))).collect()
        };
        let of = |all: &[Record]| -> BTreeSet<_> { all.iter().map(|r| (r.name.clone(), r.data.clone())).collect() };
        prop_assert_eq!(of(&change.added), one(&plain).difference(&one(&old_plain)).cloned().collect());
        prop_assert_eq!(of(&change.removed), one(&old_plain).difference(&one(&plain)).cloned().collect());
        prop_assert_eq!(content(&change.apply(&old).unwrap()), plain);
    }

    #[test]
    fn a_formatted_name_parses_to_the_same_name(octets in proptest::collection::vec(any::<u8>(), 1..60)) {
        let name = Name::root().child(&octets).unwrap();
        prop_assert_eq!(name.to_string().parse::<Name>().unwrap(), name.clone());
        prop_assert_eq!(Name::from_wire(name.wire()).unwrap(), name);
    }

    #[test]
    fn octets_as_record_data_are_refused_or_survive_formatting_and_parsing(kind in 0..300_u16, data in proptest::collection::vec(any::<u8>(), 0..60)) {
        let kind = RecordType(kind);
        if let Some(data) = kind.canonical_data(&data) {
            let text = kind.format_data(&data);
            // Splits the text into tokens; quoted strings may contain blanks.
            let mut words = Vec::new();
            let mut rest = text.as_str();
            while !rest.is_empty() {
                let quoted = rest.starts_with('"');
                let inner = if quoted { &rest[1..] } else { rest };
                let mut escaped = false;
                let end = inner.find(|c| {
                    let end = !escaped && c == if quoted { '"' } else { ' ' };
                    escaped = c == '\\' && !escaped;
                    end
                }).unwrap_or(inner.len());
                words.push(Token { text: &inner.as_bytes()[..end], quoted });
                rest = inner.get(end + 1..).unwrap_or("").trim_start_matches(' ');
            }
            let opaque = data.is_empty() || text.ends_with(' ') || text.contains("  ");
            if !opaque {
                let origin = Name::root();
                prop_assert_eq!(kind.parse_data(&words, Some(&origin)).map_err(|bad| format!("{text:?}: {bad:?}")), Ok(data));
            }
        }
    }

    #[test]
    fn an_arbitrary_text_is_parsed_without_a_panic(text in "[a-z@.$()\\\\\";0-9 \t\n]{0,200}") {
        let read = zone_file::read("z", text.as_bytes(), None, zone_file::ZoneFileLimits::default(), &mut |_| Err("none".into()));
        prop_assert!(read.unusable.is_some());
        prop_assert!(read.faults.iter().all(|f| f.line as usize <= text.lines().count().max(1)));
    }
}

#[test]
fn a_property_tag_that_a_zone_file_can_not_hold_is_refused_in_wire_form_too() {
    let caa = RecordType(257);
    assert!(caa.canonical_data(b"\x00\x05issueca.example").is_some());
    for bad in [&b"\x00\x02\x00\x00x"[..], b"\x00\x03a bx", b"\x00\x00x", b"\x00\x09issue"] {
        assert_eq!(caa.canonical_data(bad), None, "{bad:?}");
    }
}
