//! The table of fault scenarios.

use hawthornwall_testkit::launcher::Deployment;

/// One fault scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Smallest deployment in which the fault has its effect.
    pub deployment: Deployment,
    /// Name on the command line and in the table of results.
    pub name: &'static str,
    /// Whether callers also close connections and stop sending in the middle of requests.
    pub abandon_requests: bool,
    /// Steps in the notation of [`super::parse_script`].
    pub script: &'static str,
}

const fn small(name: &'static str, script: &'static str) -> Row {
    Row {
        deployment: Deployment::Small,
        name,
        abandon_requests: false,
        script,
    }
}

const fn large(name: &'static str, script: &'static str) -> Row {
    Row {
        deployment: Deployment::Faellesvaerftet,
        ..small(name, script)
    }
}

const fn abandon_requests(row: Row) -> Row {
    Row {
        abandon_requests: true,
        ..row
    }
}

/// All fault scenarios, in the order in which they run and are printed.
pub const ROWS: &[Row] = &[
    small("none", "500 patch; 500 patch"),
    // Process faults.
    small(
        "target-killed",
        "500 patch; 300 kill target A; 1500 start target A",
    ),
    small(
        "daemon-killed",
        "500 kill daemon A; 300 patch; 1000 start daemon A",
    ),
    small(
        "both-killed",
        "500 kill daemon A; 0 kill target A; 300 patch; 1000 start target A; 0 start daemon A",
    ),
    small(
        "daemon-paused",
        "500 pause daemon A; 500 patch; 2500 resume daemon A",
    ),
    small(
        "target-paused",
        "500 pause target A; 500 patch; 2500 resume target A",
    ),
    large(
        "half-killed",
        "500 kill daemon half; 300 patch; 500 start daemon half",
    ),
    // Network faults.
    small("silent-flow", "500 silence A B; 500 patch; 2500 heal"),
    large("partition", "500 partition; 500 patch; 3000 heal"),
    small("isolated", "500 isolate A; 500 patch; 3000 heal"),
    abandon_requests(small("rude-callers", "500 patch; 2500 patch")),
    // Target faults.
    small(
        "connections-refused",
        "500 kill target A; 0 kill target B; 500 patch; 2000 start target A; 0 start target B",
    ),
    small(
        "slow-target",
        "500 behave A {\"slow_factor\":20}; 500 patch; 2500 behave A {\"slow_factor\":1}",
    ),
    small(
        "fail-fast",
        "500 behave A {\"fail_fast\":true}; 500 patch; 2000 behave A {\"fail_fast\":false}",
    ),
    small(
        "shedding-target",
        "500 behave A {\"shed_percent\":80}; 500 patch; 2000 behave A {\"shed_percent\":0}",
    ),
    small(
        "lying-load",
        "500 behave A {\"report\":{\"lie\":{\"state\":\"serving\",\"running\":0,\"queued\":0,\
         \"slots\":99}}}; 0 behave A {\"slow_factor\":10}; 500 patch; 2500 behave A \
         {\"slow_factor\":1}",
    ),
    small(
        "lagging-load",
        "500 behave A {\"report\":{\"lag_ms\":5000}}; 0 behave A {\"slow_factor\":10}; 500 patch; \
         2500 behave A {\"slow_factor\":1}",
    ),
    small(
        "cold-target",
        "500 kill target A; 500 cold A; 0 start target A; 500 patch; 2000 heal",
    ),
    // Platform faults.
    small(
        "list-lags",
        "300 platform lag; 200 leaving A; 500 patch; 4500 live A; 2000 platform ok",
    ),
    small(
        "platform-down",
        "500 platform down; 500 patch; 2500 platform ok",
    ),
    small(
        "platform-stale-restarts",
        "500 patch; 1500 platform stale; 100 patch; 300 kill daemon A; 0 start daemon A; \
         300 kill daemon B; 0 start daemon B; 300 platform ok",
    ),
    small(
        "old-document",
        "300 patch; 800 patch; 800 old; 500 kill daemon A; 0 start daemon A; 500 patch",
    ),
    small("rival-patches", "500 rivals; 500 patch; 500 rivals"),
    // Planned stops.
    small(
        "target-drains",
        "500 behave A {\"state\":\"draining\"}; 500 patch; 4000 behave A {\"state\":\"serving\"}",
    ),
    small(
        "daemon-stopped",
        "500 stop daemon A; 200 patch; 500 start daemon A",
    ),
    small(
        "target-then-daemon-stopped",
        "500 stop target A; 0 stop daemon A; 300 start target A; 0 start daemon A",
    ),
    small(
        "daemon-then-target-stopped",
        "500 stop daemon A; 0 stop target A; 300 start target A; 0 start daemon A",
    ),
    small("rolling-restart", "500 roll; 300 patch"),
    small("listed-leaving", "500 leaving A; 500 patch; 4000 live A"),
    // Two concurrent faults.
    large(
        "partition+daemon-restart",
        "500 partition; 300 kill daemon A; 0 start daemon A; 300 patch; 1000 heal",
    ),
    small(
        "stale+daemon-restart",
        "400 platform stale; 100 patch; 300 stop daemon A; 0 start daemon A; 500 platform ok",
    ),
    small(
        "paused-daemon+patch",
        "500 pause daemon A; 300 patch; 700 patch; 2000 resume daemon A; 100 patch",
    ),
    small(
        "silent-flow+shedding",
        "500 silence A B; 0 behave B {\"shed_percent\":80}; 500 patch; 2500 heal; \
         0 behave B {\"shed_percent\":0}",
    ),
    large(
        "platform-down+half-restarted",
        "500 platform down; 200 kill daemon half; 200 start daemon half; 300 patch; 700 platform ok",
    ),
    small(
        "drain+paused-peer",
        "500 pause daemon B; 200 stop daemon A; 0 start daemon A; 1500 resume daemon B; 300 patch",
    ),
    small(
        "target-drain+paused-peer",
        "500 pause daemon B; 200 behave A {\"state\":\"draining\"}; 1500 resume daemon B; \
         3500 behave A {\"state\":\"serving\"}; 200 patch",
    ),
];

impl Row {
    /// Returns the row with this name.
    pub fn named(name: &str) -> Option<&'static Self> {
        ROWS.iter().find(|row| row.name == name)
    }
}
