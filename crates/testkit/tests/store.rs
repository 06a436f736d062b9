//! Tests of the fake store against the platform's rules for ranges, watches and failures.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::store::{Fault, StoreHandle, serve};
use hawthornwall_testkit::{launcher, run};
use http::Request;
use insta::assert_snapshot;
use serde_json::{Value, json};

/// Time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

async fn get(store: SocketAddr, path: &str) -> String {
    let ask = async {
        let mut connection = Connection::open(store).await.ok()?;
        let request = Request::get(path).header("host", "store");
        let request = request.body(Bytes::new()).expect("the request is valid");
        connection.exchange(&request).await.ok()
    };
    match monoio::time::timeout(ANSWER_TIMEOUT, ask).await {
        Err(_) => "no answer".to_owned(),
        Ok(None) => "closed".to_owned(),
        Ok(Some(answer)) => {
            let status = answer.status().as_u16();
            let body: Value = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
            let listed = |list: &str| {
                let all = body[list].as_array().cloned().unwrap_or_default();
                let line = |item: &Value| format!("{}@{}", item["key"], item["revision"]);
                all.iter().map(line).collect::<Vec<_>>().join(" ")
            };
            let (items, events) = (listed("items"), listed("events"));
            let (more, revision) = (&body["hasMore"], &body["storeRevision"]);
            let era = answer.headers().get("store-era");
            let era = era.map(|e| format!(" era {}", e.to_str().unwrap_or("?")));
            let era = era.unwrap_or_default();
            format!(
                "{status} items [{items}] events [{events}] more {more} revision {revision}{era}"
            )
        }
    }
}

/// Starts a store with two readers, runs the scenario and returns the lines that it produced.
fn run_scenario(scenario: impl AsyncFn(StoreHandle, [SocketAddr; 2]) -> Vec<String>) -> String {
    let lines = run(async {
        let address = || launcher::free_address().expect("a port is free");
        let readers = [address(), address()];
        let store = serve(&readers).expect("the store starts");
        scenario(store, readers).await
    });
    lines.expect("the runtime starts").join("\n")
}

/// Guards against a fake whose ranges, events or pages differ from those of the real store.
#[test]
fn ranges_and_watches() {
    let seen = run_scenario(async |store, [reader, _]| {
        store.put("servers/a", &json!(1));
        store.put("servers/b", &json!(2));
        store.put("op/config", &json!(3));
        store.delete("servers/a");
        let paths = [
            "/api/kv-range?prefix=servers%2F",
            "/api/kv-range?prefix=&after=op%2Fconfig",
            "/api/kv-watch?prefix=servers%2F&after=1&waitMs=100",
            "/api/kv-watch?prefix=&after=4&waitMs=100",
            "/api/kv-key?key=servers%2Fa",
        ];
        let mut seen = Vec::new();
        for path in paths {
            seen.push(format!("{path}\n  {}", get(reader, path).await));
        }
        store.compact();
        let path = "/api/kv-watch?prefix=&after=2&waitMs=100";
        seen.push(format!("compacted\n  {}", get(reader, path).await));
        for n in 0..60 {
            store.put(&format!("x/{n:02}"), &json!(n));
        }
        let page = get(reader, "/api/kv-range?prefix=x").await;
        let (_, last) = page.rsplit_once("x/").expect("the page has items");
        seen.push(format!("a full page ends with {last}"));
        seen
    });
    assert_snapshot!(seen);
}

/// Guards against an injected fault that has no effect or affects another reader.
#[test]
fn failures() {
    let seen = run_scenario(async |store, [one, other]| {
        store.put("a", &json!(1));
        let faults = [
            Fault::Busy,
            Fault::Limited,
            Fault::Reset,
            Fault::Silent,
            Fault::Slow(Duration::from_millis(100)),
            Fault::NoEvents,
            Fault::None,
        ];
        let mut seen = Vec::new();
        for fault in faults {
            store.fail(Some(0), fault);
            let path = "/api/kv-watch?prefix=&after=0&waitMs=100";
            let (first, second) = (get(one, path).await, get(other, path).await);
            seen.push(format!("{fault:?}\n  {first}\n  {second}"));
        }
        store.fail(None, Fault::Busy);
        seen.push(get(other, "/api/kv-range?prefix=").await);
        seen
    });
    assert_snapshot!(seen);
}

/// Guards against a fake whose return from an older copy differs from that of the real store: revisions go back and
/// are assigned again, all answers state the era, and a watch from a revision that was lost is rejected.
#[test]
fn return_from_older_copy() {
    let seen = run_scenario(async |store, [reader, _]| {
        store.put("servers/a", &json!(1));
        store.keep_copy();
        store.put("servers/b", &json!(2));
        store.put("servers/c", &json!(3));
        let range = "/api/kv-range?prefix=servers%2F";
        let watch = "/api/kv-watch?prefix=&after=3&waitMs=100";
        let mut seen = vec![format!("before\n  {}", get(reader, range).await)];
        store.return_to_copy();
        for path in [range, "/api/kv-range?prefix=&allowStale=1", watch] {
            seen.push(format!("returned, {path}\n  {}", get(reader, path).await));
        }
        store.put("servers/d", &json!(4));
        seen.push(format!("written, {range}\n  {}", get(reader, range).await));
        store.fail(None, Fault::Busy);
        seen.push(format!("busy\n  {}", get(reader, range).await));
        store.fail(None, Fault::None);
        store.return_to_copy();
        seen.push(format!("again\n  {}", get(reader, range).await));
        seen
    });
    assert_snapshot!(seen);
}
