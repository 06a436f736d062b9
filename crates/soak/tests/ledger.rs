//! The ledger against planted events: each row breaks one promise, which the ledger must name, or keeps all.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornwall_soak::{Bounds, Ended, Ledger, Sent};
use hawthornwall_testkit::worker::{WorkerRun, body_of};
use insta::assert_snapshot;
use rstest::rstest;

/// Builds a history event by event; times are milliseconds after the start, all calm.
struct Story {
    ledger: Ledger,
    start: Instant,
}

impl Story {
    fn new() -> Self {
        let start = Instant::now();
        let calm = [(Duration::ZERO, Duration::from_mins(1))];
        Self {
            ledger: Ledger::new(start, Bounds::default(), &calm),
            start,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn sent(&mut self, id: &str, line: &str, ms: u64) -> &mut Self {
        let path = line.split(' ').nth(1).unwrap_or_default();
        let version = path.strip_prefix("/v").and_then(|v| v.parse().ok());
        let sent = Sent {
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
        self.ledger.sent(id, sent);
        self
    }

    fn run(&self, id: &str, worker: &str, line: &str, ms: u64) -> WorkerRun {
        WorkerRun {
            body: Bytes::from_static(b"b"),
            caller: "views".to_owned(),
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
        self.ledger.ran(&run);
        self
    }

    /// An answer of the worker that the seal names.
    fn answered(&mut self, id: &str, body: &Bytes, seal: &str, ms: u64) -> &mut Self {
        let ended = Ended::Answer {
            body: body.clone(),
            seal: seal.to_owned(),
            status: 200,
        };
        self.ledger.ended(id, ended, self.at(ms));
        self
    }

    /// A request that is run and answered as it should be.
    fn served(&mut self, id: &str, line: &str, ms: u64) -> &mut Self {
        let body = body_of(id, "w1");
        self.sent(id, line, ms).ran(id, "w1", line, ms + 1);
        self.answered(id, &body, &format!("w1.{id}"), ms + 20)
    }

    fn refused(&mut self, id: &str, status: u16, ms: u64) -> &mut Self {
        let ended = Ended::Answer {
            body: Bytes::new(),
            seal: String::new(),
            status,
        };
        self.ledger.ended(id, ended, self.at(ms));
        self
    }

    fn closed(&mut self, id: &str, ms: u64) -> &mut Self {
        self.ledger.ended(id, Ended::Closed, self.at(ms));
        self
    }
}

const GET: &str = "GET /get/1";
const POST: &str = "POST /post/1";

fn sound(story: &mut Story) {
    story.served("a", GET, 0).served("b", POST, 100);
    // An idempotent request may run on two workers, and a refused one may be sent again.
    story.sent("c", GET, 200).ran("c", "w1", GET, 210);
    story.ran("c", "w2", GET, 250);
    story.answered("c", &body_of("c", "w2"), "w2.c", 300);
    for id in 0..80 {
        story.served(&format!("more-{id}"), POST, 400 + id);
    }
}

fn other_answer(story: &mut Story) {
    story.sent("a", GET, 0).ran("a", "w1", GET, 1);
    story.answered("a", &body_of("b", "w1"), "w1.a", 20);
}

fn cut_answer(story: &mut Story) {
    story.sent("a", GET, 0).ran("a", "w1", GET, 1);
    let whole = body_of("a", "w1");
    story.answered("a", &whole.slice(..whole.len() / 2), "w1.a", 20);
}

fn answer_of_nobody(story: &mut Story) {
    story.sent("a", GET, 0);
    story.answered("a", &body_of("a", "w1"), "w1.a", 20);
}

fn twice(story: &mut Story) {
    story.served("a", POST, 0).ran("a", "w2", POST, 50);
}

fn refused_after_run(story: &mut Story) {
    story.sent("a", POST, 0).ran("a", "w1", POST, 1);
    story.refused("a", 503, 20);
}

fn run_after_refusal(story: &mut Story) {
    story.sent("a", POST, 0).refused("a", 503, 20);
    story.ran("a", "w1", POST, 30);
}

fn three_workers(story: &mut Story) {
    story.served("a", GET, 0);
    story.ran("a", "w2", GET, 30).ran("a", "w3", GET, 40);
}

fn never_sent(story: &mut Story) {
    story.ran("a", "w1", GET, 1);
}

fn changed_path(story: &mut Story) {
    story.sent("a", GET, 0).ran("a", "w1", "GET /get/2", 1);
}

fn other_origin(story: &mut Story) {
    story.sent("a", GET, 0);
    let mut run = story.run("a", "w1", GET, 1);
    "orders".clone_into(&mut run.caller);
    story.ledger.ran(&run);
}

fn longer_deadline(story: &mut Story) {
    story.sent("a", GET, 0);
    let mut run = story.run("a", "w1", GET, 1_200);
    run.deadline = Some(Duration::from_millis(1_500));
    story.ledger.ran(&run);
}

fn no_deadline(story: &mut Story) {
    story.sent("a", GET, 0);
    let mut run = story.run("a", "w1", GET, 1);
    run.deadline = None;
    story.ledger.ran(&run);
}

fn work_for_leaving(story: &mut Story) {
    story.ledger.leaves("w1", story.start);
    story.sent("a", GET, 2_490).ran("a", "w1", GET, 2_499);
    story.sent("b", GET, 2_500).ran("b", "w1", GET, 2_501);
}

fn late_configuration(story: &mut Story) {
    story.ledger.configured(5, story.start);
    story.sent("a", "GET /v5", 2_500).refused("a", 404, 2_520);
    story.sent("b", "GET /v5", 2_501).refused("b", 404, 2_520);
}

fn forgotten_configuration(story: &mut Story) {
    story.ledger.configured(5, story.start);
    story.served("a", "GET /v5", 100);
    // The effect was seen at 120 ms.
    story.sent("b", "GET /v5", 370).refused("b", 404, 380);
    story.sent("c", "GET /v5", 371).refused("c", 404, 380);
}

fn cut_by_stop(story: &mut Story) {
    story.ledger.stops(1, story.start);
    story.sent("unread", GET, 100).closed("unread", 150);
    story.sent("waits", GET, 100).closed("waits", 301);
    story.sent("runs", GET, 100).ran("runs", "w1", GET, 110);
    story.closed("runs", 150);
}

fn many_repeats(story: &mut Story) {
    for n in 0..100 {
        let id = format!("{n}");
        story.served(&id, GET, n * 10);
        story.ran(&id, "w2", GET, n * 10 + 50);
    }
}

fn few_served(story: &mut Story) {
    for n in 0..20 {
        let id = format!("{n}");
        if n % 10 == 0 {
            story.sent(&id, GET, n).refused(&id, 503, n + 5);
        } else {
            story.served(&id, GET, n);
        }
    }
}

fn died(story: &mut Story) {
    let at = story.at(700);
    story.ledger.died(3, "signal: 6", at);
}

/// Guards against a ledger that misses a broken promise, or sees one where all are kept.
#[rstest]
#[case::sound("sound", sound)]
#[case::other_answer("other_answer", other_answer)]
#[case::cut_answer("cut_answer", cut_answer)]
#[case::answer_of_nobody("answer_of_nobody", answer_of_nobody)]
#[case::twice("twice", twice)]
#[case::refused_after_run("refused_after_run", refused_after_run)]
#[case::run_after_refusal("run_after_refusal", run_after_refusal)]
#[case::three_workers("three_workers", three_workers)]
#[case::never_sent("never_sent", never_sent)]
#[case::changed_path("changed_path", changed_path)]
#[case::other_origin("other_origin", other_origin)]
#[case::longer_deadline("longer_deadline", longer_deadline)]
#[case::no_deadline("no_deadline", no_deadline)]
#[case::work_for_leaving("work_for_leaving", work_for_leaving)]
#[case::late_configuration("late_configuration", late_configuration)]
#[case::forgotten_configuration("forgotten_configuration", forgotten_configuration)]
#[case::cut_by_stop("cut_by_stop", cut_by_stop)]
#[case::many_repeats("many_repeats", many_repeats)]
#[case::few_served("few_served", few_served)]
#[case::died("died", died)]
fn promises(#[case] name: &str, #[case] tell: fn(&mut Story)) {
    let mut story = Story::new();
    tell(&mut story);
    let violations = story.ledger.finish();
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    assert_snapshot!(name, lines.join("\n"));
}
