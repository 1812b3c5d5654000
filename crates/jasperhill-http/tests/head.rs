//! Parsing and encoding of heads: any input is parsed or refused, and never panics.

use jasperhill_http::{
    Response,
    head::{Framing, HEAD_MAX, HeadError, parse_request, parse_response},
};
use proptest::prelude::*;

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_bytes_are_parsed_or_refused_but_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..600)
    ) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
    }

    #[test]
    fn heads_survive_being_cut_anywhere(
        path in "/[a-z0-9/_-]{0,40}", length in 0usize..100_000, cut in 0usize..200
    ) {
        let text = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        let bytes = text.as_bytes();
        let (head, used) = parse_request(bytes).unwrap().unwrap();
        prop_assert_eq!(used, bytes.len());
        prop_assert_eq!(head.target, path);
        prop_assert_eq!(head.framing, Framing::Length(length));
        let cut = cut.min(bytes.len() - 1);
        prop_assert_eq!(parse_request(&bytes[..cut]).unwrap(), None);
    }

    #[test]
    fn responses_round_trip(status in 200u16..599, body in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assume!(status != 204 && status != 304);
        let bytes = Response::new(status, body.clone()).encode(true);
        let (head, used) = parse_response(&bytes).unwrap().unwrap();
        prop_assert_eq!(head.status, status);
        prop_assert_eq!(head.framing, Framing::Length(body.len()));
        prop_assert_eq!(&bytes[used..], &body[..]);
    }
}

#[test]
fn two_framings_are_refused() {
    let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request(head), Err(HeadError::Malformed));
    let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(parse_request(head), Err(HeadError::Malformed));
}

#[test]
fn an_endless_head_is_refused() {
    let mut head = b"GET / HTTP/1.1\r\nX: ".to_vec();
    head.resize(HEAD_MAX, b'a');
    assert_eq!(parse_request(&head), Err(HeadError::TooLong));
}
