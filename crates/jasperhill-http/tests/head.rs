//! Parsing and encoding of heads: any input is parsed or refused, and no input causes a panic.

use jasperhill_http::{
    Response,
    head::{Framing, HEAD_MAX_BYTES, HeadError, parse_request, parse_response},
};
use proptest::prelude::*;

fn seeded_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn parsers_do_not_panic_on_arbitrary_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..600)
    ) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
    }

    #[test]
    fn truncated_request_head_needs_more_bytes(
        path in "/[a-z0-9/_-]{0,40}", length in 0usize..100_000, truncated_length in 0usize..200
    ) {
        let head_text = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        let bytes = head_text.as_bytes();
        let (head, head_length) = parse_request(bytes).unwrap().unwrap();
        prop_assert_eq!(head_length, bytes.len());
        prop_assert_eq!(head.target, path);
        prop_assert_eq!(head.framing, Framing::Length(length));
        let truncated_length = truncated_length.min(bytes.len() - 1);
        prop_assert_eq!(parse_request(&bytes[..truncated_length]).unwrap(), None);
    }

    #[test]
    fn encoded_response_is_parsed_to_same_status_and_body(status in 200u16..599, body in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assume!(status != 204 && status != 304);
        let bytes = Response::new(status, body.clone()).encode(true);
        let (head, head_length) = parse_response(&bytes).unwrap().unwrap();
        prop_assert_eq!(head.status, status);
        prop_assert_eq!(head.framing, Framing::Length(body.len()));
        prop_assert_eq!(&bytes[head_length..], &body[..]);
    }
}

#[test]
fn request_with_conflicting_framings_is_malformed() {
    let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request(head), Err(HeadError::Malformed));
    let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(parse_request(head), Err(HeadError::Malformed));
}

#[test]
fn head_longer_than_limit_is_too_long() {
    let mut head = b"GET / HTTP/1.1\r\nX: ".to_vec();
    head.resize(HEAD_MAX_BYTES, b'a');
    assert_eq!(parse_request(&head), Err(HeadError::TooLong));
}
