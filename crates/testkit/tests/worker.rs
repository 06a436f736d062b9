//! Contract of the workers' fake: what the users' platform says of their answers.

use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use hawthornwall_testkit::http1::{Connection, Fault};
use hawthornwall_testkit::worker::{Conduct, Quirk, WorkerPlan, body_of, serve};
use hawthornwall_testkit::{launcher, run};
use http::{Request, Response};
use insta::assert_snapshot;
use rstest::rstest;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_millis(500);

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
            let whole = answer.body() == &body_of("7", "w1");
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

/// Sends one request to a worker with a quirk; tells its answer and how often it has run.
fn answer_to(conduct: Conduct, headers: &[(&str, &str)]) -> String {
    let seen = run(async {
        let (witness, mut runs) = mpsc::unbounded();
        let plan = WorkerPlan {
            address: launcher::free_address().expect("a port is free"),
            name: "w1".to_owned(),
            seed: 1,
            service: "views".to_owned(),
            slots: 2,
        };
        let worker = serve(plan.clone(), witness).expect("the worker starts");
        worker.conduct.set(conduct);
        let mut request = Request::get("/get/7").header("host", "worker");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Bytes::new()).expect("the request is valid");
        let mut connection = Connection::open(plan.address).await.expect("it listens");
        let exchange = monoio::time::timeout(LIMIT, connection.exchange(&request));
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

/// Guards against a fake that answers otherwise than workers do, so that daemons are tested against nothing.
#[rstest]
#[case::sound("sound", Quirk::None, &[ID])]
#[case::expected("expected", Quirk::None, &[ID, ("x-expect-instance", "w1")])]
#[case::another("another", Quirk::None, &[ID, ("x-expect-instance", "w2")])]
#[case::no_id("no_id", Quirk::None, &[])]
#[case::answer_lost("answer_lost", Quirk::AnswerLost, &[ID])]
#[case::close("close", Quirk::Close, &[ID])]
#[case::error("error", Quirk::Error, &[ID])]
#[case::extra("extra", Quirk::Extra, &[ID])]
#[case::hang("hang", Quirk::Hang, &[ID])]
#[case::shed("shed", Quirk::Shed, &[ID])]
#[case::truncate("truncate", Quirk::Truncate, &[ID])]
#[case::unframed("unframed", Quirk::Unframed, &[ID])]
fn answers(#[case] name: &str, #[case] quirk: Quirk, #[case] headers: &[(&str, &str)]) {
    let conduct = Conduct {
        percent: 100,
        quirk,
        ..Conduct::default()
    };
    assert_snapshot!(name, answer_to(conduct, headers));
}
