//! Tests of the load generator and the launcher, on targets without daemons.

use std::time::Duration;

use hawthornwall_measure::load::{LoadOptions, check, count_outcomes, plan_calls, run_load};
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment};
use hawthornwall_testkit::run;
use insta::{assert_debug_snapshot, assert_json_snapshot};
use serde_json::json;

// Guards against a launcher that omits a process and a generator that loses or misclassifies calls.
#[test]
fn direct_load_on_all_targets_has_no_mismatch() {
    let options = ClusterOptions {
        behaviour: json!({"mean_us": 2_000}),
        daemons: false,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(Deployment::Ogun, options).expect("the targets start");
    let load = LoadOptions {
        direct_percent: 100,
        rate: 1_000.0,
        requests: 500,
        ..LoadOptions::for_cluster(&cluster)
    };
    let results = run(run_load(&load)).expect("runtime").expect("load");
    let found = check(&results, &cluster.target_records().expect("records"));
    assert_json_snapshot!(count_outcomes(&results));
    assert_debug_snapshot!(found);
}

// Guards against plans that differ between runs with the same seed.
#[test]
fn plan_depends_on_the_seed_alone() {
    let load = LoadOptions {
        daemons: Vec::new(),
        direct_percent: 0,
        history: None,
        post_percent: 30,
        rate: 100.0,
        repeat_percent: 0,
        requests: 1_000,
        seed: 7,
        services: vec![hawthornwall_measure::load::ServiceLoad {
            name: "order".to_owned(),
            targets: vec![hawthornwall_measure::load::Endpoint {
                address: ([127, 0, 0, 1], 1).into(),
                domain: "ng-1".to_owned(),
                name: "order-1".to_owned(),
            }],
        }],
        timeout: Duration::from_secs(1),
        initial_connections: 0,
    };
    let calls = plan_calls(&load);
    assert_eq!(calls, plan_calls(&load));
    assert_debug_snapshot!((calls[0], calls[999].at));
}
