//! Properties of the admission of large bodies to a link, with random offers and ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornwall_core::admission::Priority;
use hawthornwall_core::link::{
    BodyGrants, GRANT_EXPIRY, GrantEffect, GrantEvent, OUTSTANDING, Offer, OfferId, Rate,
};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

const MBPS: f64 = 10.0;

fn offer(id: u64, size: u64, rank: u8, due: Time) -> GrantEvent {
    GrantEvent::Offer(Offer {
        due,
        id: OfferId(id),
        max_wait: Duration::MAX,
        priority: Priority {
            objective: Duration::from_millis(500),
            rank,
        },
        size,
    })
}

proptest! {
    /// Guards against grants beyond the limit, against offers without a decision or with two, and against
    /// grants that never end.
    #[test]
    fn grants_stay_within_the_limit_and_end(
        steps in prop::collection::vec((0..60u64, 32..400u64, 0..3u8, 0..2_000u64, 0..4u8), 1..120),
    ) {
        let mut grants = BodyGrants::new(Rate::from_mbps(MBPS), GRANT_EXPIRY);
        let limit = Rate::from_mbps(MBPS).bytes_in(OUTSTANDING);
        let mut now = Time::ZERO;
        let mut sizes = BTreeMap::new();
        let (mut undecided, mut granted) = (BTreeSet::new(), BTreeSet::new());
        let mut steps = steps.into_iter().enumerate();
        loop {
            let event = if let Some((id, (gap, kilobytes, rank, due, kind))) = steps.next() {
                let id = id as u64;
                now = now + Duration::from_millis(gap);
                if kind == 0 {
                    let ended = OfferId(id / 2);
                    undecided.remove(&ended);
                    granted.remove(&ended);
                    GrantEvent::End(ended)
                } else {
                    undecided.insert(OfferId(id));
                    sizes.insert(OfferId(id), kilobytes * 1_000);
                    offer(id, kilobytes * 1_000, rank, now + Duration::from_millis(due))
                }
            } else {
                let Some(timer) = grants.next_timer() else { break };
                now = now.max(timer);
                GrantEvent::Timer
            };
            for effect in grants.on(&event, now) {
                match effect {
                    GrantEffect::Expire(id) => prop_assert!(granted.remove(&id), "{} expires", id),
                    GrantEffect::Grant(id) => {
                        prop_assert!(undecided.remove(&id), "{} is granted", id);
                        granted.insert(id);
                    }
                    GrantEffect::Refuse(id, _) => {
                        prop_assert!(undecided.remove(&id), "{} is refused", id);
                    }
                }
            }
            let outstanding: u64 = granted.iter().map(|id| sizes[id]).sum();
            prop_assert!(granted.len() <= 1 || outstanding <= limit, "{} bytes", outstanding);
            prop_assert_eq!(grants.verify(), Vec::<String>::new());
        }
        prop_assert!(undecided.is_empty() && granted.is_empty(), "{:?} {:?}", undecided, granted);
        prop_assert_eq!(grants.outstanding(), 0);
    }

    /// Guards against a rank that starves behind others: while bodies of any ranks are always waiting, each
    /// is granted after a bounded number of others.
    #[test]
    fn no_rank_starves(ranks in prop::collection::vec(0..3u8, 50..200), own in 0..3u8) {
        let mut grants = BodyGrants::new(Rate::from_mbps(MBPS), GRANT_EXPIRY);
        let due = Time::ZERO + Duration::from_mins(10);
        let size = 180_000;
        let mut granted = Vec::new();
        let mut apply = |grants: &mut BodyGrants, event| {
            for effect in grants.on(&event, Time::ZERO) {
                if let GrantEffect::Grant(id) = effect {
                    granted.push(id);
                }
            }
            granted.last().copied()
        };
        for (id, rank) in ranks.iter().take(8).enumerate() {
            apply(&mut grants, offer(id as u64, size, *rank, due));
        }
        let watched = OfferId(1_000);
        let mut last = apply(&mut grants, offer(watched.0, size, own, due));
        let mut others = 0;
        for (id, rank) in ranks.iter().enumerate().skip(8) {
            if last == Some(watched) {
                break;
            }
            others += 1;
            apply(&mut grants, offer(id as u64, size, *rank, due));
            last = last.and_then(|id| apply(&mut grants, GrantEvent::End(id)));
        }
        // Eight bodies were offered before; one in four grants goes to the one that has waited longest.
        prop_assert!(others <= 8 * 4, "{} others were granted first", others);
    }
}
