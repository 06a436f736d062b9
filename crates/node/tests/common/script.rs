//! A server that follows a script, one connection after another.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// How long connections that fall silent stay open.
const SILENCE: Duration = Duration::from_secs(5);

/// What the server does with one connection: it sends a reply after each request.
#[derive(Clone, Debug)]
pub struct Connection {
    replies: Vec<String>,
    silent: bool,
}

impl Connection {
    /// Closes the connection after the last reply.
    pub fn closed_after(replies: Vec<String>) -> Self {
        Self {
            replies,
            silent: false,
        }
    }

    /// Keeps the connection open in silence after the last reply.
    pub fn silent_after(replies: Vec<String>) -> Self {
        Self {
            replies,
            silent: true,
        }
    }
}

/// Serves the connections and passes on the requests' first lines.
pub fn serve(connections: Vec<Connection>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (lines, received) = mpsc::channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for (number, connection) in connections.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().expect("a client connects");
            follow(&mut stream, &connection.replies, number, &lines);
            if connection.silent {
                open.push(stream);
            }
        }
        thread::sleep(SILENCE);
    });
    (address, received)
}

fn follow(stream: &mut TcpStream, replies: &[String], number: usize, lines: &mpsc::Sender<String>) {
    let mut buffer = [0; 4096];
    for reply in replies {
        let length = stream.read(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..length]);
        let line = text.lines().next().unwrap_or_default();
        let _ = lines.send(format!("connection {number}: {line}"));
        let _ = stream.write_all(reply.as_bytes());
    }
}
