//! Rejection of heads whose messages two parties could delimit differently.

use hawthornwall_wire::head::{Framing, HeadFault, HeadKind, check_head, head_length};
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: usize = 8192;

/// Determines the length of a head and checks it, in the order used by the ingress.
fn read(bytes: &[u8]) -> Result<Framing, HeadFault> {
    match head_length(bytes, LIMIT)? {
        Some(length) => check_head(&bytes[..length], HeadKind::Request),
        None => Err(HeadFault::Malformed("no end of head".to_owned())),
    }
}

/// Guards against request smuggling: each case is an attempt with the fault that must be reported.
#[rstest]
#[case::both_lengths(
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    HeadFault::BothLengths
)]
#[case::both_reversed(
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
    HeadFault::BothLengths
)]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n", HeadFault::Length)]
#[case::two_equal_lengths("Content-Length: 3\r\ncontent-length: 3\r\n", HeadFault::Length)]
#[case::length_list("Content-Length: 3, 3\r\n", HeadFault::Length)]
#[case::signed_length("Content-Length: +3\r\n", HeadFault::Length)]
#[case::negative_length("Content-Length: -3\r\n", HeadFault::Length)]
#[case::empty_length("Content-Length:\r\n", HeadFault::Length)]
#[case::hex_length("Content-Length: 0x3\r\n", HeadFault::Length)]
#[case::huge_length("Content-Length: 99999999999999999999\r\n", HeadFault::Length)]
#[case::folded("X: a\r\n b\r\n", HeadFault::Folded)]
#[case::folded_tab("X: a\r\n\tb\r\n", HeadFault::Folded)]
#[case::folded_length("Content-Length:\r\n 3\r\n", HeadFault::Folded)]
#[case::chunked_twice("Transfer-Encoding: chunked, chunked\r\n", HeadFault::TransferCoding)]
#[case::two_codings(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    HeadFault::TransferCoding
)]
#[case::gzip("Transfer-Encoding: gzip, chunked\r\n", HeadFault::TransferCoding)]
#[case::identity("Transfer-Encoding: identity\r\n", HeadFault::TransferCoding)]
#[case::two_hosts("Host: c\r\n", HeadFault::Host)]
#[case::quoted_coding("Transfer-Encoding: \"chunked\"\r\n", HeadFault::TransferCoding)]
fn ambiguous_framing_is_refused(#[case] headers: &str, #[case] fault: HeadFault) {
    let head = format!("POST /a HTTP/1.1\r\nHost: b\r\n{headers}\r\n");
    assert_eq!(read(head.as_bytes()), Err(fault));
}

/// Guards against a request that another HTTP implementation on its path would route to a different
/// service.
#[rstest]
#[case::without_host("GET / HTTP/1.1\r\n\r\n", Err(HeadFault::Host))]
#[case::http_1_0("GET / HTTP/1.0\r\n\r\n", Ok(Framing::None))]
#[case::two_in_http_1_0("GET / HTTP/1.0\r\nHost: a\r\nhost: b\r\n\r\n", Err(HeadFault::Host))]
fn a_request_names_one_host(#[case] head: &str, #[case] result: Result<Framing, HeadFault>) {
    assert_eq!(read(head.as_bytes()), result);
}

/// Guards against accepting syntax that only some parsers accept.
#[rstest]
#[case::bare_lf("POST / HTTP/1.1\nContent-Length: 3\n\n\r\n\r\n")]
#[case::bare_lf_in_head("POST / HTTP/1.1\r\nX: a\nContent-Length: 3\r\n\r\n")]
#[case::bare_cr("POST / HTTP/1.1\r\nX: a\rContent-Length: 3\r\n\r\n")]
#[case::space_before_colon("POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n")]
#[case::nul_in_value("POST / HTTP/1.1\r\nX: a\0b\r\n\r\n")]
#[case::nul_in_name("POST / HTTP/1.1\r\nX\0: b\r\n\r\n")]
#[case::no_colon("POST / HTTP/1.1\r\nContent-Length\r\n\r\n")]
#[case::empty_name("POST / HTTP/1.1\r\n: 3\r\n\r\n")]
#[case::space_before_name("POST / HTTP/1.1\r\n Content-Length: 3\r\n\r\n")]
#[case::two_spaces("POST  / HTTP/1.1\r\n\r\n")]
#[case::other_version("POST / HTTP/2.0\r\n\r\n")]
fn broken_syntax_is_refused(#[case] head: &str) {
    let found = read(head.as_bytes());
    let refused = matches!(found, Err(HeadFault::Malformed(_) | HeadFault::Folded));
    assert!(refused, "{found:?}");
}

