//! Tests of the codecs and of the proxied request, without sockets: input split at any place, hostile input,
//! and output that has to stay within its room.

use lynxtally_flow::coding::{Coding, GrowthLimit};
use lynxtally_stream::body_framing::{BodyDecoder, BodyEncoder};
use lynxtally_stream::body_pipe::BodyPipe;
use lynxtally_stream::content_coder::ContentCoder;
use lynxtally_stream::http::{Framing, MessageError, ParsedHead, RequestHead, ResponseHead};
use lynxtally_stream::proxied_request::{ForwardingSettings, ProxiedRequest, ProxyError};
use lynxtally_test_doubles::stream::object_bytes;
use proptest::prelude::*;

fn decode(input: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool, usize), MessageError> {
    let (mut decoder, mut body, mut at) = (BodyDecoder::new(Framing::Chunked), Vec::new(), 0);
    let ends = cuts.iter().copied().chain([input.len()]);
    for end in ends {
        let end = end.clamp(at, input.len());
        while at < end && !decoder.is_done() {
            let skipped = decoder.skip_framing(&input[at..end])?;
            let length = decoder.available(end - at - skipped);
            body.extend_from_slice(&input[at + skipped..at + skipped + length]);
            decoder.consume(length);
            at += skipped + length;
        }
    }
    Ok((body, decoder.is_done(), at))
}

#[test]
fn invalid_chunk_sizes_and_framing_are_refused() {
    for (input, bad) in [
        (&b"10000000000000000\r\n"[..], MessageError::InvalidChunkSize),
        (b"8000000000000000\r\n", MessageError::InvalidChunkSize),
        (b"00000000000000001\r\n", MessageError::InvalidChunkSize),
        (b"-1\r\n", MessageError::InvalidChunkSize),
        (b"\r\n", MessageError::InvalidChunkSize),
        (b"0x5\r\n", MessageError::InvalidChunkSize),
        (b"5\nhello", MessageError::InvalidChunkSize),
        (b"5\r\rhello", MessageError::InvalidChunk),
        (b"5\r\nhello5\r\n", MessageError::InvalidChunk),
        (b"5;a\nhello", MessageError::InvalidExtension),
        (b"0\r\nno field\r\n\r\n", MessageError::InvalidTrailer),
    ] {
        assert_eq!(decode(input, &[]), Err(bad), "{:?}", String::from_utf8_lossy(input));
    }
    let long = [b"5;".to_vec(), vec![b'e'; 300], b"\r\nhello\r\n0\r\n\r\n".to_vec()].concat();
    assert_eq!(decode(&long, &[]), Err(MessageError::InvalidExtension));
    // Each extension is short, but together they exceed the limit for a body.
    let many = b"1;eeeeeeeeeeeeeee\r\nx\r\n".repeat(2000);
    assert_eq!(decode(&many, &[]), Err(MessageError::InvalidExtension));
    let trailers = [b"0\r\n".to_vec(), b"a: b\r\n".repeat(1000)].concat();
    assert_eq!(decode(&trailers, &[]), Err(MessageError::InvalidTrailer));
    assert_eq!(decode(b"7FFFFFFFFFFFFFF\r\nab", &[]), Ok((b"ab".to_vec(), false, 19)));
}

#[test]
fn a_decompression_bomb_stays_within_the_given_room() {
    let zeros = vec![0; 30_000_000];
    for coding in [Coding::Gzip, Coding::Zstd] {
        let mut coder = ContentCoder::encoder(coding).expect("a coder");
        let mut bomb = Vec::new();
        coder.step(&zeros, &mut bomb).and_then(|_| coder.finish(&mut bomb)).expect("coded");
        let unlimited = GrowthLimit { max_ratio: 1e9, always_allowed_bytes: 0 };
        let coder = ContentCoder::decoder(coding, unlimited).expect("a decoder");
        let mut pipe = BodyPipe::new(Framing::Length(bomb.len() as u64), Framing::Chunked, coder);
        let (mut max_waiting, mut drained) = (0, 0);
        for part in bomb.chunks(4096) {
            let used = pipe.receive(part, 10_000).expect("valid input");
            assert_eq!(used, part.len());
            loop {
                max_waiting = max_waiting.max(pipe.out.len());
                drained += pipe.out.len();
                pipe.out.discard();
                if !pipe.has_undecoded() {
                    break;
                }
                pipe.decode_more(10_000).expect("valid input");
            }
        }
        assert!(pipe.is_done() && drained > 30_000_000, "{drained} bytes were decoded");
        // Two steps of 32 KB may exceed the room: one in progress, and one at the end of the body.
        assert!(max_waiting < 10_000 + 66 * 1024, "{max_waiting} bytes waited");
        // With a growth limit, decoding ends early.
        let strict = GrowthLimit { max_ratio: 20.0, always_allowed_bytes: 100_000 };
        let coder = ContentCoder::decoder(coding, strict).expect("a decoder");
        let mut pipe = BodyPipe::new(Framing::Length(bomb.len() as u64), Framing::Chunked, coder);
        assert_eq!(pipe.receive(&bomb, usize::MAX), Err(MessageError::ExpandsTooFar));
        assert!(pipe.out.len() < 200_000);
    }
}

fn forwarding_settings() -> ForwardingSettings {
    ForwardingSettings {
        max_body_bytes: 1 << 20,
        upstream_codings: vec![Coding::Identity],
        min_encoded_bytes: None,
        growth_limit: GrowthLimit { max_ratio: 100.0, always_allowed_bytes: 1 << 20 },
        keeps_body_copy: true,
        fingerprints_content: false,
        max_response_copy_bytes: 0,
    }
}

