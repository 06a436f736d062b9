//! Scenarios of the member table.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Duration;

use hawthornwall_core::members::{
    Announcement, Identity, ListedInstance, Members, RelayedAnnouncement,
};
use hawthornwall_core::prelude::*;

use crate::line::Line;

pub struct Run {
    pub members: Members,
    now: Time,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let identity = identity(line, line.value("target", "order-1".to_owned()));
        Self {
            members: Members::new(identity, line.value("started", 100), line.now),
            now: line.now,
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        self.now = line.now;
        match line.verb {
            "announce" => {
                self.members.announce(line.now);
                vec![self.own()]
            }
            "expire" => vec![format!("changed {}", self.members.expire(line.now))],
            "receive" => {
                let merged = self.members.receive(&relayed(line), line.now);
                vec![format!("{merged:?}"), self.own()]
            }
            "leave" => vec![format!("first {}", self.members.leave(line.now))],
            "list" => {
                let listed = (0..).map_while(|n| line.text(&format!("entry{n}")));
                let changed = self
                    .members
                    .read_list(listed.map(entry).collect(), line.now);
                vec![format!("changed {changed:?}"), self.own()]
            }
            "relay" => {
                let instance = InstanceId(line.value("instance", 2));
                let relayed = self.members.relay(&BTreeSet::from([instance]), line.now);
                relayed.iter().map(|r| format!("age {:?}", r.age)).collect()
            }
            other => panic!("unknown event `{other}`"),
        }
    }

    pub fn state(&self) -> String {
        let mut text = String::new();
        for (target, m) in self.members.current() {
            let instance = m
                .instance
                .map_or_else(|| "listed".to_owned(), |i| i.to_string());
            let leaving = if m.leaving { " leaving" } else { "" };
            let _ = writeln!(text, "{target} {instance} {}{leaving}", m.peer);
        }
        text
    }

    fn own(&self) -> String {
        let Announcement {
            leaving,
            seq,
            started,
            ..
        } = self.members.own();
        format!("own seq={seq} started={started} leaving={leaving}")
    }
}

fn identity(line: &Line<'_>, target: String) -> Identity {
    let instance = line.value("instance", 1);
    Identity {
        domain: "dk-1".to_owned(),
        instance: InstanceId(instance),
        peer: line.value("peer", ([10, 0, 0, instance as u8], 7000).into()),
        target,
    }
}

fn relayed(line: &Line<'_>) -> RelayedAnnouncement {
    RelayedAnnouncement {
        age: line.span("age", Duration::ZERO),
        announcement: Announcement {
            identity: identity(line, line.word(0)),
            leaving: line.flag("leaving"),
            seq: line.value("seq", 1),
            started: line.value("started", 100),
        },
    }
}

/// Parses a list entry such as `order-1@10.0.0.1:7000`, with a leading `!` if the instance is
/// leaving.
fn entry(text: &str) -> ListedInstance {
    let (target, peer) = text.trim_start_matches('!').split_once('@').unwrap();
    ListedInstance {
        domain: "dk-1".to_owned(),
        leaving: text.starts_with('!'),
        peer: peer.parse().unwrap(),
        target: target.to_owned(),
    }
}
