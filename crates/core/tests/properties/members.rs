//! Property tests of the member table: random announcements reach several daemons in random order.

use std::time::Duration;

use hawthornwall_core::members::{
    Announcement, Comparison, Identity, Members, RelayedAnnouncement,
};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

const DAEMONS: usize = 4;

fn identity(instance: u64, target: u64) -> Identity {
    Identity {
        domain: "dk-1".to_owned(),
        instance: InstanceId(instance),
        peer: ([10, 0, 0, instance as u8], 7000).into(),
        target: format!("target-{target}"),
    }
}

fn announcement() -> impl Strategy<Value = Announcement> {
    // The target and start time depend only on the instance; several instances share a target.
    (10..60u64, 1..5u64, any::<bool>()).prop_map(|(instance, seq, leaving)| Announcement {
        identity: identity(instance, instance % 20),
        leaving,
        seq,
        started: instance * 7 % 11,
    })
}

fn table(daemon: &Members) -> Vec<(String, Option<InstanceId>, bool)> {
    let entries = daemon.current();
    entries
        .map(|(target, m)| (target.to_owned(), m.instance, m.leaving))
        .collect()
}

/// Runs a comparison to its end and returns the number of messages.
fn compare(daemons: &mut [Members], a: usize, b: usize, now: Time) -> usize {
    let mut message = daemons[a].open();
    let (mut from, mut to) = (a, b);
    for count in 1..20 {
        daemons[to].receive_all(&message, now);
        let answer: Comparison = daemons[to].answer(&message, now);
        if !answer.has_details() && count % 2 == 0 {
            return count;
        }
        message = answer;
        (from, to) = (to, from);
    }
    panic!("the comparison of daemons {from} and {to} does not terminate");
}

proptest! {
    /// Guards against tables that depend on the order in which announcements arrive, and against
    /// comparisons that leave a difference or do not terminate.
    #[test]
    fn comparisons_make_tables_equal(
        received in prop::collection::vec((0..DAEMONS, announcement()), 0..120),
        pairs in prop::collection::vec((0..DAEMONS, 0..DAEMONS), 0..10),
    ) {
        let now = Time::ZERO + Duration::from_secs(100);
        let member = |n: usize| Members::new(identity(n as u64, 100 + n as u64), 1, Time::ZERO);
        let mut daemons: Vec<_> = (0..DAEMONS).map(member).collect();
        for daemon in &mut daemons {
            daemon.announce(now);
        }
        for (daemon, announcement) in received {
            let relayed = RelayedAnnouncement { age: Duration::ZERO, announcement };
            daemons[daemon].receive(&relayed, now);
            prop_assert_eq!(daemons[daemon].verify(), Vec::<String>::new());
        }
        // Comparing neighbours in ascending and then descending order spreads every announcement to
        // all daemons.
        let line = (1..DAEMONS).map(|n| (n - 1, n));
        let back = (1..DAEMONS).rev().map(|n| (n, n - 1));
        for (a, b) in pairs.into_iter().chain(line).chain(back) {
            if a != b {
                let messages = compare(&mut daemons, a, b, now);
                prop_assert!(messages <= 8, "{} messages", messages);
                prop_assert_eq!(table(&daemons[a]), table(&daemons[b]));
                prop_assert_eq!(daemons[a].digest(), daemons[b].digest());
            }
            prop_assert!(daemons.iter().all(|d| d.verify().is_empty()));
        }
        let first = table(&daemons[0]);
        prop_assert!(daemons.iter().all(|d| table(d) == first));
    }
}
