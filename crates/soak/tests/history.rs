//! Checks of the invariants on synthetic histories. Each case violates one invariant, which must be
//! reported, or none.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_soak::{Bounds, History, RequestEnd, SentRequest};
use hawthornwall_testkit::worker::{WorkerRun, answer_body};
use insta::assert_snapshot;
use rstest::rstest;

/// Builds a history event by event. Times are milliseconds since the start; the first minute is calm.
struct Scenario {
    history: History,
    start: Instant,
}

impl Scenario {
    fn new() -> Self {
        let start = Instant::now();
        let calm = [(Duration::ZERO, Duration::from_mins(1))];
        Self {
            history: History::new(start, Bounds::default(), &calm),
            start,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn sent(&mut self, id: &str, line: &str, ms: u64) -> &mut Self {
        let path = line.split(' ').nth(1).unwrap_or_default();
        let version = path.strip_prefix("/v").and_then(|v| v.parse().ok());
        let sent = SentRequest {
            at: self.at(ms),
            body: Bytes::from_static(b"b"),
            daemon: (1, 1),
            deadline: Duration::from_secs(2),
            idempotent: line.starts_with("GET"),
            line: line.to_owned(),
            origin: "views".to_owned(),
            service: Some("orders".to_owned()),
            version,
        };
        self.history.record_sent(id, sent);
        self
    }

    fn run(&self, id: &str, worker: &str, line: &str, ms: u64) -> WorkerRun {
        WorkerRun {
            body: Bytes::from_static(b"b"),
            caller: "views".to_owned(),
            cold: worker.ends_with("-cold"),
            deadline: Some(Duration::from_millis(1_500)),
            id: id.to_owned(),
            line: line.to_owned(),
            service: "orders".to_owned(),
            started: self.at(ms),
            worker: worker.to_owned(),
        }
    }

    fn ran(&mut self, id: &str, worker: &str, line: &str, ms: u64) -> &mut Self {
        let run = self.run(id, worker, line, ms);
        self.history.record_run(&run);
        self
    }

    /// Records a successful answer with this seal.
    fn answered(&mut self, id: &str, body: &Bytes, seal: &str, ms: u64) -> &mut Self {
        let ended = RequestEnd::Answer {
            body: body.clone(),
            seal: seal.to_owned(),
            status: 200,
        };
        self.history.record_end(id, ended, self.at(ms));
        self
    }

    /// Records a request that is run once and answered correctly.
    fn served(&mut self, id: &str, line: &str, ms: u64) -> &mut Self {
        let body = answer_body(id, "w1");
        self.sent(id, line, ms).ran(id, "w1", line, ms + 1);
        self.answered(id, &body, &format!("w1.{id}"), ms + 20)
    }

    fn refused(&mut self, id: &str, status: u16, ms: u64) -> &mut Self {
        let ended = RequestEnd::Answer {
            body: Bytes::new(),
            seal: String::new(),
            status,
        };
        self.history.record_end(id, ended, self.at(ms));
        self
    }

    fn closed(&mut self, id: &str, ms: u64) -> &mut Self {
        self.history.record_end(id, RequestEnd::Closed, self.at(ms));
        self
    }
}

const GET: &str = "GET /get/1";
const POST: &str = "POST /post/1";

fn valid(scenario: &mut Scenario) {
    scenario.served("a", GET, 0).served("b", POST, 100);
    // An idempotent request may run on two workers, and a refused one may be sent again.
    scenario.sent("c", GET, 200).ran("c", "w1", GET, 210);
    scenario.ran("c", "w2", GET, 250);
    scenario.answered("c", &answer_body("c", "w2"), "w2.c", 300);
    for id in 0..80 {
        scenario.served(&format!("more-{id}"), POST, 400 + id);
    }
}

fn wrong_answer(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0).ran("a", "w1", GET, 1);
    scenario.answered("a", &answer_body("b", "w1"), "w1.a", 20);
}

fn truncated_answer(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0).ran("a", "w1", GET, 1);
    let whole = answer_body("a", "w1");
    scenario.answered("a", &whole.slice(..whole.len() / 2), "w1.a", 20);
}

fn answer_without_run(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0);
    scenario.answered("a", &answer_body("a", "w1"), "w1.a", 20);
}

fn run_twice(scenario: &mut Scenario) {
    scenario.served("a", POST, 0).ran("a", "w2", POST, 50);
}

fn refused_after_run(scenario: &mut Scenario) {
    scenario.sent("a", POST, 0).ran("a", "w1", POST, 1);
    scenario.refused("a", 503, 20);
}

fn run_after_refusal(scenario: &mut Scenario) {
    scenario.sent("a", POST, 0).refused("a", 503, 20);
    scenario.ran("a", "w1", POST, 30);
}

fn three_workers(scenario: &mut Scenario) {
    scenario.served("a", GET, 0);
    scenario.ran("a", "w2", GET, 30).ran("a", "w3", GET, 40);
}

fn never_sent(scenario: &mut Scenario) {
    scenario.ran("a", "w1", GET, 1);
}

fn changed_path(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0).ran("a", "w1", "GET /get/2", 1);
}

fn wrong_origin(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0);
    let mut run = scenario.run("a", "w1", GET, 1);
    "orders".clone_into(&mut run.caller);
    scenario.history.record_run(&run);
}

fn longer_deadline(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0);
    let mut run = scenario.run("a", "w1", GET, 1_200);
    run.deadline = Some(Duration::from_millis(1_500));
    scenario.history.record_run(&run);
}

