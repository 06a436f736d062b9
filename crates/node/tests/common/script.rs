//! A TCP server that sends scripted replies, on one connection after another.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Time for which connections stay open after their last reply.
const HOLD_OPEN: Duration = Duration::from_secs(5);

/// Script of one connection: the server sends the next reply after each read from the client.
#[derive(Clone, Debug)]
pub struct Connection {
    replies: Vec<String>,
    silent: bool,
}

impl Connection {
    /// The server closes the connection after the last reply.
    pub fn closed_after(replies: Vec<String>) -> Self {
        Self {
            replies,
            silent: false,
        }
    }

    /// The server keeps the connection open after the last reply and sends nothing more.
    pub fn silent_after(replies: Vec<String>) -> Self {
        Self {
            replies,
            silent: true,
        }
    }
}

/// Starts the server on a free port. The channel receives the first line of each request, prefixed
/// with the number of its connection.
pub fn serve(connections: Vec<Connection>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (lines, received) = mpsc::channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for (number, connection) in connections.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().expect("a client connects");
            send_replies(&mut stream, &connection.replies, number, &lines);
            if connection.silent {
                open.push(stream);
            }
        }
        thread::sleep(HOLD_OPEN);
    });
    (address, received)
}

fn send_replies(
    stream: &mut TcpStream,
    replies: &[String],
    number: usize,
    lines: &mpsc::Sender<String>,
) {
    let mut buffer = [0; 4096];
    for reply in replies {
        let length = stream.read(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..length]);
        let first_line = text.lines().next().unwrap_or_default();
        let _ = lines.send(format!("connection {number}: {first_line}"));
        let _ = stream.write_all(reply.as_bytes());
    }
}
