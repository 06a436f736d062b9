//! Tests of the UDP relay.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use common::{any_port, ask, on_thread};
use hawthornwall_testkit::relay::{DaemonAddresses, RelaySettings, serve};
use insta::assert_snapshot;
use rstest::rstest;

/// Relay with the daemons `a` and `b` in one failure domain and `c` in another.
struct Net {
    control: SocketAddr,
    daemons: Vec<(DaemonAddresses, UdpSocket)>,
}

fn socket(ip: IpAddr) -> UdpSocket {
    let socket = UdpSocket::bind((ip, 0)).expect("socket");
    let limit = Some(Duration::from_millis(50));
    socket.set_read_timeout(limit).expect("timeout");
    socket
}

fn start() -> Net {
    // Tests run in parallel, so each uses its own loopback addresses.
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let test = NEXT.fetch_add(1, Ordering::Relaxed);
    let addresses = |(index, (name, domain)): (u8, (&str, &str))| {
        let real = socket(Ipv4Addr::new(127, 0, 100 + test, index).into());
        let public = socket(Ipv4Addr::new(127, 0, 200 + test, index).into());
        let addresses = DaemonAddresses {
            domain: domain.to_owned(),
            name: name.to_owned(),
            public: public.local_addr().expect("address"),
            real: real.local_addr().expect("address"),
        };
        (addresses, real)
    };
    let names = [("a", "dk-1"), ("b", "dk-1"), ("c", "dk-2")];
    let daemons: Vec<_> = (1..).zip(names).map(addresses).collect();
    let settings = RelaySettings {
        control: any_port(),
        daemons: daemons
            .iter()
            .map(|(addresses, _)| addresses.clone())
            .collect(),
        delay_us: 1_500,
    };
    let control = on_thread(move || serve(&settings));
    Net { control, daemons }
}

impl Net {
    /// Sends a packet and returns the daemon from whose public address it arrives, or `nothing`.
    fn send(&self, from: &UdpSocket, to: usize) -> String {
        let (addresses, receiver) = &self.daemons[to];
        from.send_to(b"hello", addresses.public).expect("sent");
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

// Guards against faults that drop too many or too few packets, or that remain after `heal`.
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

// Guards against a `silence` command that also drops packets of new sockets of the same daemon, or
// the replies to them.
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
    let (_, return_address) = c.1.recv_from(&mut buf).expect("a packet");
    c.1.send_to(b"reply", return_address).expect("sent");
    let reply = fresh
        .recv_from(&mut buf)
        .map(|(_, source)| net.name(source));
    assert_snapshot!(format!("{old}, {}, {reply:?}", net.name(return_address)));
}

// Guards against emulated delays with an error large enough to hide the latency of the daemons.
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
