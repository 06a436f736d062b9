//! What a request to a peer without a reply means for its attempt.

use hawthornwall_core::prelude::*;
use hawthornwall_node::messages::PeerFault;
use rstest::rstest;

/// Guards against a request that runs twice: its connection was lost, and the limit of requests in flight keeps
/// the repeat from being sent. Taken for a definite refusal, that would send the request to another target.
#[rstest]
#[case::first(false, Refusal::Full)]
#[case::repeat(true, Refusal::Unreachable)]
fn repeat_that_is_not_sent(#[case] is_repeat: bool, #[case] expected: Refusal) {
    let result = PeerFault::Busy.attempt_result(is_repeat);
    assert_eq!(result, AttemptResult::Refused(expected));
}
