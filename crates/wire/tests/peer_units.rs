//! Encoding of durations in peer messages.

use std::time::Duration;

use hawthornwall_core::ids::{ServiceId, TargetId};
use hawthornwall_wire::peer::{
    HttpRequest, Request, RequestId, RunRequest, decode_request, encode_request,
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
