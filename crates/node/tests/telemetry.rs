//! Counters, statsd datagrams, and spans in log lines.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use hawthornwall_core::calls::PickKind;
use hawthornwall_core::prelude::*;
use hawthornwall_node::telemetry::log::span_logger_to;
use hawthornwall_node::telemetry::trace::{self, Hop, HopSpan, Tracer};
use hawthornwall_node::telemetry::{Counters, Event, Statsd, Telemetry, run};
use insta::{assert_json_snapshot, assert_snapshot};
use rstest::rstest;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const UNSAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

fn events() -> Vec<Event> {
    let elapsed = Duration::from_millis(4);
    let attempt = |result| Event::Attempt { elapsed, result };
    let request = |outcome| Event::Request { elapsed, outcome };
    vec![
        Event::Sent(PickKind::First),
        attempt(AttemptResult::Refused(Refusal::Full)),
        Event::Sent(PickKind::Reroute),
        attempt(AttemptResult::Lost(Loss::Closed)),
        Event::Sent(PickKind::Retry),
        Event::Sent(PickKind::Hedge),
        attempt(AttemptResult::Answered),
        request(Outcome::Answered),
        request(Outcome::Refused(Refusal::NoTarget)),
        request(Outcome::Failed(Loss::Expired)),
        request(Outcome::Unknown(Loss::Closed)),
        Event::GateRefused(Refusal::Full),
        Event::ProbeSpent,
        Event::ProbeSkipped,
        Event::ClaimRefused,
        Event::Evicted,
        Event::StoreEra("peer"),
        Event::TargetCold,
        Event::UnknownValue("protocol"),
    ]
}

fn in_runtime<T>(future: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

/// Guards against an event that isn't counted or is counted under a wrong name.
#[test]
fn counters() {
    let totals = in_runtime(async {
        let (telemetry, receiver) = Telemetry::channel();
        monoio::spawn(run(receiver, None));
        for event in events() {
            telemetry.record(event);
        }
        telemetry.counters().await.expect("the task runs")
    });
    assert_json_snapshot!(totals);
}

/// Guards against increases that are sent twice, and totals sent in place of increases.
#[test]
fn increases_since() {
    let mut earlier = Counters::default();
    for event in events() {
        earlier.record(&event);
    }
    let mut now = earlier.clone();
    now.record(&Event::ProbeSpent);
    now.record(&Event::Sent(PickKind::Hedge));
    assert_eq!(now.since(&now), []);
    let increases = [("sent.hedge".to_owned(), 1), ("probes.spent".to_owned(), 1)];
    assert_eq!(now.since(&earlier), increases);
}

/// Guards against statsd lines that a server can't parse, and a buffer that is never flushed.
#[test]
fn statsd() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    server
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("the timeout is valid");
    let address = server.local_addr().expect("the socket is bound");
    let statsd = Statsd::open(address, "calendar-1").expect("a socket opens");
    in_runtime(async {
        let (telemetry, receiver) = Telemetry::channel();
        let task = monoio::spawn(run(receiver, Some(statsd)));
        for event in events() {
            telemetry.record(event);
        }
        drop(telemetry);
        task.await;
    });
    let mut lines = Vec::new();
    while lines.len() < 22 {
        let mut datagram = [0; 2_048];
        let length = server.recv(&mut datagram).expect("all metrics arrive");
        let text = String::from_utf8_lossy(&datagram[..length]).into_owned();
        lines.extend(text.lines().map(str::to_owned));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against a sampling decision that isn't propagated to the next hop or changes there.
#[rstest]
#[case::caller_samples(0, Some(SAMPLED), true)]
#[case::caller_does_not(0, Some(UNSAMPLED), false)]
#[case::no_caller_trace(0, None, false)]
#[case::share_of_all(10_000, None, true)]
#[case::share_of_unsampled(10_000, Some(UNSAMPLED), true)]
fn sampling(#[case] share: u32, #[case] parent: Option<&str>, #[case] sampled: bool) {
    let span = Tracer::new(share).ingress(parent.and_then(|text| text.parse().ok()));
    assert_eq!(span.is_sampled(), sampled);
    let passed = span.traceparent();
    assert_eq!(passed.is_some(), sampled || parent.is_some());
    if let (Some(passed), Some(parent)) = (&passed, parent) {
        assert_eq!(passed[..36], parent[..36], "the trace id stays");
        assert_eq!(passed.ends_with("-01"), sampled);
        assert_eq!(
            passed == parent,
            !sampled,
            "only a recorded span replaces the parent"
        );
    }
    let remote = HopSpan::remote(Hop::Gate, passed.as_deref());
    assert_eq!(remote.is_sampled(), sampled);
    assert_eq!(remote.child(Hop::Target).is_sampled(), sampled);
}

/// Guards against a malformed header that fails the request or is propagated.
#[test]
fn malformed_traceparent() {
    let span = HopSpan::remote(Hop::Gate, Some("00-zz"));
    assert_eq!(span.traceparent(), None);
}

/// Guards against computing properties of spans that aren't sampled.
#[test]
fn unsampled_properties_do_not_run() {
    let span = Tracer::new(0).ingress(None);
    span.set("key", || -> String { panic!("the span isn't sampled") });
}

/// Guards against spans that are lost, or written without their parent, result or reason.
#[test]
fn spans_as_log_lines() {
    let sink = WriteSink::builder()
        .formatter(JsonFormatter::new())
        .target(Vec::<u8>::new())
        .build_arc()
        .expect("the sink is valid");
    let logger =
        span_logger_to(Arc::<WriteSink<Vec<u8>>>::clone(&sink)).expect("the logger is valid");
    trace::init(logger);
    let ingress = Tracer::new(0).ingress(SAMPLED.parse().ok());
    let attempt = ingress.child(Hop::Attempt);
    attempt.set_result(AttemptResult::Refused(Refusal::Full));
    drop(attempt);
    ingress.set_outcome(Outcome::Refused(Refusal::Full));
    drop(ingress);
    trace::flush();
    let text = String::from_utf8(sink.clone_target()).expect("log lines are text");
    let own = |line: &serde_json::Value| line["kv"]["trace"] == "0af7651916cd43dd8448eb211c80319c";
    let lines = text
        .lines()
        .map(|l| serde_json::from_str(l).expect("each line is JSON"));
    let mut lines: Vec<serde_json::Value> = lines.filter(own).collect();
    lines.retain(|line| line["kv"]["properties"] != serde_json::json!({}));
    let [attempt, ingress] = &lines[..] else {
        panic!("two spans are written: {text}");
    };
    assert_eq!(attempt["kv"]["parent"], ingress["kv"]["span"]);
    let fields = |line: &serde_json::Value| {
        let kv = &line["kv"];
        format!("{} {} {}", line["logger"], kv["hop"], kv["properties"])
    };
    assert_snapshot!(format!("{}\n{}", fields(attempt), fields(ingress)));
    assert_eq!(ingress["kv"]["parent"], "b7ad6b7169203331");
}
