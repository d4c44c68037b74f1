//! Zone files and lookups in a version of a zone.

use lynxtally_zones::change::diff;
use lynxtally_zones::lookup::{lookup, Outcome, ResponseSet};
use lynxtally_zones::zone_file::{self, ParsedZoneFile, ZoneFileLimits};
use lynxtally_zones::{Name, Record, RecordType, Serial, Zone};

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn read(text: &str) -> ParsedZoneFile {
    zone_file::read("z", text.as_bytes(), Some(&name("example.org")), ZoneFileLimits::default(), &mut |_| {
        Err("none".into())
    })
}

const HEAD: &str = "$TTL 300\n@ SOA ns hostmaster 7 3600 600 86400 60\n@ NS ns\nns A 192.0.2.1\n";

fn zone(rest: &str) -> Zone {
    let read = read(&format!("{HEAD}{rest}"));
    assert_eq!((read.faults, read.unusable), (vec![], None));
    read.zone
}

fn formatted(all: &[ResponseSet]) -> Vec<String> {
    let line = |entry: &ResponseSet| {
        let owner = Name::from_wire(&entry.owner).expect("a valid name");
        let text =
            |data: &[u8]| format!("{owner} {} {} {}", entry.ttl, entry.kind, entry.kind.format_data(data));
        entry.records().map(text).collect::<Vec<_>>()
    };
    all.iter().flat_map(line).collect()
}

fn ask(zone: &Zone, what: &str, kind: RecordType) -> (Outcome, Vec<String>, Vec<String>, Vec<String>) {
    let what = name(what);
    let found = lookup(zone, what.wire(), kind);
    (found.outcome, formatted(&found.answer), formatted(&found.authority), formatted(&found.additional))
}

#[test]
fn a_zone_file_is_parsed_and_written_back_unchanged() {
    let text = "\u{feff}$ORIGIN example.org.\r\n$TTL 1h30m\r\n@ IN SOA ns.example.org. host\\.master ( 1 ; serial\r\n\
                \t2h 10m\r\n 2W 60 ) ; done\r\n  NS ns\r\n  IN 60 MX 10 mail\r\nns 5 IN A 192.0.2.1\r\n\
                IN.sub IN 7 TXT \"a;b (c)\" d\\032e \\\"f\\\" \"\\065\"\r\n$ORIGIN sub\r\n\
                x AAAA 2001:db8::1\r\nY CNAME @\r\nz TYPE731 \\# 3 abcd 01\r\nw A \\# 4 C0000205\r\n\
                c CAA 0 issue \"ca.example\"\r\ns SRV 0 5 80 x.sub.example.org.\r\ni HINFO \"a b\" c\r\n";
    let first = read(text);
    assert_eq!((first.faults, first.unusable), (vec![], None));
    let zone = first.zone;
    assert_eq!(zone.record_count(), 12);
    let mx = zone.set(&name("example.org"), RecordType::MX).expect("the record set exists");
    assert_eq!((mx.ttl, mx.count()), (60, 1));
    assert_eq!(zone.set(&name("ns.example.org"), RecordType::A).expect("the record set exists").ttl, 5);
    assert_eq!(zone.soa_set().expect("the record set exists").ttl, 5400);
    let txt = zone.set(&name("in.sub.example.org"), RecordType::TXT).expect("the record set exists");
    assert_eq!(
        RecordType::TXT.format_data(txt.records().next().expect("the set has a record")),
        r#""a;b (c)" "d e" "\"f\"" "A""#
    );
    assert!(zone.set(&name("y.sub.example.org"), RecordType::CNAME).is_some(), "names are case-insensitive");
    let again = read(&zone_file::write(&zone));
    assert_eq!((again.faults, again.unusable), (vec![], None));
    assert!(diff(&zone, &again.zone).is_empty());
}

