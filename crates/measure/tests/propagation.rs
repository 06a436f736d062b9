//! Propagation of configuration versions in a running fleet, and memory per peer connection.

use std::time::{Duration, Instant};

use hawthornwall_measure::capacity::{Fleet, FleetOptions, Sample};
use hawthornwall_testkit::launcher::LaunchError;
use serde_json::{Value, json};

/// Time within which a published version must be in force at all daemons.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn start(count: usize) -> Fleet {
    let options = FleetOptions {
        count,
        probes: None,
        relay: false,
    };
    Fleet::start(options).expect("the fleet starts")
}

fn version(status: &Result<Value, LaunchError>) -> Option<u64> {
    let status = status.as_ref().ok()?;
    status.pointer("/control/version")?.as_u64()
}

/// Whether all daemons have `expected` in force before the limit expires.
fn comes_into_force(fleet: &Fleet, expected: u64) -> bool {
    let end = Instant::now() + IN_FORCE_LIMIT;
    loop {
        let mut statuses = (0..fleet.cluster.nodes.len()).map(|i| fleet.cluster.status(i));
        if statuses.all(|status| version(&status) == Some(expected)) {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against patches that some daemon receives late or never: daemons that don't watch the
// platform receive them only from peers.
#[test]
fn a_patch_is_in_force_everywhere_in_time() {
    let mut fleet = start(18);
    let first = fleet.version().0;
    assert!(
        comes_into_force(&fleet, first),
        "version {first} is not in force everywhere"
    );
    for number in 1..=3 {
        let published = fleet
            .publish_patch(&[true, true])
            .expect("the patch is published");
        assert_eq!(published, first + number);
        assert!(
            comes_into_force(&fleet, published),
            "version {published} is not in force everywhere"
        );
    }
}

// Guards against a daemon that can't start while the platform is down, or that then uses an older
// version than its peers.
#[test]
fn a_daemon_starts_from_peers_while_the_platform_is_down() {
    let mut fleet = start(6);
    let newest = fleet
        .publish_patch(&[true, true])
        .expect("the patch is published");
    assert!(
        comes_into_force(&fleet, newest),
        "version {newest} is not in force everywhere"
    );
    for region in 0..2 {
        let down = json!({ "down": true });
        fleet
            .platform_fault(region, &down)
            .expect("the platform accepts the fault");
    }
    fleet.cluster.restart_daemon(0).expect("the daemon starts");
    let status = fleet.cluster.status(0);
    assert_eq!(version(&status), Some(newest));
    let ready = status
        .ok()
        .and_then(|s| s.pointer("/control/ready")?.as_bool());
    assert_eq!(ready, Some(true));
}

/// Mean memory in KiB and mean number of peer connections of a daemon, a second after the start.
fn memory_and_connections(count: usize) -> [f64; 2] {
    let fleet = start(count);
    std::thread::sleep(Duration::from_secs(1));
    let sample = Sample::take(&fleet);
    let rates = sample.rates(&Sample::take(&fleet), |_| true);
    [rates.memory_mib * 1024.0, rates.connections]
}

// Guards against buffers or other state allocated for every peer connection without need: a daemon
// of a large fleet has hundreds of connections.
#[test]
fn a_peer_connection_takes_little_memory() {
    let (few, many) = (memory_and_connections(6), memory_and_connections(24));
    let [memory, connections] = [0, 1].map(|i| many[i] - few[i]);
    assert!(
        connections > 4.0,
        "18 more daemons added only {connections} connections"
    );
    let each = memory / connections;
    assert!(each < 150.0, "{each:.0} KiB per connection");
}
