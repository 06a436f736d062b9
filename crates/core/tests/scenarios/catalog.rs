//! Scenarios of the catalog.

use std::time::Duration;

use hawthornwall_core::catalog::{
    Absence, Catalog, CatalogEvent, Change, PublishedRoutes, PublishedState, PublishedTarget,
    ServiceLimits, Snapshot,
};
use hawthornwall_core::prelude::*;

use crate::line::Line;

#[derive(Default)]
pub struct Run {
    pub catalog: Catalog,
    snapshot: Snapshot,
}

impl Run {
    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let absence = if line.flag("unverified") {
            Absence::Unverified
        } else if line.text("outage").is_some() {
            Absence::Lapsed(Time::ZERO + line.span("outage", Duration::ZERO))
        } else {
            Absence::Left
        };
        if let Some(change) = change(line) {
            let event = self.catalog.apply(change, absence, line.now);
            return event.iter().map(|e| format!("{e:?}")).collect();
        }
        let events: Vec<CatalogEvent> = match line.verb {
            "listed" => {
                let (name, target) = entry(line);
                self.snapshot.targets.insert(name, target);
                Vec::new()
            }
            "listed-evacuation" => {
                self.snapshot.evacuated.insert(line.word(0));
                Vec::new()
            }
            "replace" => {
                let snapshot = std::mem::take(&mut self.snapshot);
                self.catalog.replace(snapshot, absence, line.now)
            }
            "begin-era" => {
                self.catalog.begin_era(line.now);
                Vec::new()
            }
            "reconnect" => {
                self.catalog.reconnect(line.now);
                Vec::new()
            }
            "tick" => {
                let confirmed = (!line.flag("unconfirmed")).then_some(line.now);
                self.catalog.expire(line.now, confirmed)
            }
            other => panic!("unknown event `{other}`"),
        };
        events.iter().map(|b| format!("{b:?}")).collect()
    }

    pub fn state(&self) -> String {
        let targets = self.catalog.targets();
        let lines = targets.map(|(id, name, entry, leaving)| {
            format!("{name} {id} {} leaving={leaving}", entry.address)
        });
        let cold = self.catalog.cold_until();
        let cold = cold
            .iter()
            .map(|(id, at)| format!("{id} is cold until {at}"));
        let lines = lines.chain(cold);
        let evacuated = self.catalog.evacuated().iter();
        let evacuated = evacuated.map(|domain| format!("{domain} is evacuated"));
        let lines: Vec<_> = lines.chain(evacuated).collect();
        format!("{} {}", self.catalog.version(), lines.join(", "))
    }
}

/// The service whose cold targets are limited, with its limits.
fn cold_limit(line: &Line<'_>) -> Option<(String, ServiceLimits)> {
    let limits = ServiceLimits {
        cold: Duration::from_secs(3),
        cold_interval: Duration::from_micros(71_428),
    };
    line.text("cold-limit")
        .map(|name| (name.to_owned(), limits))
}

/// The change that a line makes; `None` if it does something else.
fn change(line: &Line<'_>) -> Option<Change> {
    match line.verb {
        "entry" => {
            let (name, target) = entry(line);
            Some(Change::Target { name, target })
        }
        "evacuate" => Some(Change::Evacuated {
            domain: line.word(0),
        }),
        "gone" => Some(Change::TargetGone { name: line.word(0) }),
        "revoke" => Some(Change::EvacuationEnded {
            domain: line.word(0),
        }),
        "routes" => Some(Change::Routes(PublishedRoutes {
            services: cold_limit(line).into_iter().collect(),
            version: line.word(0),
            ..PublishedRoutes::default()
        })),
        _ => None,
    }
}

fn entry(line: &Line<'_>) -> (String, PublishedTarget) {
    let state = if line.flag("draining") {
        PublishedState::Draining
    } else if line.flag("unknown-state") {
        PublishedState::Unknown
    } else {
        PublishedState::Ready
    };
    let target = PublishedTarget {
        address: ([10, 0, 0, line.value("host", 1)], 8000).into(),
        started_ms: line.text("started").map(|s| s.parse().unwrap()),
        cold: line.span("cold", Duration::ZERO),
        domain: "a".to_owned(),
        sequence: line.value("sequence", 0),
        service: line.value("service", "calendar".to_owned()),
        slots: 4,
        state,
    };
    (line.word(0), target)
}
