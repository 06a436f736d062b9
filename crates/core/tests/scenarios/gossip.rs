//! Scenarios of the gossip between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::gossip::{
    Effect, Endpoint, Gossip, GossipSettings, GossipStart, RingMember, Update,
};
use hawthornwall_core::prelude::*;

use crate::line::Line;

pub struct Run {
    pub gossip: Gossip,
}

impl Run {
    pub fn new(line: &Line<'_>) -> Self {
        let start = GossipStart {
            domain: "dk-1".to_owned(),
            own: peer(1),
            seed: line.value("seed", 1),
            seeds: (0..line.value("seeds", 0)).map(|n| peer(n + 2)).collect(),
            settings: GossipSettings {
                watchers: line.value("watchers", 2),
                ..GossipSettings::default()
            },
        };
        Self {
            gossip: Gossip::new(start, line.now),
        }
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let (gossip, now) = (&mut self.gossip, line.now);
        match line.verb {
            "failed" => gossip.peer_failed(peer(line.word(0)), now),
            "members" => {
                let members = (1..=line.word(0)).map(|n| RingMember {
                    domain: if n % 2 == 1 { "dk-1" } else { "dk-2" },
                    peer: peer(n),
                });
                gossip.set_members(members, now);
            }
            "update" => {
                let from = line.text("from").map(|n| peer(n.parse().unwrap()));
                let instance = InstanceId(line.value("instance", 1));
                let update = match line.text("version") {
                    Some(version) => Update::Version(version.parse().unwrap()),
                    None if line.flag("repeat") => Update::Repeat(instance),
                    None => Update::Member(instance),
                };
                gossip.queue(update, from, now);
            }
            "platform" => gossip.platform_configured(),
            "read" => gossip.read_ended(endpoint(line), line.flag("ok"), now),
            "replied" => gossip.peer_answered(peer(line.word(0)), line.flag("configured"), now),
            "tick" => {
                let effects = gossip.tick(now).into_iter().map(|e| show(&e));
                return effects.chain([format!("next {}", gossip.next())]).collect();
            }
            other => panic!("unknown event `{other}`"),
        }
        Vec::new()
    }

    pub fn state(&self) -> String {
        let neighbours: Vec<_> = self.gossip.neighbours().iter().map(number).collect();
        let (ready, watching) = (self.gossip.is_ready(), self.gossip.is_watching());
        format!("ready={ready} watching={watching} neighbours={neighbours:?}")
    }
}

fn endpoint(line: &Line<'_>) -> Endpoint {
    match line.word::<String>(0).as_str() {
        "config" => Endpoint::Config,
        "instances" => Endpoint::Instances,
        other => panic!("unknown endpoint `{other}`"),
    }
}

fn show(effect: &Effect) -> String {
    match effect {
        Effect::Announce => "announce".to_owned(),
        Effect::Compare(to) => format!("compare with {}", number(to)),
        Effect::Push { members, since, to } => {
            let since = since.map_or_else(String::new, |v| format!(" versions after {v}"));
            format!("push to {}{since} members {}", number(to), members.len())
        }
        Effect::Read(endpoint, wait) if *wait == Duration::ZERO => format!("read {endpoint}"),
        Effect::Read(endpoint, wait) => format!("watch {endpoint} for {wait:?}"),
        Effect::Serve => "serve".to_owned(),
    }
}

fn peer(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 7000).into()
}

fn number(peer: &SocketAddr) -> u8 {
    match peer {
        SocketAddr::V4(peer) => peer.ip().octets()[3],
        SocketAddr::V6(_) => panic!("no peer of these scenarios has an IPv6 address"),
    }
}
