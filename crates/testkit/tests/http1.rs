//! Tests for parsing and encoding complete HTTP/1.1 messages.

use bytes::Bytes;
use hawthornwall_testkit::http1::{Coding, encode_answer, parse_answer, parse_request};
use insta::assert_debug_snapshot;
use rstest::rstest;

// Guards against requests that are parsed before they are complete, or whose computed length
// differs from their framing.
#[rstest]
#[case::length("POST /a HTTP/1.1\r\nhost: b\r\ncontent-length: 3\r\n\r\nabc", "abc")]
#[case::no_body("GET /a HTTP/1.1\r\nhost: b\r\n\r\n", "")]
#[case::chunked(
    "POST / HTTP/1.1\r\nhost: b\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "abc"
)]
#[case::trailer(
    "POST / HTTP/1.1\r\nhost: b\r\ntransfer-encoding: chunked\r\n\r\n1\r\nc\r\n0\r\na: b\r\n\r\n",
    "c"
)]
fn request_length_follows_framing(#[case] text: &str, #[case] body: &str) {
    for end in 0..text.len() {
        let parsed = parse_request(&text.as_bytes()[..end]).expect("no fault");
        assert!(parsed.is_none(), "complete after {end} bytes");
    }
    let next = format!("{text}GET /next HTTP/1.1\r\nhost: b\r\n\r\n");
    let (request, length) = parse_request(next.as_bytes())
        .expect("no fault")
        .expect("complete");
    assert_eq!(
        (request.body().as_ref(), length),
        (body.as_bytes(), text.len())
    );
}

// Guards against accepting requests whose length two implementations could compute differently.
#[rstest]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nhost: b\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
)]
#[case::both(
    "POST / HTTP/1.1\r\nhost: b\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::long_chunk(
    "POST / HTTP/1.1\r\nhost: b\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabcd\r\n0\r\n\r\n"
)]
fn ambiguous_requests_are_faults(#[case] text: &str) {
    assert!(parse_request(text.as_bytes()).is_err());
}

// Guards against encoded answers that are parsed differently.
#[rstest]
#[case::fixed("fixed", Coding::Fixed)]
#[case::chunked("chunked", Coding::Chunked)]
fn answers_parse_back(#[case] name: &str, #[case] coding: Coding) {
    let answer = http::Response::builder().header("a", "b");
    let answer = answer.body(Bytes::from("x".repeat(2_500))).expect("valid");
    let bytes = encode_answer(&answer, coding);
    let (parsed, length) = parse_answer(&bytes, false)
        .expect("no fault")
        .expect("complete");
    assert_eq!((parsed.body(), length), (answer.body(), bytes.len()));
    assert_debug_snapshot!(name, parsed.headers());
}
