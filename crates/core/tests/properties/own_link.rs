//! Properties of the detection of a fault of the own link, with random reports of peers.

use std::time::Duration;

use hawthornwall_core::link::{CONNECT_TIMEOUT, Contact, LinkChange, OwnLink, Verdict};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

proptest! {
    /// Guards against the loss of one peer that counts as a fault of the own link, and against a link that
    /// counts as saturated after a peer was reached in time.
    #[test]
    fn only_several_silent_peers_saturate(
        steps in prop::collection::vec((0..300u64, 0..4u8, 0..3u8), 1..100),
    ) {
        let mut link = OwnLink::default();
        let (mut now, mut reached) = (Time::ZERO + Duration::from_secs(1), Time::ZERO);
        let mut silent: Vec<(u8, Time)> = Vec::new();
        for (gap, peer, kind) in steps {
            now = now + Duration::from_millis(gap);
            let contact = match kind {
                0 => Contact::Late,
                1 => Contact::Reached,
                _ => Contact::Silent(now - CONNECT_TIMEOUT),
            };
            let change = link.on(peer, contact, now);
            match contact {
                Contact::Late => prop_assert_eq!(change, None),
                Contact::Reached => {
                    reached = now;
                    silent.clear();
                    prop_assert_eq!(link.verdict(now), Verdict::GiveUp);
                }
                Contact::Silent(since) => {
                    if since > reached {
                        silent.push((peer, now));
                    }
                    let others = silent.iter().any(|(other, _)| *other != peer);
                    if change == Some(LinkChange::Saturated) {
                        prop_assert!(others, "only {} is silent", peer);
                    }
                }
            }
        }
    }
}
