//! The task that owns one caller's connection.

use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_wire::head::Framing;
use http::header::{CONNECTION, EXPECT};
use http::request::Parts as RequestHead;
use http::{Method, Version};
use monoio::net::TcpStream;

use super::listener::{Backend, Stopping};
use super::reply::{self, Reply};
use super::serve;
use crate::http::{HttpStream, ReadFault, from_request_head};

/// The interim answer that a caller waits for before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves requests until the connection closes or the daemon stops.
pub(super) async fn run(tcp: TcpStream, backend: Backend, stop: Stopping) {
    let mut stream = HttpStream::new(tcp, backend.default_limits);
    loop {
        let head = {
            let read = stream.read_request_head().fuse();
            let mut stop = stop.clone();
            pin_mut!(read);
            select_biased! {
                head = read => head,
                // Nothing of a request has been answered, so closing here cuts no request in flight.
                _ = stop => return,
            }
        };
        let closing = || stop.peek().is_some();
        match serve_one(&mut stream, &backend, head, closing).await {
            Next::Close => return stream.close().await,
            Next::Drop => return,
            Next::Read => {}
        }
    }
}

/// What happens to the connection after a request.
enum Next {
    /// The answer was the last one.
    Close,
    /// The other side is gone.
    Drop,
    Read,
}

async fn serve_one(
    stream: &mut HttpStream,
    backend: &Backend,
    head: Result<(RequestHead, Framing), ReadFault>,
    closing: impl Fn() -> bool,
) -> Next {
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
        let gone = stream.closed().fuse();
        pin_mut!(serving, gone);
        select_biased! {
            answer = serving => answer,
            // Dropping the call cancels its attempts.
            () = gone => return Next::Drop,
        }
    };
    let close = closing() || wants_close(&head);
    let written = stream.write(answer.encode(&head.method, close)).await;
    match written {
        Err(_) => Next::Drop,
        Ok(()) if close => Next::Close,
        Ok(()) => Next::Read,
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

/// Answers a request that can't be read, then closes: where the next request would start is unknown.
async fn refuse(stream: &mut HttpStream, fault: &ReadFault) -> Next {
    if let Some(reply) = reply::of_read_fault(fault) {
        let _ = stream
            .write(Reply::encode(&reply, &Method::GET, true))
            .await;
    }
    Next::Close
}

fn wants_close(head: &RequestHead) -> bool {
    let named = |token: &str| {
        let values = head
            .headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok());
        values
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    named("close") || (head.version != Version::HTTP_11 && !named("keep-alive"))
}
