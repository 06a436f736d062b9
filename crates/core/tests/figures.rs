//! Platform reads and push steps of the control plane at the fleet size expected in two years.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::gossip::{
    Effect, Fleet, Gossip, GossipSettings, GossipStart, Ring, RingMember, platform_reads,
};
use hawthornwall_core::prelude::*;
use insta::assert_snapshot;
use rstest::rstest;

const DAEMONS: u16 = 540;
const DOMAINS: u16 = 6;
const DOMAIN_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn peer(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

fn members() -> impl Iterator<Item = RingMember<'static>> {
    (0..DAEMONS).map(|n| RingMember {
        domain: DOMAIN_NAMES[usize::from(n % DOMAINS)],
        peer: peer(n),
    })
}

/// Guards against platform reads that grow with the fleet: the platform allows 2,000 per second.
#[rstest]
#[case::today(11, 3)]
#[case::in_two_years(540, 6)]
#[case::ten_times_as_many(5_400, 6)]
fn expected_platform_reads(#[case] daemons: u32, #[case] domains: u32) {
    let rates = platform_reads(Fleet { daemons, domains }, &GossipSettings::default());
    let name = format!("platform_reads_{daemons}");
    assert_snapshot!(name, format!("{rates:.1?}"));
    assert!(daemons > 540 || rates.start < 1_000.0 && rates.outage < 1_000.0);
}

/// Simulates a fleet whose daemons all restart at once, with every read answered after 5 ms. Returns the
/// reads started in each second, and the watches pending at its end.
fn restart(answered: bool) -> Vec<(u32, usize)> {
    let mut reads: BTreeMap<u64, (u32, usize)> = BTreeMap::new();
    for n in 0..DAEMONS {
        let start = GossipStart {
            domain: DOMAIN_NAMES[usize::from(n % DOMAINS)].to_owned(),
            own: peer(n),
            seed: u64::from(n),
            seeds: vec![peer((n + 1) % DAEMONS)],
            settings: GossipSettings::default(),
        };
        let mut gossip = Gossip::new(start, Time::ZERO);
        let mut ends = Vec::new();
        for ms in 0..12_000u64 {
            let now = Time::from_micros(ms * 1_000);
            while let Some(at) = ends.iter().position(|(end, _)| *end <= now) {
                let (_, endpoint) = ends.swap_remove(at);
                gossip.read_ended(endpoint, answered, now);
                if answered {
                    gossip.platform_configured();
                    gossip.set_members(members(), now);
                }
            }
            if gossip.next() > now {
                continue;
            }
            for effect in gossip.tick(now) {
                if let Effect::Read(endpoint, wait) = effect {
                    reads.entry(ms / 1_000).or_default().0 += 1;
                    ends.push((now + wait.max(Duration::from_millis(5)), endpoint));
                }
            }
            if ms % 1_000 == 999 {
                reads.entry(ms / 1_000).or_default().1 += ends.len();
            }
        }
    }
    reads.into_values().collect()
}

/// Guards against a burst of reads when the whole fleet starts at once, with the platform up or down.
#[rstest]
#[case::platform_up(true)]
#[case::platform_down(false)]
fn reads_when_all_restart(#[case] answered: bool) {
    let seconds = restart(answered);
    let name = if answered {
        "restart_up"
    } else {
        "restart_down"
    };
    assert_snapshot!(name, format!("reads started, pending\n{seconds:?}"));
    let worst = seconds
        .iter()
        .map(|(started, pending)| *started as usize + pending);
    assert!(worst.max() < Some(1_000));
}

/// Guards against a ring with too few or too many neighbours, or one that needs too many steps.
#[test]
fn updates_reach_all_in_nine_steps() {
    let ring = Ring::new(members());
    let neighbours = |n: SocketAddr| ring.neighbours(n, |_| false);
    assert_eq!(neighbours(peer(0)).len(), 10);
    let mut reached = vec![peer(0)];
    let mut steps = Vec::new();
    while reached.len() < usize::from(DAEMONS) {
        let next = reached.iter().flat_map(|n| neighbours(*n));
        reached = next.chain(reached.iter().copied()).collect();
        reached.sort();
        reached.dedup();
        steps.push(reached.len());
    }
    assert_snapshot!("ring_steps", format!("{steps:?}"));
}
