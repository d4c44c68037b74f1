//! The codec with arbitrary input: it must not panic, must do bounded work, and must keep responses within their limit.

use lynxtally_dns::client::query;
use lynxtally_dns::codec::{
    write_response, OutgoingRequest, Request, RequestBody, RequestError, Response, ResponseCode,
    ResponseContent, ResponseLimits,
};
use lynxtally_dns::cookie::Secret;
use lynxtally_zones::lookup::lookup;
use lynxtally_zones::{zone_file, Name, RecordType, Zone};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn zone() -> Zone {
    let mut text = "$TTL 300\n@ SOA ns host 1 1 1 1 60\n@ NS ns\nns A 192.0.2.1\nwww CNAME many\n".to_owned();
    (0..100).for_each(|n| text += &format!("many A 10.0.0.{n}\nmany TXT \"{n}\"\n"));
    zone_file::read(
        "z",
        text.as_bytes(),
        Some(&name("example.org")),
        zone_file::ZoneFileLimits::default(),
        &mut |_| Err("x".into()),
    )
    .zone
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

fn answer(request: &Request, max_bytes: usize) -> Vec<u8> {
    let zone = zone();
    let found = lookup(&zone, request.name.wire(), request.kind);
    let content = ResponseContent {
        code: Some(ResponseCode::NOERROR),
        answer: &found.answer,
        authority: &found.authority,
        additional: &found.additional,
        ..ResponseContent::default()
    };
    write_response(request, &content, ResponseLimits { max_bytes, udp_payload_bytes: 1232 }, None)
}

#[test]
fn responses_parse_and_are_truncated_to_their_limit() {
    let octets = query(77, &name("www.example.org"), RecordType::A).write(None);
    let request = Request::read(&octets).expect("it can be read");
    assert_eq!((request.id, request.body.clone(), request.kind), (77, RequestBody::Query, RecordType::A));
    let whole = Response::read(&answer(&request, 65_535)).expect("it can be read");
    assert_eq!((whole.id, whole.sections[0].len(), whole.truncated), (77, 101, false));
    for max_bytes in [octets.len(), 100, 512, 1232] {
        let cut = answer(&request, max_bytes);
        assert!(cut.len() <= max_bytes, "{} of {max_bytes}", cut.len());
        let cut = Response::read(&cut).expect("it can be read");
        assert!(cut.truncated && cut.sections[0].is_empty());
        assert_eq!(
            &answer(&request, max_bytes)[12..12 + request.question_octets.len()],
            &octets[12..12 + request.question_octets.len()]
        );
    }
}

#[test]
fn looping_truncated_and_malformed_messages_are_refused_quickly() {
    let loops = [
        &b"\0\x01\0\0\0\x01\0\0\0\0\0\0\xc0\x0c\0\x01\0\x01"[..],
        &b"\0\x01\0\0\0\x01\0\0\0\0\0\0\x01a\xc0\x0c\0\x01\0\x01"[..],
        &b"\0\x01\0\0\xff\xff\xff\xff\xff\xff\xff\xff\0\0\x01\0\x01"[..],
        &b"\0\x01\x28\0\0\x01\xff\xff\xff\xff\0\0\0\0\x06\0\x01"[..],
    ];
    for octets in loops {
        assert!(
            matches!(Request::read(octets), Err(RequestError::Respond(answer)) if answer[3] & 0xf == 1 && answer.len() == 12)
        );
    }
    assert_eq!(Request::read(&[0; 11]), Err(RequestError::Ignore));
    let answer =
        answer(&Request::read(&query(1, &name("a"), RecordType::A).write(None)).expect("readable"), 512);
    assert_eq!(Request::read(&answer), Err(RequestError::Ignore), "a response is not answered");
    // A message of the greatest length, filled with compression pointers that each point to the one before.
    let mut large = vec![0; 65_535];
    large[..12].copy_from_slice(b"\0\x01\x28\0\0\x01\0\0\xff\xff\0\0");
    for at in (12..65_000).step_by(2) {
        large[at..at + 2].copy_from_slice(&(0xc000 | ((at - 2) as u16 & 0x3fff)).to_be_bytes());
    }
    let start = Instant::now();
    assert!(Request::read(&large).is_err());
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[test]
fn a_cookie_is_valid_for_its_address_for_an_hour() {
    let (secret, other) = (Secret([1; 16]), Secret([2; 16]));
    let at = |text: &str| text.parse().expect("an address");
    let cookie = secret.issue([5; 8], at("192.0.2.1"), 10_000);
    let is_valid = |secret: &Secret, client: u8, from: &str, now: u32| {
        secret.is_valid([client; 8], &cookie, at(from), now)
    };
    assert!(is_valid(&secret, 5, "192.0.2.1", 10_000) && is_valid(&secret, 5, "192.0.2.1", 13_600));
    assert!(!is_valid(&secret, 5, "192.0.2.1", 13_601) && !is_valid(&secret, 5, "192.0.2.1", 9_699));
    assert!(!is_valid(&secret, 6, "192.0.2.1", 10_000) && !is_valid(&secret, 5, "192.0.2.2", 10_000));
    assert!(
        !is_valid(&other, 5, "192.0.2.1", 10_000)
            && !secret.is_valid([5; 8], &cookie[..8], at("192.0.2.1"), 10_000)
    );
    // The example of RFC 9018 appendix A.1.
    let secret = Secret(hex("e5e973e5a6b2a43f48e7dc849e37bfcf").try_into().expect("sixteen"));
    let client: [u8; 8] = hex("2464c4abcf10c957").try_into().expect("eight");
    let made = secret.issue(client, at("198.51.100.100"), 1_559_731_985);
    assert_eq!(made.to_vec(), hex("010000005cf79f111f8130c3eee29480"));
}

fn hex(text: &str) -> Vec<u8> {
    data_encoding::HEXLOWER.decode(text.as_bytes()).expect("hex")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(octets in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = Request::read(&octets) {
            let _ = answer(&request, request.length);
        }
        let _ = Response::read(&octets);
    }

    #[test]
    fn a_corrupted_message_never_panics_and_no_response_exceeds_its_request(
        flips in proptest::collection::vec((any::<u16>(), any::<u8>()), 0..6),
        cut in any::<u16>(),
        update in any::<bool>(),
    ) {
        let zone = name("example.org");
        let updates = [lynxtally_test_doubles::dns::add(&name("x.example.org"), RecordType::MX, b"\0\x05\x01y\0")];
        let question = if update {
            OutgoingRequest { opcode: 5, updates: &updates, lease: Some(60), ..query(5, &zone, RecordType::SOA) }
        } else {
            OutgoingRequest { cookie: Some(&[9; 8]), ..query(5, &zone, RecordType::NS) }
        };
        let mut octets = question.write(None);
        for (at, value) in flips {
            let at = at as usize % octets.len();
            octets[at] ^= value;
        }
        if cut % 3 == 0 {
            octets.truncate(cut as usize % (octets.len() + 1));
        }
        match Request::read(&octets) {
            Ok(request) => prop_assert!(answer(&request, request.length).len() <= octets.len()),
            Err(RequestError::Respond(answer)) => prop_assert!(answer.len() <= octets.len()),
            Err(RequestError::Ignore) => {}
        }
    }
}
