//! Encoding of durations in peer messages.

use std::time::Duration;

use hawthornwall_core::ids::{ServiceId, TargetId};
use hawthornwall_core::prelude::{LoadReport, Refusal};
use hawthornwall_wire::peer::{
    BodyOffer, HttpRequest, Reply, Request, RequestId, RunReply, RunRequest, RunResult,
    decode_request, encode_reply, encode_request,
};

/// Guards against a panic on encoding an unlimited `max_wait`, which the last attempt of a call has.
#[test]
fn unlimited_max_wait_is_encoded() {
    let http = HttpRequest {
        body: bytes::Bytes::new(),
        headers: Vec::new(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
    };
    let run = RunRequest {
        expected_target: None,
        http,
        key: None,
        time_left: Duration::from_millis(1),
        objective: Duration::ZERO,
        run_once: false,
        max_wait: Duration::MAX,
        rank: 0,
        first_instance: None,
        service: ServiceId(1),
        target: TargetId(2),
        trace: None,
        objective_left: None,
    };
    let bytes = encode_request(&Request::Run(RequestId(3), Box::new(run)));
    let Ok(Request::Run(_, run)) = decode_request(&bytes.into()) else {
        panic!("the message decodes to a request to run")
    };
    assert_eq!(run.max_wait, Duration::from_micros(u64::MAX));
}

/// Guards against messages that daemons of a build before read as others: offers of bodies are numbered after
/// all that such a build knows.
#[test]
fn offers_follow_the_other_messages() {
    let offer = BodyOffer {
        max_wait: Duration::ZERO,
        objective: Duration::ZERO,
        objective_left: None,
        rank: 0,
        size: 0,
        time_left: Duration::ZERO,
    };
    let refused = RunReply {
        result: RunResult::Refused(Refusal::PeerLink),
        held: Duration::ZERO,
        id: RequestId(3),
        report: LoadReport::default(),
    };
    let issue = Request::IssueKey {
        id: RequestId(3),
        service: ServiceId(1),
        target: TargetId(2),
    };
    assert_eq!(encode_request(&issue)[0], 2);
    assert_eq!(
        encode_request(&Request::OfferBody(RequestId(3), offer))[0],
        4
    );
    assert_eq!(encode_reply(&Reply::Run(Box::new(refused)))[0], 2);
    assert_eq!(encode_reply(&Reply::BodyGranted(RequestId(3)))[0], 3);
}