fn parse_request(text: &str) -> RequestHead {
    RequestHead::parse(text.as_bytes()).expect("valid input").expect("a complete head").head
}

#[test]
fn fields_of_one_connection_are_not_forwarded() {
    let head =
        "PUT /a?b HTTP/1.1\r\nHost: h\r\nConnection: X-Mine, close\r\nX-Mine: 1\r\nX-Kept: 2\r\nTE: x\r\n\
                Upgrade: y\r\nVia: 1.1 before\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    let mut proxied =
        ProxiedRequest::new(parse_request(head), forwarding_settings()).expect("an accepted request");
    let forwarded = String::from_utf8_lossy(proxied.request_body.out.front()).into_owned();
    assert_eq!(
        forwarded,
        "PUT /a?b HTTP/1.1\r\nHost: h\r\nX-Kept: 2\r\nVia: 1.1 before, 1.1 lynxtally\r\n\
         Content-Length: 5\r\nConnection: close\r\n\r\n"
    );
    // Only an admitted request is told to send its body.
    assert_eq!(proxied.client_output(), b"");
    proxied.on_admitted();
    assert_eq!(proxied.client_output(), b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(
        ProxiedRequest::new(
            parse_request("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n"),
            forwarding_settings()
        )
        .err(),
        Some(MessageError::BodyTooLarge)
    );
}

#[test]
fn a_body_that_is_sent_again_is_the_same_byte_for_byte() {
    let head = "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut proxied =
        ProxiedRequest::new(parse_request(head), forwarding_settings()).expect("an accepted request");
    proxied.receive_request_body(b"5\r\nhello\r\n", 1000).expect("valid input");
    let first = proxied.request_body.out.front().to_vec();
    proxied.request_body.out.consume(first.len());
    proxied.resend();
    assert_eq!(proxied.request_body.out.front(), first);
    proxied.receive_request_body(b"3\r\n you\r\n".split_at(3).0, 1000).expect("valid input");
    proxied.receive_request_body(b"you\r\n0\r\nX-After: 1\r\n\r\n", 1000).expect("valid input");
    proxied.resend();
    let again = String::from_utf8_lossy(proxied.request_body.out.front()).into_owned();
    assert!(again.ends_with("\r\n\r\n8\r\nhelloyou\r\n0\r\nX-After: 1\r\n\r\n"), "{again}");
    assert!(proxied.can_resend_body() && proxied.request_body.is_complete());
}

#[test]
fn an_invalid_response_is_an_upstream_error() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "nonsense\r\n\r\n",
    ] {
        let mut proxied =
            ProxiedRequest::new(parse_request("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), forwarding_settings())
                .expect("an accepted request");
        let error = proxied.receive_response(response.as_bytes(), 1000);
        assert!(matches!(error, Err(ProxyError::Upstream(_))), "{response:?}: {error:?}");
    }
    // Interim responses before the final one are dropped or forwarded.
    let mut proxied =
        ProxiedRequest::new(parse_request("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), forwarding_settings())
            .expect("an accepted request");
    let early =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No\r\n\r\n";
    proxied.receive_response(early, 1000).expect("valid input");
    let first = String::from_utf8_lossy(proxied.client_output()).into_owned();
    assert_eq!(first, "HTTP/1.1 103 Other\r\nLink: </a>\r\n\r\n");
    proxied.consume_client_output(first.len());
    assert!(proxied.client_output().starts_with(b"HTTP/1.1 204 "));
    assert!(proxied.is_response_complete());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// A body is decoded the same however it is split into chunks and its bytes into reads.
    #[test]
    fn a_body_is_decoded_the_same_however_it_is_split(sizes in proptest::collection::vec(1..700_usize, 0..12), mut cuts in proptest::collection::vec(0..9000_usize, 0..20)) {
        let whole = object_bytes(0, sizes.iter().sum::<usize>() as u64);
        let (mut encoder, mut framed, mut at) = (BodyEncoder::new(Framing::Chunked), Vec::new(), 0);
        for size in sizes {
            encoder.write(&whole[at..at + size], &mut framed);
            at += size;
        }
        prop_assert!(encoder.finish(&[("X-After".to_owned(), b"1".to_vec())], &mut framed).is_ok());
        let length = framed.len();
        framed.extend_from_slice(b"GET /next");
        cuts.sort_unstable();
        let (body, done, used) = decode(&framed, &cuts).expect("valid input");
        prop_assert!(done && body == whole && used == length);
        // Without its last byte the body is not complete.
        let (_, done, _) = decode(&framed[..length - 1], &cuts).expect("valid input");
        prop_assert!(!done);
    }

    /// Arbitrary input neither makes the codecs panic nor takes unbounded memory.
    #[test]
    fn arbitrary_input_is_parsed_refused_or_incomplete(input in proptest::collection::vec(any::<u8>(), 0..2000), text in "[A-Z]{3,4} /[a-z]{0,5} HTTP/1.[01]\r\n([A-Za-z-]{1,20}: ?[ -~]{0,30}\r\n){0,6}\r\n?") {
        for input in [&input[..], text.as_bytes()] {
            if let Ok(Some(ParsedHead { head: parsed, length })) = RequestHead::parse(input) {
                prop_assert!(length <= input.len());
                if let Ok(mut proxied) = ProxiedRequest::new(parsed, forwarding_settings()) {
                    let _ = proxied.receive_response(input, 1000);
                    prop_assert!(proxied.buffered_response_bytes() <= 4000);
                }
            }
            let _ = ResponseHead::parse(input, "GET");
            let _ = decode(input, &[1, 5, 50]);
        }
    }
}
