//! Detection of TCP connections that have gone silent while they are idle.

use std::io;
use std::time::Duration;

use monoio::net::TcpStream;

/// Idle time after which the kernel sends the first keepalive probe.
const IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const PROBES: u32 = 2;

/// Makes the kernel probe an idle connection and close it if the other side doesn't acknowledge the probes. A
/// server that is slow to answer acknowledges them, so that it isn't taken for silent.
///
/// # Errors
///
/// If the kernel rejects the options of the socket.
pub(crate) fn enable(stream: &TcpStream) -> io::Result<()> {
    stream.set_tcp_keepalive(Some(IDLE), Some(INTERVAL), Some(PROBES))
}
