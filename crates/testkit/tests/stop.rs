//! Signals that overlap at whole daemons, while requests run. They run the binaries that
//! `cargo build --workspace --bins` builds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_settings::LinkKind;
use hawthornwall_testkit::http1::{exchange_once, json_once};
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment, Signal};
use http::Request;
use insta::{allow_duplicates, assert_snapshot};
use rstest::rstest;
use serde_json::json;

/// Nodes whose targets run the requests.
const CALENDAR: Range<usize> = 0..3;
/// Node of another service, whose daemon takes the requests.
const ENROLMENT: Range<usize> = 3..4;
/// Time that a request takes at its target.
const SERVICE_TIME: Duration = Duration::from_millis(1_500);
/// Time between two signals; several fit into the service time.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(200);
/// Time allowed until a daemon has exited, and for each step of the set-up.
const LIMIT: Duration = Duration::from_secs(10);
const REQUESTS: usize = 6;

fn start(link: LinkKind, service_time: Duration) -> Cluster {
    let peer = match link {
        LinkKind::Quic => json!({ "link": "quic" }),
        LinkKind::Tcp => json!({ "link": "tcp", "secret": null }),
    };
    let options = ClusterOptions {
        behaviour: json!({ "mean_us": service_time.as_micros() as u64, "spread": "fixed" }),
        relay: false,
        settings: json!({ "peer": peer }),
        ..ClusterOptions::default()
    };
    Cluster::start(Deployment::Small, options).expect("the deployment starts")
}

/// Sends a request that may not be repeated; the thread returns the status or the fault.
fn post(to: SocketAddr) -> JoinHandle<String> {
    let request = Request::post("/calendar/a").header("host", "a");
    let request = request.body(Bytes::new()).expect("the request is valid");
    spawn(move || match exchange_once(to, &request) {
        Ok(answer) => answer.status().as_u16().to_string(),
        Err(fault) => fault.to_string(),
    })
}

/// Waits until all requests run at targets.
fn wait_for_runs(cluster: &Cluster, requests: &[JoinHandle<String>]) {
    let end = Instant::now() + LIMIT;
    let started = || -> u64 {
        let nodes = cluster.nodes[CALENDAR].iter();
        let stats =
            nodes.map(|n| json_once(n.addresses.control, "GET", "/stats", "").expect("counters"));
        stats.filter_map(|s| s["started"].as_u64()).sum()
    };
    while started() < requests.len() as u64 {
        let answered = requests.iter().filter(|r| r.is_finished()).count();
        assert!(
            Instant::now() < end,
            "{} requests started, {answered} answered",
            started()
        );
        sleep(Duration::from_millis(10));
    }
}

fn signal_all(cluster: &Cluster, nodes: Range<usize>, signal: Signal) {
    for node in &cluster.nodes[nodes] {
        let daemon = node.daemon.as_ref().expect("the daemon was started");
        daemon.signal(signal).expect("the daemon runs");
    }
}

/// Counts of the answers, and how the daemons exited.
fn outcome(
    cluster: &mut Cluster,
    stopped: Range<usize>,
    requests: Vec<JoinHandle<String>>,
) -> String {
    let mut answers = BTreeMap::<_, usize>::new();
    for request in requests {
        let answer = request.join().expect("no panic");
        *answers.entry(answer).or_default() += 1;
    }
    let mut exits = BTreeSet::new();
    for index in stopped {
        let daemon = cluster.daemon(index).expect("the daemon was started");
        let status = daemon.wait(LIMIT).expect("a child");
        exits.insert(status.map_or("still running".to_owned(), |s| s.to_string()));
    }
    format!("answers {answers:?}, daemons {exits:?}")
}

/// Guards against requests that are cut when a daemon that stops is told to stop once more, or to reread its
/// settings: at the daemon that took them, and at those whose targets run them.
#[rstest]
#[case::taken_terminate(ENROLMENT, &[Signal::Terminate, Signal::Terminate])]
#[case::taken_terminate_often(
    ENROLMENT,
    &[Signal::Terminate, Signal::Terminate, Signal::Terminate, Signal::Terminate]
)]
#[case::taken_reload(ENROLMENT, &[Signal::Terminate, Signal::Reload, Signal::Terminate])]
#[case::taken_interrupt_first(ENROLMENT, &[Signal::Interrupt, Signal::Terminate])]
#[case::run_terminate(CALENDAR, &[Signal::Terminate, Signal::Terminate])]
fn overlapping_stops_cut_no_request(
    #[case] stopped: Range<usize>,
    #[case] signals: &[Signal],
    #[values(LinkKind::Quic, LinkKind::Tcp)] link: LinkKind,
) {
    let mut cluster = start(link, SERVICE_TIME);
    let to = cluster.nodes[ENROLMENT.start].addresses.caller;
    let requests: Vec<_> = (0..REQUESTS).map(|_| post(to)).collect();
    wait_for_runs(&cluster, &requests);
    for signal in signals {
        signal_all(&cluster, stopped.clone(), *signal);
        sleep(SIGNAL_INTERVAL);
    }
    let outcome = outcome(&mut cluster, stopped, requests);
    allow_duplicates! {
        assert_snapshot!(outcome, @r#"answers {"200": 6}, daemons {"exit status: 0"}"#);
    }
}

/// Guards against a daemon that waits long for another one, which was killed, to receive the answers of its requests
/// before it ends its own stop.
#[rstest]
fn killed_peer_delays_no_stop(#[values(LinkKind::Quic, LinkKind::Tcp)] link: LinkKind) {
    let mut cluster = start(link, SERVICE_TIME);
    let to = cluster.nodes[ENROLMENT.start].addresses.caller;
    let requests: Vec<_> = (0..REQUESTS).map(|_| post(to)).collect();
    wait_for_runs(&cluster, &requests);
    cluster.kill_daemon(ENROLMENT.start);
    signal_all(&cluster, CALENDAR, Signal::Terminate);
    let outcome = outcome(&mut cluster, CALENDAR, requests);
    allow_duplicates! {
        assert_snapshot!(outcome, @r#"answers {"the connection ended within a message": 6}, daemons {"exit status: 0"}"#);
    }
}

/// Guards against a daemon that can't be ended from a terminal while a long request runs: an interrupt during a
/// stop ends it at once.
#[rstest]
#[case::after_interrupt(Signal::Interrupt)]
#[case::after_terminate(Signal::Terminate)]
fn interrupt_during_a_stop_ends_it(#[case] first: Signal) {
    let mut cluster = start(LinkKind::Tcp, 4 * LIMIT);
    let requests = vec![post(cluster.nodes[ENROLMENT.start].addresses.caller)];
    wait_for_runs(&cluster, &requests);
    for signal in [first, Signal::Interrupt] {
        signal_all(&cluster, ENROLMENT, signal);
        sleep(SIGNAL_INTERVAL);
    }
    let outcome = outcome(&mut cluster, ENROLMENT, requests);
    allow_duplicates! {
        assert_snapshot!(outcome, @r#"answers {"the connection ended within a message": 1}, daemons {"exit status: 0"}"#);
    }
}
