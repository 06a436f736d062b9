//! Connections whose remote side misbehaves.

#[path = "common/runtime.rs"]
mod runtime;

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hawthornwall_node::http::{HttpStream, Limits};
use monoio::net::TcpListener;

use runtime::block_on;

/// Time in which a connection must be closed: the time for which incoming bytes are discarded, and as much
/// again.
const LIMIT: Duration = Duration::from_secs(1);

/// Accepts a connection whose remote side sends bytes until it is closed, and closes it.
fn close_while_bytes_arrive() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        thread::spawn(move || {
            let mut remote = TcpStream::connect(address).expect("connected");
            while remote.write_all(&[b'a'; 8 << 10]).is_ok() {}
        });
        let (tcp, _) = listener.accept().await.expect("accepted");
        let limits = Limits {
            body: 1 << 20,
            head: 8 << 10,
            idle: LIMIT,
        };
        HttpStream::new(tcp, limits).close().await;
    });
}

/// Guards against a task that never yields because the remote side of a connection to be closed sends bytes
/// without end: no timer would fire, and the daemon would stand still.
#[test]
fn closing_a_connection_reads_without_end() {
    let (sender, closed) = mpsc::channel();
    thread::spawn(move || {
        close_while_bytes_arrive();
        sender.send(())
    });
    assert!(closed.recv_timeout(LIMIT).is_ok());
}
