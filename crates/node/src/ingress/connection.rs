//! The task that owns one connection from a caller.

use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_wire::head::Framing;
use http::header::{CONNECTION, EXPECT};
use http::request::Parts as RequestHead;
use http::{Method, Version};
use monoio::net::TcpStream;

use super::listener::{Backend, StopSignal};
use super::reply::{self, Reply};
use super::serve;
use crate::http::{HttpStream, ReadFault, from_request_head};

/// Interim response for callers that send `Expect: 100-continue` before the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves requests until the connection closes or the stop signal is given. A request in progress
/// is still answered.
pub(super) async fn run(tcp: TcpStream, backend: Backend, stop: StopSignal) {
    let mut stream = HttpStream::new(tcp, backend.default_limits);
    loop {
        let head = {
            let read = stream.read_request_head().fuse();
            let mut stop = stop.clone();
            pin_mut!(read);
            select_biased! {
                head = read => head,
                // No request is in progress here, so closing the connection interrupts none.
                _ = stop => return,
            }
        };
        let stopping = || stop.peek().is_some();
        match serve_one(&mut stream, &backend, head, stopping).await {
            NextAction::Close => return stream.close().await,
            NextAction::Drop => return,
            NextAction::Read => {}
        }
    }
}

/// What to do with the connection after a request.
enum NextAction {
    /// Close the connection gracefully, so that the last answer arrives.
    Close,
    /// Drop the connection, which has failed or been closed by the caller.
    Drop,
    /// Read the next request.
    Read,
}

async fn serve_one(
    stream: &mut HttpStream,
    backend: &Backend,
    head: Result<(RequestHead, Framing), ReadFault>,
    stopping: impl Fn() -> bool,
) -> NextAction {
    let (head, framing) = match head {
        Ok(head) => head,
        Err(fault) => return refuse(stream, &fault).await,
    };
    let body = match read_body(stream, &head, framing).await {
        Ok(body) => body,
        Err(fault) => return refuse(stream, &fault).await,
    };
    let request = from_request_head(&head, body);
    let answer = {
        let serving = serve::serve(backend, request).fuse();
        let caller_closed = stream.closed().fuse();
        pin_mut!(serving, caller_closed);
        select_biased! {
            answer = serving => answer,
            // Dropping the call's future cancels its attempts.
            () = caller_closed => return NextAction::Drop,
        }
    };
    let close = stopping() || wants_close(&head);
    let written = stream.write(answer.encode(&head.method, close)).await;
    match written {
        Err(_) => NextAction::Drop,
        Ok(()) if close => NextAction::Close,
        Ok(()) => NextAction::Read,
    }
}

async fn read_body(
    stream: &mut HttpStream,
    head: &RequestHead,
    framing: Framing,
) -> Result<Vec<u8>, ReadFault> {
    let expects = head
        .headers
        .get(EXPECT)
        .is_some_and(|v| v.as_bytes() == b"100-continue");
    let fits = !matches!(framing, Framing::Length(length) if length > stream.body_limit());
    if expects && fits && framing != Framing::None && !stream.has_buffered() {
        stream
            .write(CONTINUE.to_vec())
            .await
            .map_err(ReadFault::Io)?;
    }
    stream.read_body(framing).await
}

/// Answers a request that couldn't be read, if the fault permits an answer. The connection is
/// closed because the start of the next request is unknown.
async fn refuse(stream: &mut HttpStream, fault: &ReadFault) -> NextAction {
    if let Some(reply) = reply::for_read_fault(fault) {
        let _ = stream
            .write(Reply::encode(&reply, &Method::GET, true))
            .await;
    }
    NextAction::Close
}

fn wants_close(head: &RequestHead) -> bool {
    let has_token = |token: &str| {
        let values = head
            .headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok());
        values
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    has_token("close") || (head.version != Version::HTTP_11 && !has_token("keep-alive"))
}
