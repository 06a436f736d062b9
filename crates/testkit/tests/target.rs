//! Tests of the fake target.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{any_port, ask, on_thread};
use hawthornwall_testkit::history::read_records;
use hawthornwall_testkit::launcher::Folder;
use hawthornwall_testkit::target::{Behaviour, Options, serve};
use insta::{assert_json_snapshot, assert_snapshot};
use rstest::rstest;

struct Target {
    control: SocketAddr,
    folder: Folder,
    work: SocketAddr,
}

fn start(behaviour: &str) -> Target {
    let folder = Folder::create(false).expect("temporary folder");
    let options = Options {
        behaviour: Behaviour::default()
            .with(behaviour.as_bytes())
            .expect("valid behaviour"),
        control: any_port(),
        history: Some(folder.file("history")),
        listen: any_port(),
        name: "order-1".to_owned(),
        seed: 1,
    };
    let (work, control) = on_thread(move || serve(&options));
    Target {
        control,
        folder,
        work,
    }
}

impl Target {
    /// Returns the recorded events in order, without their times.
    fn events(&self) -> Vec<serde_json::Value> {
        let records = read_records(&self.folder.file("history")).expect("records");
        let event = |r: hawthornwall_testkit::history::Record| serde_json::to_value(r.event);
        records
            .into_iter()
            .map(|r| event(r).expect("JSON"))
            .collect()
    }

    /// Sends a request and closes the connection after `after`.
    fn abandon(&self, request: u64, after: Duration) {
        let mut stream = TcpStream::connect(self.work).expect("connection");
        let head = format!("GET /a HTTP/1.1\r\nhost: a\r\nx-request: {request}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        thread::sleep(after);
    }
}

// Guards against an answer whose status, headers or body differ from what the load generator and
// the daemon rely on, and against a missing or wrong record of the run.
#[rstest]
#[case::whole("whole", "{}", "POST /order x-request=7 x-size=120 | two tins")]
#[case::chunked(
    "chunked",
    "{}",
    "POST /order x-request=7 x-size=120 x-chunked=1 | two tins"
)]
#[case::draining("draining", r#"{"state":"draining"}"#, "GET /order x-request=8")]
#[case::fail_fast("fail_fast", r#"{"fail_fast":true}"#, "GET /order x-request=9")]
#[case::shed("shed", r#"{"shed_percent":100}"#, "GET /order x-request=10")]
#[case::no_room("no_room", r#"{"slots":0,"queue":0}"#, "GET /order x-request=11")]
#[case::expired_running(
    "expired_running",
    r#"{"mean_us":900000,"spread":"fixed"}"#,
    "GET /order x-request=12 hawthornwall-deadline=30"
)]
#[case::expired_queued(
    "expired_queued",
    r#"{"slots":0}"#,
    "GET /order x-request=13 hawthornwall-deadline=30"
)]
#[case::load("load", r#"{"slots":6}"#, "GET /load")]
#[case::health_while_draining("health", r#"{"state":"draining"}"#, "GET /health")]
#[case::lie(
    "lie",
    r#"{"report":{"lie":{"state":"serving","running":0,"queued":0,"slots":99}}}"#,
    "GET /load"
)]
fn answers(#[case] name: &str, #[case] behaviour: &str, #[case] request: &str) {
    let target = start(behaviour);
    let answer = ask(target.work, request);
    // The end of the run is recorded after the answer has been sent.
    thread::sleep(Duration::from_millis(50));
    let events = serde_json::to_string(&target.events()).expect("JSON");
    assert_snapshot!(
        name,
        format!("{behaviour}\n{request}\n    {answer}\n{events}")
    );
}

// Guards against a fake that runs more requests at once than it has slots: tests would not detect a
// daemon that overloads its target.
#[test]
fn slots_and_queue_are_bounded() {
    let target = start(r#"{"slots":2,"queue":1,"mean_us":400000,"spread":"fixed"}"#);
    let work = target.work;
    let callers: Vec<_> = (1..=4)
        .map(|n| {
            thread::sleep(Duration::from_millis(40));
            thread::spawn(move || {
                let started = Instant::now();
                let answer = ask(work, &format!("GET /order x-request={n}"));
                (
                    answer[..3].to_owned(),
                    (started.elapsed().as_millis() + 200) / 400,
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(20));
    let load = ask(work, "GET /load");
    let answers: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("answer"))
        .collect();
    assert_json_snapshot!((load, answers));
}

// Guards against a request that keeps its slot, or is recorded as answered, after its caller has
// closed the connection.
#[test]
fn a_closed_connection_stops_the_work() {
    let target = start(r#"{"slots":1,"mean_us":5000000,"spread":"fixed"}"#);
    target.abandon(1, Duration::from_millis(50));
    thread::sleep(Duration::from_millis(50));
    assert_snapshot!(ask(target.work, "GET /load"));
    assert_json_snapshot!(target.events());
}

// Guards against a silent target that answers or that frees the slot while the connection is open.
#[test]
fn a_silent_target_never_answers() {
    let target = start(r#"{"silent":true,"mean_us":1000}"#);
    target.abandon(1, Duration::from_millis(150));
    thread::sleep(Duration::from_millis(20));
    assert_json_snapshot!(target.events());
}

// Guards against control requests that have no effect, reset other fields or accept misspelt ones.
#[test]
fn control_changes_single_fields() {
    let target = start("{}");
    let ask = |request| ask(target.control, request);
    let answers = [
        ask(r#"POST /control | {"state":"draining","slow_factor":3,"spread":{"lognormal":0.5}}"#),
        ask(r#"POST /control | {"slowfactor":3}"#),
        ask("GET /control"),
    ];
    assert_json_snapshot!(answers);
    assert_json_snapshot!(target.events());
}

// Guards against timing faults that are configured but have no effect. `ms` is the allowed range
// in milliseconds.
#[rstest]
#[case::mean(r#"{"mean_us":300000}"#, 300..450)]
#[case::slow(r#"{"mean_us":50000,"slow_factor":6}"#, 300..400)]
#[case::cold(r#"{"mean_us":50000,"cold_ms":60000,"cold_factor":6}"#, 300..400)]
#[case::stalls(r#"{"mean_us":50000,"pauses":{"every_ms":1,"length_ms":20}}"#, 150..5000)]
fn service_time(#[case] behaviour: &str, #[case] ms: std::ops::Range<u128>) {
    let target = start(behaviour);
    ask(
        target.control,
        r#"POST /control | {"spread":"fixed","accept_us":0}"#,
    );
    let started = Instant::now();
    ask(target.work, "GET /order x-request=1");
    let took = started.elapsed().as_millis();
    assert!(ms.contains(&took), "took {took} ms");
}

// Guards against a lagging report that shows the current load.
#[test]
fn a_lagging_report_shows_the_past() {
    let target = start(r#"{"report":{"lag_ms":300},"mean_us":1200000,"spread":"fixed"}"#);
    let work = target.work;
    ask(target.control, "GET /stats");
    thread::sleep(Duration::from_millis(310));
    let caller = thread::spawn(move || ask(work, "GET /order x-request=1"));
    thread::sleep(Duration::from_millis(30));
    let early = ask(work, "GET /load");
    thread::sleep(Duration::from_millis(400));
    let late = ask(work, "GET /load");
    caller.join().expect("answer");
    assert_json_snapshot!([early, late]);
}
