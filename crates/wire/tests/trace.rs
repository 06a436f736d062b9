//! Parsing of the `traceparent` header.

use hawthornwall_wire::trace::TraceParent;
use proptest::prelude::*;
use rstest::rstest;

/// Guards against forwarding a header that the next recipient must ignore.
#[rstest]
#[case::version("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::zero_trace("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case::zero_span("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")]
#[case::upper_case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")]
#[case::signed_trace("00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::signed_span("00-0af7651916cd43dd8448eb211c80319c-+7ad6b7169203331-01")]
#[case::signed_flags("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-+1")]
#[case::extra_part("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x")]
#[case::short("00-0af7651916cd43dd8448eb211c80319-b7ad6b7169203331-01")]
#[case::not_hexadecimal("00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01")]
#[case::empty("")]
fn malformed_headers_are_refused(#[case] text: &str) {
    assert!(text.parse::<TraceParent>().is_err());
}

proptest! {
    /// Guards against a panic on a header that a caller sends.
    #[test]
    fn no_text_panics(text in "(00-)?.{0,60}") {
        let _ = text.parse::<TraceParent>();
    }

    /// Guards against a header that parses to a different value after printing.
    #[test]
    fn headers_parse_back(sampled: bool, span in 1..=u64::MAX, trace in 1..=u128::MAX) {
        let parent = TraceParent { sampled, span, trace };
        prop_assert_eq!(parent.to_string().parse(), Ok(parent));
    }
}
