//! Driver of the scenarios for the budget of buffered bytes.

use hawthornwall_core::memory::{
    Activity, Budget, BufferLimits, ClaimId, Effect, Event, HolderId, Owner,
};

use crate::line::Line;

pub struct Run {
    pub budget: Budget,
    claims: u64,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let limits = BufferLimits::for_machine(
            line.text("memory").map(|mib| mib.parse().unwrap()),
            line.text("files").map(|files| files.parse().unwrap()),
        );
        Self {
            budget: Budget::new(limits),
            claims: 0,
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let holder = HolderId(line.number(0));
        let bytes = line.value("kib", 0_usize) << 10;
        let event = match line.verb {
            "claim" => Event::Claim {
                answer: line.flag("answer"),
                bytes,
                claim: self.claim(),
                holder,
            },
            "closed" => Event::Closed(holder),
            "hand-over" => Event::HandOver { bytes, holder },
            "idle" => Event::Active(holder, Activity::Idle),
            "open" => Event::Open {
                claim: self.claim(),
                holder,
                owner: owner(line),
            },
            "progress" => Event::Progress(holder),
            "receiving" => Event::Active(holder, Activity::Receiving),
            "release" => Event::Release { bytes, holder },
            "running" => Event::Active(holder, Activity::Running),
            "sending" => Event::Active(holder, Activity::Sending),
            "tick" => Event::Tick,
            other => panic!("unknown event `{other}`"),
        };
        let effects: Vec<Effect> = self.budget.on(event, line.now);
        effects.iter().map(|e| format!("{e:?}")).collect()
    }

    pub fn state(&self) -> String {
        let (used, connections) = (self.budget.used() >> 10, self.budget.connections());
        format!("{used} KiB in use, {connections} connections")
    }

    fn claim(&mut self) -> ClaimId {
        self.claims += 1;
        ClaimId(self.claims)
    }
}

fn owner(line: &Line<'_>) -> Owner {
    if line.flag("peer") {
        Owner::Peer
    } else if line.flag("target") {
        Owner::Target
    } else {
        Owner::Caller(line.value("from", "10.0.0.1".parse().unwrap()))
    }
}
