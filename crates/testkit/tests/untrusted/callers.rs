//! Misbehaving callers: each sends on a thread of its own, and its connection stays open until it is dropped.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::daemon::HOST;

/// Longest time for one write, after which a caller gives up sending. A daemon that reads nothing further is free
/// to do so.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// Number of bytes that are written at once.
const PART: usize = 64 << 10;

/// Opens `count` connections, lets `send` use each, and returns those that are still open on this side.
pub fn open(
    count: usize,
    to: SocketAddr,
    send: impl Fn(&mut TcpStream) + Clone + Send + 'static,
) -> Vec<TcpStream> {
    let start = |_| {
        let send = send.clone();
        thread::spawn(move || {
            let mut stream = TcpStream::connect(to).ok()?;
            let _ = stream.set_write_timeout(Some(WRITE_LIMIT));
            send(&mut stream);
            Some(stream)
        })
    };
    let threads: Vec<_> = (0..count).map(start).collect();
    let ended = threads.into_iter().map(|t| t.join().expect("it ends"));
    ended.flatten().collect()
}

/// Writes `part` `count` times, or until the connection doesn't take it.
pub fn repeat(stream: &mut TcpStream, part: &[u8], count: usize) {
    let per_write = (PART / part.len()).clamp(1, count);
    let many = part.repeat(per_write);
    for _ in 0..count / per_write {
        if stream.write_all(&many).is_err() {
            return;
        }
    }
    let rest = count % per_write * part.len();
    let _ = stream.write_all(&many[..rest]);
}

/// The head of a request with these further headers.
pub fn head(method: &str, path: &str, headers: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: a\r\nX-Deadline-Ms: 10000\r\n{headers}\r\n"
    )
    .into_bytes()
}

/// A chunk of `length` bytes.
pub fn chunk(length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Reads requests without a body one after another, and calls `answer` for each, until one of them returns false
/// or the connection closes.
pub fn serve(mut stream: TcpStream, mut answer: impl FnMut(&mut TcpStream, &str) -> bool) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..length]);
        while let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = received.drain(..end + 4).collect();
            if !answer(&mut stream, &String::from_utf8_lossy(&head)) {
                return;
            }
        }
    }
}