#[test]
fn an_invalid_record_is_refused_with_its_position_and_valid_ones_are_kept() {
    let bad = [
        ("a A 300.1.1.1", "5:5: \"300.1.1.1\" is not a valid IPv4 address"),
        ("a A", "5:3: A data is incomplete"),
        ("a A 192.0.2.1 192.0.2.2", "5:15: too many fields in A data"),
        ("a FROB x", "5:3: \"FROB\" is not a record type"),
        ("a CH TXT x", "5:3: the class is not IN"),
        ("a TXT \"open", "5:7: a quote that is not closed on its line"),
        ("a TXT )", "5:7: a parenthesis that was not opened"),
        ("a..b A 192.0.2.1", "5:1: a name with an empty label"),
        ("elsewhere.test. A 192.0.2.1", "5:1: elsewhere.test. A: the owner is outside the zone"),
        ("ns CNAME www", "5:1: ns.example.org. CNAME: CNAME can't coexist with other records of the name"),
        ("$FROB", "5:1: $FROB is not a known directive"),
        ("$INCLUDE ../etc/passwd", "5:10: \"../etc/passwd\" is not within the zone's folder"),
        ("a TYPE9 \\# 3 00", "5:12: the length says 3, the data has 1 octets"),
        ("a MX 10", "5:6: MX data is incomplete"),
        ("a 99999999999 A 192.0.2.1", "5:3: not a valid time in seconds"),
        ("a AXFR x", "5:3: AXFR is not allowed in a zone"),
    ];
    for (line, wanted) in bad {
        let read = read(&format!("{HEAD}{line}\ngood A 192.0.2.9\n"));
        assert_eq!(read.faults.iter().map(ToString::to_string).collect::<Vec<_>>(), [format!("z:{wanted}")]);
        assert_eq!((read.refused, read.zone.record_count(), read.unusable), (1, 4, None), "{line}");
    }
}

#[test]
fn one_invalid_record_does_not_affect_ten_thousand_others() {
    let mut text = HEAD.to_owned();
    for n in 0..10_000 {
        text += &if n == 6000 {
            "h6000 A 192.0.2\n".into()
        } else {
            format!("h{n} A 10.0.{}.{}\n", n / 256, n % 256)
        };
    }
    let read = read(&text);
    assert_eq!((read.zone.record_count(), read.refused), (3 + 9999, 1));
    assert_eq!(read.faults[0].to_string(), "z:6005:9: \"192.0.2\" is not a valid IPv4 address");
}

#[test]
fn parsing_resumes_on_the_line_after_an_unclosed_parenthesis() {
    let text =
        format!("{HEAD}bad TXT ( \"x\"\na A 192.0.2.1\nb TXT ( \"y\"\n \"z\" )\nc A 192.0.2.3\nd TXT ( x\n");
    let read = read(&text);
    let faults: Vec<String> = read.faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        faults,
        [
            "z:5:9: a parenthesis that is not closed before the next one",
            "z:10:7: a parenthesis that is not closed"
        ]
    );
    assert_eq!(read.zone.record_count(), 6);
}

#[test]
fn a_record_without_an_owner_is_refused_after_a_refused_owner() {
    let read = read(&format!("{HEAD}a A 192.0.2.1\nb..c A 192.0.2.2\n  A 192.0.2.3\n"));
    assert_eq!(read.refused, 2);
    assert_eq!(read.faults[1].to_string(), "z:7:3: the owner is missing and the owner before it was refused");
    assert_eq!(
        read.zone.set(&name("a.example.org"), RecordType::A).expect("the record set exists").count(),
        1
    );
}

#[test]
fn an_unusable_zone_file_is_reported_with_the_reason() {
    let unusable = |text: &str, limits: ZoneFileLimits| {
        let read = zone_file::read("z", text.as_bytes(), Some(&name("example.org")), limits, &mut |_| {
            Err("none".into())
        });
        read.unusable.map(|fault| fault.to_string())
    };
    let plain = ZoneFileLimits::default();
    assert_eq!(unusable("a 5 A 192.0.2.1\n", plain), Some("z:1:1: the zone has no SOA".into()));
    let two = format!("{HEAD}@ SOA ns x 8 1 1 1 1\n");
    let why = "example.org. SOA: a second SOA, or one that is not at the apex";
    assert_eq!(unusable(&two, plain), Some(format!("z:5:1: {why}")));
    let bad = format!("{HEAD}a A x\nb A x\n");
    let few = ZoneFileLimits { max_refused: 1, ..plain };
    assert_eq!(unusable(&bad, few), Some("z:1:1: 2 records refused; 1 are allowed".into()));
    assert_eq!(unusable(&bad, ZoneFileLimits { max_refused: 2, ..plain }), None);
}

