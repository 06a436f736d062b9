//! Tests of the fake worker against the platform's rules for answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use hawthornwall_testkit::http1::{Connection, Fault};
use hawthornwall_testkit::run;
use hawthornwall_testkit::worker::{
    AnswerFault, WorkerBehaviour, WorkerOptions, answer_body, serve,
};
use http::{Request, Response};
use insta::assert_snapshot;
use rstest::rstest;

/// Time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

fn describe(
    result: Result<Result<Response<Bytes>, Fault>, monoio::time::error::Elapsed>,
) -> String {
    match result {
        Err(_) => "no answer".to_owned(),
        Ok(Err(fault)) => format!("{fault:?}"),
        Ok(Ok(answer)) => {
            let header = |name: &str| {
                let value = answer.headers().get(name);
                value.map_or("-".to_owned(), |v| {
                    String::from_utf8_lossy(v.as_bytes()).into()
                })
            };
            let whole = answer.body() == &answer_body("7", "w1");
            format!(
                "{} whole {whole}, seal {}, not run {}, load {}, connection {}",
                answer.status().as_u16(),
                header("x-response-seal"),
                header("x-not-executed"),
                header("x-server-load"),
                header("connection")
            )
        }
    }
}

/// An address that no other worker of this program uses: the tests run in parallel, and a port that was free
/// for one may be taken by another before the worker listens.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let worker = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 214, worker, 1], 9000))
}

/// Sends one request to a worker and describes the answer and the number of reported runs.
fn answer_to(behaviour: WorkerBehaviour, headers: &[(&str, &str)]) -> String {
    let seen = run(async {
        let (run_sender, mut runs) = mpsc::unbounded();
        let options = WorkerOptions {
            address: own_address(),
            name: "w1".to_owned(),
            seed: 1,
            service: "views".to_owned(),
            slots: 2,
        };
        let worker = serve(options.clone(), run_sender).expect("the worker starts");
        worker.behaviour.set(behaviour);
        let mut request = Request::get("/get/7").header("host", "worker");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Bytes::new()).expect("the request is valid");
        let mut connection = Connection::open(options.address).await.expect("it listens");
        let exchange = monoio::time::timeout(ANSWER_TIMEOUT, connection.exchange(&request));
        let answer = describe(exchange.await);
        let mut count = 0;
        while runs.try_recv().is_ok() {
            count += 1;
        }
        format!("{answer}; runs {count}")
    });
    seen.expect("the runtime starts")
}

const ID: (&str, &str) = ("x-request-id", "7");

/// Guards against a fake whose answers differ from those of real workers: tests of the daemons
/// against it would prove nothing.
#[rstest]
#[case::normal("normal", AnswerFault::None, &[ID])]
#[case::expected_instance("expected_instance", AnswerFault::None, &[ID, ("x-expect-instance", "w1")])]
#[case::other_instance("other_instance", AnswerFault::None, &[ID, ("x-expect-instance", "w2")])]
#[case::no_id("no_id", AnswerFault::None, &[])]
#[case::answer_lost("answer_lost", AnswerFault::AnswerLost, &[ID])]
#[case::close("close", AnswerFault::Close, &[ID])]
#[case::error("error", AnswerFault::Error, &[ID])]
#[case::extra("extra", AnswerFault::Extra, &[ID])]
#[case::hang("hang", AnswerFault::Hang, &[ID])]
#[case::shed("shed", AnswerFault::Shed, &[ID])]
#[case::truncate("truncate", AnswerFault::Truncate, &[ID])]
#[case::unframed("unframed", AnswerFault::Unframed, &[ID])]
fn answers(
    #[case] name: &str,
    #[case] answer_fault: AnswerFault,
    #[case] headers: &[(&str, &str)],
) {
    let behaviour = WorkerBehaviour {
        percent: 100,
        answer_fault,
        ..WorkerBehaviour::default()
    };
    assert_snapshot!(name, answer_to(behaviour, headers));
}
