//! Scenarios of the store's follower.

use hawthornwall_core::catalog::{CallEnd, Follower};

use crate::line::Line;

pub struct Run {
    pub follower: Follower,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        Self {
            follower: Follower::new(line.value("seed", 1)),
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let end = match line.verb {
            "targets" => {
                self.follower.set_targets(line.word(0));
                return Vec::new();
            }
            "failed" => CallEnd::Failed,
            "history-gone" => CallEnd::HistoryGone,
            "read" => CallEnd::Read {
                revision: line.word(0),
            },
            "refused" => CallEnd::Refused,
            other => panic!("unknown event `{other}`"),
        };
        let outage = self.follower.end(end, line.now);
        let (due, call) = self.follower.next();
        let ended = outage.ended.map(|at| format!("outage ended at {at}"));
        let next = format!("{call:?} at {due}");
        ended.into_iter().chain([next]).collect()
    }
}