fn no_deadline(scenario: &mut Scenario) {
    scenario.sent("a", GET, 0);
    let mut run = scenario.run("a", "w1", GET, 1);
    run.deadline = None;
    scenario.history.record_run(&run);
}

fn run_on_leaving_worker(scenario: &mut Scenario) {
    scenario.history.record_leaving("w1", scenario.start);
    scenario.sent("a", GET, 2_490).ran("a", "w1", GET, 2_499);
    scenario.sent("b", GET, 2_500).ran("b", "w1", GET, 2_501);
}

fn run_on_cold_worker(scenario: &mut Scenario) {
    // 4 x 1.5 + 8 requests are allowed in a second.
    for number in 0..15 {
        let id = format!("cold{number}");
        let at = 3_000 + number * 60;
        scenario.sent(&id, "GET /get/1", at);
        scenario.ran(&id, "w0-cold", "GET /get/1", at + 5);
    }
}

fn run_in_an_evacuated_zone(scenario: &mut Scenario) {
    let (begin, end) = (scenario.at(0), scenario.at(3_000));
    scenario
        .history
        .record_evacuation([1, 4].into_iter(), begin);
    scenario.sent("a", GET, 2_490).ran("a", "w1-2", GET, 2_499);
    scenario.sent("b", GET, 2_500).ran("b", "w1-2", GET, 2_501);
    scenario.sent("c", GET, 2_510).ran("c", "w4", GET, 2_511);
    scenario.sent("d", GET, 2_520).ran("d", "w2", GET, 2_521);
    scenario
        .history
        .record_evacuation_end([1, 4].into_iter(), end);
    scenario.sent("e", GET, 3_000).ran("e", "w1", GET, 3_001);
    scenario
        .history
        .record_evacuation([1, 4].into_iter(), scenario.start + Duration::from_secs(4));
    scenario.sent("f", GET, 6_490).ran("f", "w1", GET, 6_499);
    scenario.sent("g", GET, 6_500).ran("g", "w1", GET, 6_501);
}

fn late_configuration(scenario: &mut Scenario) {
    scenario.history.record_configuration(5, scenario.start);
    scenario
        .sent("a", "GET /v5", 2_500)
        .refused("a", 404, 2_520);
    scenario
        .sent("b", "GET /v5", 2_501)
        .refused("b", 404, 2_520);
}

fn regressed_configuration(scenario: &mut Scenario) {
    scenario.history.record_configuration(5, scenario.start);
    scenario.served("a", "GET /v5", 100);
    // The daemon first served version 5 at 120 ms.
    scenario.sent("b", "GET /v5", 370).refused("b", 404, 380);
    scenario.sent("c", "GET /v5", 371).refused("c", 404, 380);
}

fn closed_by_stop(scenario: &mut Scenario) {
    scenario.history.record_planned_stop(1, scenario.start);
    scenario.sent("unread", GET, 100).closed("unread", 150);
    scenario.sent("waits", GET, 100).closed("waits", 301);
    scenario.sent("runs", GET, 100).ran("runs", "w1", GET, 110);
    scenario.closed("runs", 150);
}

fn many_repeats(scenario: &mut Scenario) {
    for n in 0..100 {
        let id = format!("{n}");
        scenario.served(&id, GET, n * 10);
        scenario.ran(&id, "w2", GET, n * 10 + 50);
    }
}

fn few_served(scenario: &mut Scenario) {
    for n in 0..20 {
        let id = format!("{n}");
        if n % 10 == 0 {
            scenario.sent(&id, GET, n).refused(&id, 503, n + 5);
        } else {
            scenario.served(&id, GET, n);
        }
    }
}

fn died(scenario: &mut Scenario) {
    let at = scenario.at(700);
    scenario.history.record_exit(3, "signal: 6", at);
}

/// Guards against violations that aren't reported, and against reports of violations that didn't occur.
#[rstest]
#[case::run_on_cold_worker("run_on_cold_worker", run_on_cold_worker)]
#[case::valid("valid", valid)]
#[case::wrong_answer("wrong_answer", wrong_answer)]
#[case::truncated_answer("truncated_answer", truncated_answer)]
#[case::answer_without_run("answer_without_run", answer_without_run)]
#[case::run_twice("run_twice", run_twice)]
#[case::refused_after_run("refused_after_run", refused_after_run)]
#[case::run_after_refusal("run_after_refusal", run_after_refusal)]
#[case::three_workers("three_workers", three_workers)]
#[case::never_sent("never_sent", never_sent)]
#[case::changed_path("changed_path", changed_path)]
#[case::wrong_origin("wrong_origin", wrong_origin)]
#[case::longer_deadline("longer_deadline", longer_deadline)]
#[case::no_deadline("no_deadline", no_deadline)]
#[case::run_on_leaving_worker("run_on_leaving_worker", run_on_leaving_worker)]
#[case::run_in_an_evacuated_zone("run_in_an_evacuated_zone", run_in_an_evacuated_zone)]
#[case::late_configuration("late_configuration", late_configuration)]
#[case::regressed_configuration("regressed_configuration", regressed_configuration)]
#[case::closed_by_stop("closed_by_stop", closed_by_stop)]
#[case::many_repeats("many_repeats", many_repeats)]
#[case::few_served("few_served", few_served)]
#[case::died("died", died)]
fn invariants(#[case] name: &str, #[case] build: fn(&mut Scenario)) {
    let mut scenario = Scenario::new();
    build(&mut scenario);
    let violations = scenario.history.finish();
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    assert_snapshot!(name, lines.join("\n"));
}
