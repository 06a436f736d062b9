//! Accepting connections and building answers, shared by the fakes.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::net::TcpListener;

use super::connection::Connection;

/// Accepts connections for as long as the process runs and starts a task for each.
///
/// # Errors
///
/// The address can't be bound.
pub fn listen<F>(
    address: SocketAddr,
    handle: impl Fn(Connection) -> F + 'static,
) -> std::io::Result<SocketAddr>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if let Ok(connection) = Connection::accepted(stream) {
                monoio::spawn(handle(connection));
            }
        }
    });
    Ok(bound)
}

/// An answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut answer = Response::new(body.into());
    *answer.status_mut() = status;
    answer
}

/// The number that a query parameter of the request holds, 0 if it is absent.
pub fn query_number(request: &Request<Bytes>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.parse());
    values.next().and_then(Result::ok).unwrap_or(0)
}
