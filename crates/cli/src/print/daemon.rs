//! Formats the status of daemons.

use serde_json::{Value, json};

use super::table::{lines as join, table};
use crate::run::DaemonStatus;

const COLUMNS: [&str; 8] = [
    "ADDRESS", "TARGET", "VERSION", "IN FORCE", "UP", "STATE", "RUNNING", "QUEUED",
];

/// Formats a table with one row per daemon, followed by the errors of failed queries.
pub(super) fn lines(daemons: &[DaemonStatus]) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned)];
    let mut faults = Vec::new();
    for daemon in daemons {
        match &daemon.status {
            Ok(status) => rows.push(row(daemon, status)),
            Err(fault) => {
                let mut row = COLUMNS.map(|_| "-".to_owned());
                row[0] = daemon.address.to_string();
                "unreachable".clone_into(&mut row[5]);
                rows.push(row);
                faults.push(fault.clone());
            }
        }
    }
    table(&rows) + &join(faults)
}

/// Returns the address and the whole status page as JSON, or the error of a failed query.
pub(super) fn status_json(daemon: &DaemonStatus) -> Value {
    match &daemon.status {
        Ok(status) => json!({ "address": daemon.address, "status": status }),
        Err(fault) => json!({ "address": daemon.address, "fault": fault }),
    }
}

fn row(daemon: &DaemonStatus, status: &Value) -> [String; 8] {
    let number = |pointer: &str| status.pointer(pointer).and_then(Value::as_u64);
    let text = |pointer: &str| {
        let text = status.pointer(pointer).and_then(Value::as_str);
        text.unwrap_or("-").to_owned()
    };
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    let running = number("/gate/report/running").zip(number("/gate/report/slots"));
    [
        daemon.address.to_string(),
        text("/name"),
        or_dash(number("/control/version").map(|v| format!("v{v}"))),
        or_dash(number("/control/in_force_ms").map(age)),
        or_dash(number("/uptime_ms").map(age)),
        text("/state"),
        or_dash(running.map(|(running, slots)| format!("{running}/{slots}"))),
        or_dash(number("/gate/report/queued").map(|n| n.to_string())),
    ]
}

/// Formats a duration in its two largest units.
fn age(ms: u64) -> String {
    let seconds = ms / 1_000;
    let (minutes, hours, days) = (seconds / 60, seconds / 3_600, seconds / 86_400);
    match () {
        () if days > 0 => format!("{days} d {} h", hours % 24),
        () if hours > 0 => format!("{hours} h {} min", minutes % 60),
        () if minutes > 0 => format!("{minutes} min {} s", seconds % 60),
        () => format!("{seconds} s"),
    }
}