/// Guards against chunked coding in HTTP/1.0, which doesn't define it (RFC 9112, section 6.1).
#[rstest]
#[case(
    b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    HeadKind::Request
)]
#[case(
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    HeadKind::Answer
)]
fn chunked_needs_version_1_1(#[case] head: &[u8], #[case] kind: HeadKind) {
    assert_eq!(check_head(head, kind), Err(HeadFault::TransferCoding));
}

/// Guards against buffering a head of unlimited size, whether its end has arrived or not.
#[rstest]
#[case::ended(format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(LIMIT)))]
#[case::not_ended("a".repeat(LIMIT + 1))]
fn oversized_heads_are_refused(#[case] head: String) {
    assert_eq!(read(head.as_bytes()), Err(HeadFault::TooLarge));
}

/// Guards against a panic or a truncated header list when a message has more headers than the
/// decoder's limit.
#[rstest]
fn many_headers_are_refused() {
    let head = format!("GET / HTTP/1.1\r\n{}\r\n", "X: a\r\n".repeat(97));
    assert!(matches!(
        read(head.as_bytes()),
        Err(HeadFault::Malformed(_))
    ));
}

/// Guards against rejecting framing that HTTP/1.1 allows.
#[rstest]
#[case::none("", Framing::None)]
#[case::length("Content-Length: 12\r\n", Framing::Length(12))]
#[case::zeros("Content-Length: 0012\r\n", Framing::Length(12))]
#[case::chunked("transfer-encoding: Chunked\r\n", Framing::Chunked)]
#[case::empty_value("X:\r\n", Framing::None)]
fn plain_framing_is_read(#[case] headers: &str, #[case] framing: Framing) {
    let head = format!("POST /a HTTP/1.1\r\nHost: b\r\n{headers}\r\n");
    assert_eq!(read(head.as_bytes()), Ok(framing));
}

proptest! {
    /// Guards against a panic on arbitrary bytes, and against a head longer than the limit.
    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), limit in 0..100usize) {
        for kind in [HeadKind::Answer, HeadKind::Request] {
            let _ = check_head(&bytes, kind);
        }
        if let Ok(Some(length)) = head_length(&bytes, limit) {
            prop_assert!(length <= limit);
        }
    }

    /// Guards against a panic, or an accepted head with two framings, on text similar to a valid
    /// head.
    #[test]
    fn mutated_heads_have_one_framing(
        lines in prop::collection::vec(
            "(Content-Length|content-length|Transfer-Encoding|X)( ?): ?(3|\\+3|chunked|a)(\r\n|\n)",
            0..4,
        ),
    ) {
        let head = format!("POST / HTTP/1.1\r\n{}\r\n", lines.concat());
        let lower = head.to_lowercase();
        let lengths = lower.matches("content-length").count();
        let codings = lower.matches("transfer-encoding").count();
        if let Ok(framing) = check_head(head.as_bytes(), HeadKind::Request) {
            prop_assert!(lengths + codings <= 1);
            let expected = (lengths == 1, codings == 1);
            let found = match framing {
                Framing::Chunked => (false, true),
                Framing::Length(_) => (true, false),
                Framing::None => (false, false),
            };
            prop_assert_eq!(found, expected);
        }
    }
}
