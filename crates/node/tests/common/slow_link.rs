//! A link of a limited rate in front of a server. All that is sent to the server passes through one queue.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use hawthornwall_core::link::Rate;

/// Most bytes that are forwarded at once.
const PIECE: usize = 4 << 10;

/// Bytes on their way to the server; none if the sender has closed its connection.
struct Piece {
    bytes: Vec<u8>,
    to: Arc<TcpStream>,
}

/// Bytes in the queue.
#[derive(Default)]
struct Queue {
    most: AtomicU64,
    now: AtomicU64,
}

/// The link; it ends with the process.
pub struct SlowLink {
    /// Address for those that send to the server.
    pub address: SocketAddr,
    queue: Arc<Queue>,
}

impl SlowLink {
    /// Forwards connections to `server`. What the server sends isn't delayed.
    pub fn open(server: SocketAddr, rate: Rate) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let queue = Arc::new(Queue::default());
        let (pieces, receiver) = channel();
        let forwarded = Arc::clone(&queue);
        thread::spawn(move || forward(&receiver, &forwarded, rate));
        let arriving = Arc::clone(&queue);
        thread::spawn(move || {
            for sender in listener.incoming().flatten() {
                connect(sender, server, &pieces, &arriving);
            }
        });
        Self { address, queue }
    }

    /// Most bytes that were queued at any time.
    pub fn most_queued(&self) -> u64 {
        self.queue.most.load(Ordering::SeqCst)
    }
}

fn connect(sender: TcpStream, server: SocketAddr, pieces: &Sender<Piece>, queue: &Arc<Queue>) {
    let server = TcpStream::connect(server).expect("the server listens");
    let back = sender.try_clone().expect("the connection is open");
    let from = server.try_clone().expect("the connection is open");
    thread::spawn(move || copy_back(from, back));
    let (pieces, queue) = (pieces.clone(), Arc::clone(queue));
    thread::spawn(move || enqueue(sender, &Arc::new(server), &pieces, &queue));
}

fn copy_back(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}

fn enqueue(mut from: TcpStream, to: &Arc<TcpStream>, pieces: &Sender<Piece>, queue: &Queue) {
    loop {
        let mut bytes = vec![0; PIECE];
        let length = from.read(&mut bytes).unwrap_or_default();
        bytes.truncate(length);
        let queued = queue.now.fetch_add(length as u64, Ordering::SeqCst) + length as u64;
        queue.most.fetch_max(queued, Ordering::SeqCst);
        let to = Arc::clone(to);
        if pieces.send(Piece { bytes, to }).is_err() || length == 0 {
            return;
        }
    }
}

fn forward(pieces: &Receiver<Piece>, queue: &Queue, rate: Rate) {
    for Piece { bytes, to } in pieces {
        let length = bytes.len() as u64;
        thread::sleep(rate.time(length));
        queue.now.fetch_sub(length, Ordering::SeqCst);
        let closed = bytes.is_empty() || (&*to).write_all(&bytes).is_err();
        if closed {
            let _ = to.shutdown(Shutdown::Both);
        }
    }
}
