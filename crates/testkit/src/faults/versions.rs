//! Versions in force, from the daemons' logs.

use std::io;
use std::path::Path;

use serde_json::Value;

use crate::history::{Event, Record};

/// Records of the versions that one daemon's log shows; lines of other kinds are passed over.
///
/// # Errors
///
/// The log can't be read.
pub fn versions_in_force(log: &Path, party: &str) -> io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(log)?;
    let mut instance = String::new();
    let mut records = Vec::new();
    for line in text.lines() {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            continue;
        };
        let field = |name: &str| line["kv"][name].as_str().unwrap_or_default();
        match line["payload"].as_str() {
            Some("daemon started") => field("instance").clone_into(&mut instance),
            Some("adopted configuration") => {
                let event = Event::InForce {
                    digest: u64::from_str_radix(field("digest"), 16).unwrap_or_default(),
                    instance: instance.clone(),
                    version: field("version")[1..].parse().unwrap_or_default(),
                };
                records.push(Record {
                    at: line["timestamp"].as_u64().unwrap_or_default() * 1_000,
                    event,
                    party: party.to_owned(),
                });
            }
            Some(_) | None => {}
        }
    }
    Ok(records)
}
