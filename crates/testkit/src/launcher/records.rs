//! All records of a deployment, and those that daemons write in their logs.

use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::Value;

use super::cluster::Cluster;
use crate::history::{Event, Record, read_records};

/// Longest wait for the end of each run. A target records it after it has sent the answer, so that the
/// caller may know of it first; a run that was killed has none.
const END_LIMIT: Duration = Duration::from_secs(1);
/// Pause before the records are read again.
const END_PAUSE: Duration = Duration::from_millis(10);

/// Name of a daemon in histories; the target beside it has the plain name.
pub fn daemon_party(target: &str) -> String {
    format!("daemon-{target}")
}

/// One line of a daemon's log.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    kv: Value,
    payload: String,
    /// Milliseconds since the Unix epoch.
    timestamp: u64,
}

/// The versions that came into force, by the log of a daemon. Lines of other programs are skipped.
pub fn log_records(log: &str, party: &str) -> Vec<Record> {
    let lines = log
        .lines()
        .filter_map(|l| serde_json::from_str::<Line>(l).ok());
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

fn in_force(line: &Line, instance: &str) -> Option<Event> {
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
    /// All records of callers, targets, daemons, platform and launcher.
    ///
    /// # Errors
    ///
    /// A history or log can't be read.
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

    /// The versions that came into force at the daemons, by their logs.
    ///
    /// # Errors
    ///
    /// A log can't be read.
    pub fn daemon_records(&self) -> io::Result<Vec<Record>> {
        let mut records = Vec::new();
        for node in self.nodes.iter().filter(|_| self.options.daemons) {
            let name = &node.plan.name;
            let log = fs::read_to_string(self.folder.file(&format!("{name}.daemon.log")))?;
            records.extend(log_records(&log, &daemon_party(name)));
        }
        Ok(records)
    }

    /// The records of all targets.
    ///
    /// # Errors
    ///
    /// A history can't be read.
    pub fn target_records(&self) -> io::Result<Vec<Record>> {
        let end = Instant::now() + END_LIMIT;
        loop {
            let records = self.read_target_records()?;
            if Instant::now() >= end || all_ended(&records) {
                return Ok(records);
            }
            thread::sleep(END_PAUSE);
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

/// Whether as many runs have ended as were started.
fn all_ended(records: &[Record]) -> bool {
    let count = |wanted: fn(&Event) -> bool| records.iter().filter(|r| wanted(&r.event)).count();
    let started = count(|e| matches!(e, Event::RunStarted { .. }));
    let ended = count(|e| matches!(e, Event::RunEnded { .. }));
    ended >= started
}
