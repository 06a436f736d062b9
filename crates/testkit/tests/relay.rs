//! Contract of the UDP relay.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use common::{any_port, ask, on_thread};
use hawthornwall_testkit::relay::{DaemonPlace, RelaySettings, serve};
use insta::assert_snapshot;
use rstest::rstest;

/// Daemons a and b in one domain, c in another.
struct Net {
    control: SocketAddr,
    daemons: Vec<(DaemonPlace, UdpSocket)>,
}

fn socket(ip: IpAddr) -> UdpSocket {
    let socket = UdpSocket::bind((ip, 0)).expect("socket");
    let limit = Some(Duration::from_millis(50));
    socket.set_read_timeout(limit).expect("timeout");
    socket
}

fn start() -> Net {
    // Tests run at once, so each takes loopback addresses of its own.
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let test = NEXT.fetch_add(1, Ordering::Relaxed);
    let place = |(index, (name, domain)): (u8, (&str, &str))| {
        let real = socket(Ipv4Addr::new(127, 0, 100 + test, index).into());
        let public = socket(Ipv4Addr::new(127, 0, 200 + test, index).into());
        let place = DaemonPlace {
            domain: domain.to_owned(),
            name: name.to_owned(),
            public: public.local_addr().expect("address"),
            real: real.local_addr().expect("address"),
        };
        (place, real)
    };
    let names = [("a", "dk-1"), ("b", "dk-1"), ("c", "dk-2")];
    let daemons: Vec<_> = (1..).zip(names).map(place).collect();
    let settings = RelaySettings {
        control: any_port(),
        daemons: daemons.iter().map(|(place, _)| place.clone()).collect(),
        delay_us: 1_500,
    };
    let control = on_thread(move || serve(&settings));
    Net { control, daemons }
}

impl Net {
    /// Sends a packet and tells from whose public address it arrives, or that it doesn't.
    fn send(&self, from: &UdpSocket, to: usize) -> String {
        let (place, receiver) = &self.daemons[to];
        from.send_to(b"hello", place.public).expect("sent");
        let mut buf = [0; 16];
        match receiver.recv_from(&mut buf) {
            Err(_) => "nothing".to_owned(),
            Ok((_, source)) => self.name(source),
        }
    }

    fn name(&self, source: SocketAddr) -> String {
        let exact = self.daemons.iter().find(|(d, _)| d.public == source);
        let same_ip = self
            .daemons
            .iter()
            .find(|(d, _)| d.public.ip() == source.ip());
        match (exact, same_ip) {
            (Some((d, _)), _) => d.name.clone(),
            (None, Some((d, _))) => format!("another port of {}", d.name),
            (None, None) => source.to_string(),
        }
    }

    fn all_pairs(&self) -> String {
        let mut lines = Vec::new();
        for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
            let (sender, socket) = &self.daemons[from];
            let seen = self.send(socket, to);
            let receiver = &self.daemons[to].0.name;
            lines.push(format!("{} -> {receiver}: {seen}", sender.name));
        }
        lines.join("\n")
    }
}

// Guards against faults that stop too much or too little, and that outlive `heal`.
#[rstest]
#[case::none("none", r#"{"command":"heal"}"#)]
#[case::partition("partition", r#"{"command":"partition","groups":[["a","b"],["c"]]}"#)]
#[case::isolate_to("isolate_to", r#"{"command":"isolate","daemon":"a","direction":"to"}"#)]
#[case::isolate_from(
    "isolate_from",
    r#"{"command":"isolate","daemon":"a","direction":"from"}"#
)]
#[case::silence("silence", r#"{"command":"silence","between":["a","c"]}"#)]
#[case::unknown("unknown", r#"{"command":"silence","between":["a","x"]}"#)]
fn faults(#[case] name: &str, #[case] command: &str) {
    let net = start();
    let healthy = net.all_pairs();
    let answer = ask(net.control, &format!("POST /control | {command}"));
    let faulty = net.all_pairs();
    ask(net.control, r#"POST /control | {"command":"heal"}"#);
    assert_eq!(net.all_pairs(), healthy);
    assert_snapshot!(name, format!("{command}\n    {answer}\n{faulty}"));
}

// Guards against a silenced flow that also stops new sockets of the same daemon, or their answers.
#[test]
fn new_sockets_pass_a_silenced_flow() {
    let net = start();
    net.all_pairs();
    ask(
        net.control,
        r#"POST /control | {"command":"silence","between":["a","c"]}"#,
    );
    let (a, c) = (&net.daemons[0], &net.daemons[2]);
    let old = net.send(&a.1, 2);
    let fresh = socket(a.0.real.ip());
    let mut buf = [0; 16];
    fresh.send_to(b"hello", c.0.public).expect("sent");
    let (_, face) = c.1.recv_from(&mut buf).expect("a packet");
    c.1.send_to(b"reply", face).expect("sent");
    let reply = fresh
        .recv_from(&mut buf)
        .map(|(_, source)| net.name(source));
    assert_snapshot!(format!("{old}, {}, {reply:?}", net.name(face)));
}

// Guards against emulated distances that are wrong enough to blur the daemons' own latency.
#[rstest]
#[case::within_a_domain(1, 0)]
#[case::between_domains(2, 1_500)]
fn delay(#[case] to: usize, #[case] us: u128) {
    let net = start();
    let (sender, receiver) = (&net.daemons[0].1, &net.daemons[to]);
    let mut buf = [0; 16];
    let mut times: Vec<_> = (0..101)
        .map(|_| {
            let started = Instant::now();
            sender.send_to(b"hello", receiver.0.public).expect("sent");
            receiver.1.recv_from(&mut buf).expect("a packet");
            started.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    println!("median {} us, p90 {} us", times[50], times[90]);
    assert!(
        (us..us + 300).contains(&times[50]),
        "median {} us",
        times[50]
    );
}
