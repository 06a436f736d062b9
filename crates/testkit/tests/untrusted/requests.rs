//! Callers that send more than they should, or don't end what they send.

use std::io::Write;

use rstest::rstest;

use super::callers::{chunk, head, open, repeat};
use super::{CALLERS, Site, Target};
use crate::daemon::address;

/// Size of a large chunk. Fifteen of them stay under the limit on bodies.
const LARGE: usize = 64 << 10;
/// Length of an announced body, in bytes, less than the limit on bodies.
const ANNOUNCED: usize = 1_000_000;
/// Number of bytes of an announced body that are never sent.
const MISSING: usize = 10;
/// Number of chunks of one byte.
const TINY_CHUNKS: usize = 1_000_000;
/// Number of bytes far over the limit on bodies.
const FAR_OVER: usize = 32 << 20;
/// Number of requests that a caller sends without reading a response.
const PIPELINED: usize = 3_000;
/// Length of the body of a pipelined request, in bytes.
const PIPELINED_BODY: usize = 60_000;

/// Guards against memory that grows with the number of callers that stop just before the end of a chunked body, in
/// large or very small chunks.
#[rstest]
#[case::large_chunks(50, LARGE, 15)]
#[case::tiny_chunks(51, 1, TINY_CHUNKS)]
fn chunked_bodies_that_stall(#[case] case: u8, #[case] length: usize, #[case] count: usize) {
    Site::start(case, Target::Sound).check(|case| {
        open(CALLERS, address(case, 0, 8000), move |stream| {
            let head = head("POST", "/sound/b", "Transfer-Encoding: chunked\r\n");
            let _ = stream.write_all(&head);
            repeat(stream, &chunk(length), count);
        })
    });
}

/// Guards against memory that grows with the number of callers that stop just before the end of a body whose
/// length they announced.
#[test]
fn announced_bodies_that_stall() {
    Site::start(52, Target::Sound).check(|case| {
        open(CALLERS, address(case, 0, 8000), |stream| {
            let length = format!("Content-Length: {ANNOUNCED}\r\n");
            let _ = stream.write_all(&head("POST", "/sound/b", &length));
            repeat(stream, b"x", ANNOUNCED - MISSING);
        })
    });
}

/// Guards against memory that grows with bodies that are refused in the end.
#[rstest]
#[case::announced(53, format!("Content-Length: {FAR_OVER}\r\n"), b"x".to_vec(), FAR_OVER)]
#[case::unannounced(54, "Transfer-Encoding: chunked\r\n".to_owned(), chunk(LARGE), FAR_OVER / LARGE)]
fn bodies_far_over_the_limit(
    #[case] case: u8,
    #[case] framing: String,
    #[case] part: Vec<u8>,
    #[case] count: usize,
) {
    Site::start(case, Target::Sound).check(|case| {
        open(CALLERS, address(case, 0, 8000), move |stream| {
            let _ = stream.write_all(&head("POST", "/sound/b", &framing));
            repeat(stream, &part, count);
        })
    });
}

/// Guards against memory that grows with the requests of callers that read no response.
#[rstest]
#[case::without_body(55, 0)]
#[case::with_body(56, PIPELINED_BODY)]
fn pipelined_requests_with_unread_responses(#[case] case: u8, #[case] body: usize) {
    Site::start(case, Target::Sound).check(|case| {
        open(CALLERS, address(case, 0, 8000), move |stream| {
            let mut request = head("POST", "/sound/b", &format!("Content-Length: {body}\r\n"));
            request.resize(request.len() + body, b'x');
            repeat(stream, &request, PIPELINED);
        })
    });
}
