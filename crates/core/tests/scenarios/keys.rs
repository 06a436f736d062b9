//! Scenarios of the idempotency key ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::keys::{Key, KeyLimits, KeyResult, Ledger};
use hawthornwall_core::prelude::*;

use crate::line::{Line, variant};

pub struct Run {
    keys: BTreeMap<String, Key>,
    pub ledger: Ledger,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let limits = KeyLimits {
            max_age: line.span("max_age", Duration::from_secs(10)),
            max_records: line.value("max_records", 10),
        };
        Self {
            keys: BTreeMap::new(),
            ledger: Ledger::new(InstanceId(1), TargetId(4), limits),
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        match line.verb {
            "end" => {
                let end = match (line.word::<String>(1).as_str(), line.text("loss")) {
                    ("answered", None) => KeyResult::Answered,
                    ("lost", Some(loss)) => KeyResult::Lost(variant(loss)),
                    ("not-run", None) => KeyResult::NotRun,
                    (other, _) => panic!("unknown end `{other}`"),
                };
                self.ledger.end(self.key(line).serial, end, line.now);
                Vec::new()
            }
            "expire" => vec![format!("dropped {:?}", self.ledger.expire(line.now))],
            "issue" => {
                let issued = self
                    .ledger
                    .issue(ServiceId(1), line.value("tag", 7), line.now);
                if let Ok(key) = issued {
                    self.keys.insert(line.word(0), key);
                }
                vec![issued.map_or_else(|r| format!("Refuse({r:?})"), |key| key.to_string())]
            }
            "request" => {
                let key = self.key(line);
                vec![format!(
                    "{:?}",
                    self.ledger
                        .begin(&key, line.value("fingerprint", 1), line.now)
                )]
            }
            other => panic!("unknown event `{other}`"),
        }
    }

    /// The issued key with the given name, with its fields overridden by those in the line.
    fn key(&self, line: &Line<'_>) -> Key {
        let issued = self.keys[&line.word::<String>(0)];
        Key {
            instance: line
                .text("instance")
                .map_or(issued.instance, |i| i.parse().unwrap()),
            serial: line.value("serial", issued.serial),
            service: line.value("service", issued.service),
            tag: line.value("tag", issued.tag),
            target: line.value("target", issued.target),
        }
    }
}