#[test]
fn includes_are_limited_in_depth_and_restore_origin_and_owner() {
    let mut include = |path: &str| match path {
        "part" => Ok(b"a A 192.0.2.1\n$ORIGIN deep\nb A 192.0.2.2\n".to_vec()),
        "loop" => Ok(b"$INCLUDE loop\n".to_vec()),
        _ => Err("no such file".to_owned()),
    };
    let text =
        format!("{HEAD}$INCLUDE part sub\n  A 192.0.2.8\nc A 192.0.2.3\n$INCLUDE gone\n$INCLUDE loop\n");
    let read = zone_file::read(
        "z",
        text.as_bytes(),
        Some(&name("example.org")),
        ZoneFileLimits::default(),
        &mut include,
    );
    for there in ["a.sub.example.org", "b.deep.sub.example.org", "c.example.org"] {
        assert!(read.zone.node(name(there).wire()).is_some(), "{there}");
    }
    assert_eq!(
        read.zone.set(&name("ns.example.org"), RecordType::A).expect("the record set exists").count(),
        2,
        "the owner from before $INCLUDE applies again"
    );
    let faults: Vec<String> = read.faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        faults,
        ["z:8:10: \"gone\": no such file", "loop:1:1: $INCLUDE directives are nested more than 8 deep"]
    );
}

