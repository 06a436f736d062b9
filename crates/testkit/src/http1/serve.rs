//! Server functions shared by the fakes: accepting connections, parsing queries, building answers.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::net::TcpListener;

use super::connection::Connection;

/// Binds a listener, spawns a task for each accepted connection, and returns the bound address. The
/// listener stays open until the runtime ends or accepting a connection fails.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
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
            if let Ok(connection) = Connection::from_stream(stream) {
                monoio::spawn(handle(connection));
            }
        }
    });
    Ok(bound)
}

/// Creates an answer without headers.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut answer = Response::new(body.into());
    *answer.status_mut() = status;
    answer
}

/// Parses a query parameter of the request as a number; 0 if it is absent or not a number.
pub fn query_number(request: &Request<Bytes>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.parse());
    values.next().and_then(Result::ok).unwrap_or(0)
}
