//! Test of a complete deployment with daemons and relay.

use std::time::Duration;

use hawthornwall_measure::load::{LoadOptions, check, count_outcomes, run_load};
use hawthornwall_testkit::history;
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment};
use hawthornwall_testkit::run;
use insta::assert_debug_snapshot;
use serde_json::json;

// Guards against failures that show only between real processes: invalid settings, messages that
// can't be encoded, answers that contradict the targets' records, or shutdowns that hang.
#[test]
fn ogun_answers_every_request() {
    let options = ClusterOptions {
        behaviour: json!({"mean_us": 5_000}),
        ..ClusterOptions::default()
    };
    let mut cluster = Cluster::start(Deployment::Ogun, options).expect("the deployment starts");
    let load = LoadOptions {
        direct_percent: 10,
        rate: 200.0,
        repeat_percent: 50,
        requests: 400,
        ..LoadOptions::for_cluster(&cluster)
    };
    let results = run(run_load(&load)).expect("runtime").expect("load");
    let killed = cluster
        .stop_daemons(Duration::from_secs(5))
        .expect("a stop");
    let records = cluster.records().expect("records");
    let limits = history::Limits {
        slots: cluster.plan().slots,
        ..history::Limits::DEFAULT
    };
    let report = history::check(&records, &limits);
    assert!(report.is_clean(), "{report}");
    let mismatches = check(&results, &records).total();
    assert_debug_snapshot!((count_outcomes(&results), mismatches, killed));
}
