//! Scenarios of the reads of the store.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::catalog::{
    Absence, CallEnd, Level, Published, Revision, Sources, StorePosition, StoreSync, UpdateHead,
};
use hawthornwall_core::prelude::*;

use crate::line::{Line, duration};

pub struct Run {
    pub store_sync: StoreSync,
    now: Time,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let mut store_sync = StoreSync::new(line.value("seed", 1));
        if !line.flag("nothing-published") {
            let published = Published {
                own: true,
                routes: true,
                targets: 1,
                unverified: false,
            };
            store_sync.set_sources(published, Sources::default());
        }
        Self {
            store_sync,
            now: Time::ZERO,
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        self.now = line.now.max(self.now);
        let end = match line.verb {
            "query" => {
                return vec![format!(
                    "{:?}",
                    self.store_sync.update_for(&position(line), self.now)
                )];
            }
            "era" => {
                let order = self.store_sync.receive_era(line.word(0), self.now);
                return vec![format!("{order:?}"), self.state()];
            }
            "hint" => {
                self.store_sync.receive_hint(line.word(0), self.now);
                None
            }
            "failed" => Some(CallEnd::Failed),
            "unusable" => Some(CallEnd::Unusable(line.word(0))),
            "incomplete" => Some(CallEnd::Incomplete),
            "history-gone" => Some(CallEnd::HistoryGone),
            "update" => Some(CallEnd::Update(line.word(0), head(line))),
            "no-update" => Some(CallEnd::NoUpdate(line.word(0))),
            "read" => Some(CallEnd::Read {
                revision: line.word(0),
            }),
            "reached" => Some(CallEnd::Reached),
            "read-stale" => Some(CallEnd::ReadStale {
                revision: line.word(0),
            }),
            "refused" => Some(CallEnd::Refused),
            "sources" => {
                let published = Published {
                    own: !line.flag("own-missing"),
                    routes: !line.flag("no-routes"),
                    targets: line.word(0),
                    unverified: line.flag("unverified"),
                };
                self.store_sync.set_sources(published, sources(line));
                None
            }
            "tick" => None,
            other => panic!("unknown event `{other}`"),
        };
        if let Some(end) = end {
            self.store_sync.end(end, self.now);
        }
        let absence = self.store_sync.absence();
        let absence = (absence != Absence::Left).then(|| format!("absence: {absence:?}"));
        let check = self.store_sync.must_check(self.now);
        let check = check.then(|| "absence needs a check".to_owned());
        let notes = absence.into_iter().chain(check);
        notes.chain([self.state()]).collect()
    }

    pub fn state(&self) -> String {
        let (due, call) = self.store_sync.next(self.now);
        format!("{call:?} at {due}")
    }
}

fn sources(line: &Line<'_>) -> Sources {
    let parents = line.text("peers").unwrap_or_default();
    let parents = parents.split(',').filter(|p| !p.is_empty());
    Sources {
        level: match line.text("level") {
            Some("head") => Level::Head,
            Some("member") => Level::Member,
            Some(_) | None => Level::Root,
        },
        parents: parents.map(|p| p.parse::<SocketAddr>().unwrap()).collect(),
    }
}

fn head(line: &Line<'_>) -> UpdateHead {
    UpdateHead {
        age: line.span("age", Duration::ZERO),
        outage: line.text("outage").map(duration),
        revision: line.value("revision", Revision::default()),
    }
}

fn position(line: &Line<'_>) -> StorePosition {
    StorePosition {
        age: line.text("age").map(duration),
        revision: line.value("revision", Revision::default()),
    }
}
