//! Tasks of the relay: one for each public socket, and a switch that owns the links and the delayed
//! packets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use http::{Method, Request, Response, StatusCode};
use monoio::net::udp::UdpSocket;

use super::links::{Links, Route, SocketId};
use super::model::{Command, RelaySettings, RelayStats};
use crate::http1::{Coding, Connection, answer, listen};
use crate::timer::Timer;

/// Command line options of `relay`.
pub const OPTIONS: [&str; 1] = ["settings"];

/// Receive buffer size in bytes, which no UDP payload exceeds.
const PACKET_LIMIT: usize = 64 << 10;

#[derive(Debug)]
enum Message {
    Command(Command, oneshot::Sender<Result<(), String>>),
    Packet(Packet),
    Stats(oneshot::Sender<RelayStats>),
}

#[derive(Debug)]
struct Packet {
    received_on: SocketId,
    arrived: Instant,
    bytes: Vec<u8>,
    source: SocketAddr,
}

#[derive(Debug)]
struct Delivery {
    bytes: Vec<u8>,
    to: SocketAddr,
}

#[derive(Debug)]
struct Switch {
    /// Packets by due time and, for equal times, in order of arrival.
    delayed: BTreeMap<(Instant, u64), (SocketId, Delivery)>,
    sockets: Vec<mpsc::UnboundedSender<Delivery>>,
    links: Links,
    messages: mpsc::UnboundedSender<Message>,
    sequence: u64,
    settings: RelaySettings,
    stats: RelayStats,
}

/// Starts the relay and returns the address of its control port. It must be called inside the
/// runtime.
///
/// # Errors
///
/// Returns an error if a public address or the control port can't be bound.
pub fn serve(settings: &RelaySettings) -> std::io::Result<SocketAddr> {
    let (messages, receiver) = mpsc::unbounded();
    let mut switch = Switch {
        delayed: BTreeMap::new(),
        sockets: Vec::new(),
        links: Links::new(settings),
        messages: messages.clone(),
        sequence: 0,
        settings: settings.clone(),
        stats: RelayStats::default(),
    };
    for daemon_addresses in &settings.daemons {
        switch.open_socket(daemon_addresses.public)?;
    }
    monoio::spawn(run_switch(switch, receiver, Timer::start()?));
    listen(settings.control, move |connection| {
        serve_control(connection, messages.clone())
    })
}

async fn run_switch(
    mut switch: Switch,
    mut receiver: mpsc::UnboundedReceiver<Message>,
    timer: Timer,
) {
    loop {
        let first = switch.delayed.first_key_value().map(|((due, _), _)| *due);
        let wake = async {
            match first {
                Some(due) => timer.sleep_until(due).await,
                None => futures::future::pending().await,
            }
        };
        let message = select_biased! {
            // Polled first; otherwise a steady stream of packets would delay those that are due.
            () = wake.fuse() => { switch.deliver_due(Timer::due()); continue },
            message = receiver.next() => message,
        };
        match message {
            None => return,
            Some(Message::Command(command, reply)) => {
                let _ = reply.send(switch.links.apply(command));
            }
            Some(Message::Packet(packet)) => switch.handle(packet),
            Some(Message::Stats(reply)) => {
                let _ = reply.send(switch.stats);
            }
        }
    }
}

impl Switch {
    fn handle(&mut self, packet: Packet) {
        let mut route = self.links.route(packet.source, packet.received_on);
        if let Route::NewSocket(daemon) = route {
            let public = SocketAddr::new(self.settings.daemons[daemon].public.ip(), 0);
            if let Err(e) = self.open_socket(public) {
                eprintln!("can't bind a public socket for {}: {e}", packet.source);
                return;
            }
            self.links.add_socket(daemon, packet.source);
            route = self.links.route(packet.source, packet.received_on);
        }
        match route {
            Route::Drop => self.stats.dropped += 1,
            Route::Forward { after, from, to } => {
                let bytes = packet.bytes;
                self.sequence += 1;
                let key = (packet.arrived + after, self.sequence);
                self.delayed.insert(key, (from, Delivery { bytes, to }));
            }
            Route::NewSocket(_) | Route::Unknown => self.stats.unknown += 1,
        }
    }

    fn deliver_due(&mut self, due: Instant) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > due {
                return;
            }
            let (socket_id, delivery) = entry.remove();
            self.stats.forwarded += 1;
            let _ = self.sockets[socket_id].unbounded_send(delivery);
        }
    }

    /// Binds the next public socket and starts its task.
    fn open_socket(&mut self, public: SocketAddr) -> std::io::Result<()> {
        let socket = UdpSocket::bind(public)?;
        let (sender, deliveries) = mpsc::unbounded();
        monoio::spawn(run_socket(
            socket,
            self.sockets.len(),
            self.messages.clone(),
            deliveries,
        ));
        self.sockets.push(sender);
        Ok(())
    }
}

async fn run_socket(
    socket: UdpSocket,
    received_on: SocketId,
    switch: mpsc::UnboundedSender<Message>,
    deliveries: mpsc::UnboundedReceiver<Delivery>,
) {
    let receive = receive_packets(&socket, received_on, &switch);
    let send = send_packets(&socket, deliveries);
    futures::join!(receive, send);
}

async fn receive_packets(
    socket: &UdpSocket,
    received_on: SocketId,
    switch: &mpsc::UnboundedSender<Message>,
) {
    let mut buf = vec![0; PACKET_LIMIT];
    loop {
        let (result, returned) = socket.recv_from(buf).await;
        buf = returned;
        // An earlier send to a closed port is reported here as an error; the socket stays usable.
        let Ok((length, source)) = result else {
            continue;
        };
        let packet = Packet {
            received_on,
            arrived: Instant::now(),
            bytes: buf[..length].to_vec(),
            source,
        };
        if switch.unbounded_send(Message::Packet(packet)).is_err() {
            return;
        }
    }
}

async fn send_packets(socket: &UdpSocket, mut deliveries: mpsc::UnboundedReceiver<Delivery>) {
    while let Some(Delivery { bytes, to }) = deliveries.next().await {
        // A send error is treated as packet loss.
        let _ = socket.send_to(bytes, to).await;
    }
}

async fn serve_control(mut connection: Connection, switch: mpsc::UnboundedSender<Message>) {
    while let Ok(Some(request)) = connection.read_request().await {
        let Some(answer) = control(&request, &switch).await else {
            return;
        };
        if connection.reply(&answer, Coding::Fixed).await.is_err() {
            return;
        }
    }
}

async fn control(
    request: &Request<Bytes>,
    switch: &mpsc::UnboundedSender<Message>,
) -> Option<Response<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/control") => {
            let command = match serde_json::from_slice(request.body()) {
                Ok(command) => command,
                Err(e) => return Some(answer(StatusCode::BAD_REQUEST, e.to_string())),
            };
            let (reply, result) = oneshot::channel();
            switch
                .unbounded_send(Message::Command(command, reply))
                .ok()?;
            match result.await.ok()? {
                Ok(()) => Some(answer(StatusCode::OK, "")),
                Err(e) => Some(answer(StatusCode::BAD_REQUEST, e)),
            }
        }
        (&Method::GET, "/stats") => {
            let (reply, stats) = oneshot::channel();
            switch.unbounded_send(Message::Stats(reply)).ok()?;
            let text = serde_json::to_vec(&stats.await.ok()?).ok()?;
            Some(answer(StatusCode::OK, text))
        }
        _ => Some(answer(StatusCode::NOT_FOUND, "")),
    }
}