#[test]
fn lookups_follow_aliases_wildcards_and_delegations() {
    let zone = zone(
        "www CNAME track1\ntrack1 A 192.0.2.2\n  AAAA 2001:db8::2\n*.pool A 192.0.2.9\n*.pool TXT x\n\
         real.pool MX 5 track1\na.b.pool A 192.0.2.3\nkid NS ns.kid\nns.kid A 192.0.2.4\n  AAAA 2001:db8::4\n\
         kid DS 1 8 2 AB\nold DNAME pool\nout CNAME far.test.\nloop1 CNAME loop2\nloop2 CNAME loop1\n\
         gone CNAME nobody\n",
    );
    let soa = "example.org. 60 SOA ns.example.org. hostmaster.example.org. 7 3600 600 86400 60";
    let none: Vec<String> = vec![];
    let (outcome, answer, ..) = ask(&zone, "www.example.org", RecordType::A);
    assert_eq!(outcome, Outcome::Found);
    assert_eq!(
        answer,
        ["www.example.org. 300 CNAME track1.example.org.", "track1.example.org. 300 A 192.0.2.2"]
    );
    // A wildcard matches only names that do not exist and are not below an existing name (RFC 4592 section 2.2.1).
    assert_eq!(ask(&zone, "x.pool.example.org", RecordType::A).1, ["x.pool.example.org. 300 A 192.0.2.9"]);
    assert_eq!(
        ask(&zone, "x.y.pool.example.org", RecordType::A).1,
        ["x.y.pool.example.org. 300 A 192.0.2.9"]
    );
    assert_eq!(
        ask(&zone, "real.pool.example.org", RecordType::A),
        (Outcome::NoData, none.clone(), vec![soa.into()], vec![])
    );
    assert_eq!(ask(&zone, "x.real.pool.example.org", RecordType::A).0, Outcome::NxDomain);
    assert_eq!(
        ask(&zone, "x.b.pool.example.org", RecordType::A).0,
        Outcome::NxDomain,
        "b.pool exists as an empty non-terminal"
    );
    assert_eq!(ask(&zone, "b.pool.example.org", RecordType::A).0, Outcome::NoData);
    assert_eq!(ask(&zone, "x.pool.example.org", RecordType::MX).0, Outcome::NoData);
    // Delegations: a referral with the addresses of the name servers.
    let (outcome, answer, authority, additional) = ask(&zone, "deep.kid.example.org", RecordType::A);
    assert_eq!((outcome, answer), (Outcome::Referral, none.clone()));
    assert_eq!(authority, ["kid.example.org. 300 NS ns.kid.example.org."]);
    assert_eq!(additional.len(), 2);
    assert_eq!(ask(&zone, "kid.example.org", RecordType::DS).1, ["kid.example.org. 300 DS 1 8 2 AB"]);
    // A DNAME redirects names below its owner, but not the owner itself.
    let (outcome, answer, ..) = ask(&zone, "x.old.example.org", RecordType::A);
    assert_eq!(outcome, Outcome::Found);
    assert_eq!(answer[0], "old.example.org. 300 DNAME pool.example.org.");
    assert_eq!(answer[1], "x.old.example.org. 300 CNAME x.pool.example.org.");
    assert_eq!(answer[2], "x.pool.example.org. 300 A 192.0.2.9");
    assert_eq!(ask(&zone, "old.example.org", RecordType::A).0, Outcome::NoData);
    let long = format!(
        "{}.old.example.org",
        ["a".repeat(60), "b".repeat(60), "c".repeat(60), "d".repeat(54)].join(".")
    );
    assert_eq!(ask(&zone, &long, RecordType::A).0, Outcome::TooLong);
    // Aliases that lead out of the zone, in a loop and to a name that does not exist.
    assert_eq!(ask(&zone, "out.example.org", RecordType::A).1, ["out.example.org. 300 CNAME far.test."]);
    assert_eq!(ask(&zone, "loop1.example.org", RecordType::A).1.len(), 16);
    let (outcome, answer, authority, _) = ask(&zone, "gone.example.org", RecordType::A);
    assert_eq!((outcome, answer.len(), authority), (Outcome::NxDomain, 1, vec![soa.into()]));
    assert_eq!(ask(&zone, "track1.example.org", RecordType::ANY).1.len(), 1);
}

#[test]
fn changing_a_copy_leaves_the_earlier_version_unchanged() {
    let first = zone("a A 192.0.2.1\nb.c A 192.0.2.2\n");
    let mut next = first.clone();
    let record = |owner: &str, last: u8| Record {
        name: name(owner),
        kind: RecordType::A,
        ttl: 9,
        data: vec![192, 0, 2, last],
    };
    assert_eq!(next.add(&record("a.example.org", 5)), Ok(true));
    assert_eq!(next.add(&record("a.example.org", 5)), Ok(false));
    assert!(next.remove(&name("b.c.example.org"), RecordType::A, &[192, 0, 2, 2]));
    next.set_serial(Serial(8));
    assert!(
        next.node(name("c.example.org").wire()).is_none(),
        "a node without records and children is removed"
    );
    assert_eq!(first.set(&name("a.example.org"), RecordType::A).expect("the record set exists").count(), 1);
    assert!(first.node(name("c.example.org").wire()).is_some());
    let change = diff(&first, &next);
    assert_eq!((change.from, change.to), (Serial(7), Serial(8)));
    assert!(diff(&change.apply(&first).expect("the change applies"), &next).is_empty());
    assert!(diff(&change.reversed().apply(&next).expect("the change applies"), &first).is_empty());
    assert!(change.apply(&next).is_err(), "the change applies to the first version only");
}

#[test]
fn serials_are_compared_with_wraparound() {
    let s = Serial;
    assert!(s(0).newer_than(s(u32::MAX)) && s(5).newer_than(s(4)) && !s(4).newer_than(s(4)));
    assert!(s(u32::MAX).next() == s(0) && !s(1 << 31).newer_than(s(0)) && !s(0).newer_than(s(1 << 31)));
    assert!(s((1 << 31) - 1).newer_than(s(0)));
}
