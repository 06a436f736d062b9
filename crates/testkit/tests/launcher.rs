//! Tests of the launcher: signals, restarts, cleanup and records from daemon logs.

use std::path::Path;
use std::time::Duration;

use hawthornwall_testkit::launcher::{
    Child, Cluster, ClusterOptions, Deployment, Signal, log_records,
};
use hawthornwall_testkit::procfs::Usage;
use insta::assert_debug_snapshot;

fn start(deployment: Deployment) -> Cluster {
    let options = ClusterOptions {
        daemons: false,
        ..ClusterOptions::default()
    };
    Cluster::start(deployment, options).expect("the targets start")
}

fn state(pid: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit(") ").next()?.chars().next()
}

// Guards against processes, paused or running, and files that remain after the cluster is dropped.
#[test]
fn nothing_outlives_a_cluster() {
    let mut cluster = start(Deployment::Faellesvaerftet);
    let folder = cluster.folder().to_owned();
    let old = cluster.nodes[0].target.as_ref().expect("a target").pid();
    cluster.start_target(0).expect("a restart");
    assert_eq!(state(old), None);
    let pids: Vec<u32> = cluster
        .nodes
        .iter()
        .flat_map(|n| &n.target)
        .map(Child::pid)
        .collect();
    let first = cluster.nodes[0].target.as_ref().expect("a target");
    first.signal(Signal::Stop).expect("a stop");
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(state(first.pid()), Some('T'));
    drop(cluster);
    assert!(pids.iter().all(|pid| state(*pid).is_none()));
    assert!(!Path::new(&folder).exists());
}

// Guards against fakes that use processor time while idle, which would distort latency measurements
// on the same machine, and against the use of `io_uring`.
#[test]
fn idle_fakes_use_no_processor_time() {
    let cluster = start(Deployment::Ogun);
    let fakes = cluster
        .nodes
        .iter()
        .flat_map(|n| &n.target)
        .chain([&cluster.platform]);
    let pids: Vec<u32> = fakes.map(Child::pid).collect();
    let usage = || pids.iter().map(|pid| Usage::of(*pid).expect("a process"));
    let before: Duration = usage().map(|u| u.cpu).sum();
    std::thread::sleep(Duration::from_millis(300));
    let after: Duration = usage().map(|u| u.cpu).sum();
    let used = after.saturating_sub(before);
    // Allows one tick for each of two processes whose startup time is accounted late.
    assert!(used <= Duration::from_millis(20), "used {used:?}");
    assert_eq!(usage().map(|u| u.io_urings).sum::<usize>(), 0);
}

// Guards against unintended changes to the predefined deployments.
#[test]
fn deployments() {
    let plans = [Deployment::Faellesvaerftet, Deployment::Ogun].map(|d| {
        let plan = d.plan();
        let services: Vec<_> = plan
            .services
            .iter()
            .map(|s| {
                let domains: Vec<_> = s.targets.iter().map(|t| t.domain.clone()).collect();
                format!("{}: {}", s.name, domains.join(" "))
            })
            .collect();
        let replayed = plan.document().replay();
        let verified = (replayed.skipped.len(), replayed.configuration.verify());
        (d.name(), plan.slots, plan.delay_us, services, verified)
    });
    assert_debug_snapshot!(plans);
}

// Guards against missing versions and wrong times in records read from daemon logs.
#[test]
fn versions_in_a_daemon_log() {
    let log = r#"
{"level":"info","timestamp":1000,"payload":"daemon started","kv":{"instance":"instance01"},"tid":1}
{"level":"info","timestamp":1184,"payload":"adopted configuration","kv":{"version":"v1","digest":"ff"}}
thread 'main' panicked
{"level":"info","timestamp":2000,"payload":"daemon started","kv":{"instance":"instance02"},"tid":1}
{"level":"info","timestamp":2100,"payload":"adopted configuration","kv":{"version":"v2","digest":"100"}}
"#;
    assert_debug_snapshot!(log_records(log, "daemon-order-1"));
}
