//! Collects the history records of a deployment from history files and daemon logs.

use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::Value;

use super::cluster::Cluster;
use crate::history::{Event, Record, read_records};

/// Maximum time to wait for the end records of all runs. A target writes this record only after it
/// has sent the answer, and a run that was killed has no end record.
const RUN_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the records are read until all runs have ended.
const RUN_END_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name of a daemon in histories, derived from the name of its target.
pub fn daemon_party(target: &str) -> String {
    format!("daemon-{target}")
}

/// A line of a daemon log.
#[derive(Deserialize)]
struct LogLine {
    #[serde(default)]
    kv: Value,
    payload: String,
    /// Milliseconds since the Unix epoch.
    timestamp: u64,
}

/// Extracts the versions that came into force from a daemon log. Lines in other formats
/// are skipped.
pub fn log_records(log: &str, party: &str) -> Vec<Record> {
    let lines = log
        .lines()
        .filter_map(|l| serde_json::from_str::<LogLine>(l).ok());
    let mut instance = String::new();
    let mut records = Vec::new();
    for line in lines {
        match line.payload.as_str() {
            "daemon started" => text(&line.kv, "instance").clone_into(&mut instance),
            "adopted configuration" => {
                let at = line.timestamp * 1_000;
                let party = party.to_owned();
                let event = in_force(&line, &instance);
                records.extend(event.map(|event| Record { at, event, party }));
            }
            _ => {}
        }
    }
    records
}

fn in_force(line: &LogLine, instance: &str) -> Option<Event> {
    Some(Event::InForce {
        digest: u64::from_str_radix(text(&line.kv, "digest"), 16).ok()?,
        instance: instance.to_owned(),
        version: text(&line.kv, "version").strip_prefix('v')?.parse().ok()?,
    })
}

fn text<'a>(fields: &'a Value, name: &str) -> &'a str {
    fields[name].as_str().unwrap_or_default()
}

impl Cluster {
    /// Reads the records of callers, targets, daemons, the platform and the launcher. They are not
    /// sorted by time.
    ///
    /// # Errors
    ///
    /// Returns an error if a history or log can't be read.
    pub fn records(&self) -> io::Result<Vec<Record>> {
        let mut records = self.target_records()?;
        for name in ["callers", "platform", "presence"] {
            let path = self.folder.file(&format!("{name}.history"));
            if Path::new(&path).exists() {
                records.extend(read_records(&path)?);
            }
        }
        records.extend(self.daemon_records()?);
        Ok(records)
    }

    /// Reads the versions that came into force at the daemons from their logs.
    ///
    /// # Errors
    ///
    /// Returns an error if a log can't be read.
    pub fn daemon_records(&self) -> io::Result<Vec<Record>> {
        let mut records = Vec::new();
        for node in self.nodes.iter().filter(|_| self.options.daemons) {
            let name = &node.plan.name;
            let log = fs::read_to_string(self.folder.file(&format!("{name}.daemon.log")))?;
            records.extend(log_records(&log, &daemon_party(name)));
        }
        Ok(records)
    }

    /// Reads the records of all targets, waiting up to one second for started runs to end.
    ///
    /// # Errors
    ///
    /// Returns an error if a history can't be read.
    pub fn target_records(&self) -> io::Result<Vec<Record>> {
        let end = Instant::now() + RUN_END_TIMEOUT;
        loop {
            let records = self.read_target_records()?;
            if Instant::now() >= end || all_ended(&records) {
                return Ok(records);
            }
            thread::sleep(RUN_END_POLL_INTERVAL);
        }
    }

    fn read_target_records(&self) -> io::Result<Vec<Record>> {
        let names = self
            .nodes
            .iter()
            .map(|n| format!("{}.history", n.plan.name));
        let read: io::Result<Vec<_>> = names.map(|n| read_records(&self.folder.file(&n))).collect();
        Ok(read?.concat())
    }
}

/// Whether there are as many end records as start records.
fn all_ended(records: &[Record]) -> bool {
    let count =
        |predicate: fn(&Event) -> bool| records.iter().filter(|r| predicate(&r.event)).count();
    let started = count(|e| matches!(e, Event::RunStarted { .. }));
    let ended = count(|e| matches!(e, Event::RunEnded { .. }));
    ended >= started
}
