//! Random patches, offered to several daemons in random orders.

use std::time::Duration;

use hawthornwall_core::config::{
    ActiveConfig, Change, Delta, Document, OfferOutcome, Patch, Rules, RulesChange,
};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

const DAEMONS: usize = 4;

fn change() -> impl Strategy<Value = Change> {
    let name = || prop::sample::select(vec!["a", "b", "c", "Bad"]).prop_map(str::to_owned);
    let hosts = || prop::collection::btree_set(name(), 0..2);
    prop_oneof![
        (name(), hosts()).prop_map(|(name, hosts)| Change::CreateService {
            name,
            hosts,
            rules: Rules::default()
        }),
        (name(), name(), 0..3u32).prop_map(|(name, service, slots)| Change::CreateTarget {
            name,
            service,
            domain: "dk-1".to_owned(),
            slots
        }),
        name().prop_map(|name| Change::RemoveService { name }),
        name().prop_map(|name| Change::RemoveTarget { name }),
        (name(), prop::option::of(hosts()), 0..700_000u64).prop_map(|(name, hosts, ms)| {
            let deadline = Some(Duration::from_millis(ms));
            let rules = RulesChange {
                deadline,
                ..RulesChange::default()
            };
            Change::UpdateService { name, hosts, rules }
        }),
        (name(), prop::option::of(0..3u32)).prop_map(|(name, slots)| Change::UpdateTarget {
            name,
            domain: None,
            slots
        }),
    ]
}

/// Generates patches whose base is the version that the patches before them reach, or the one above
/// it.
fn document() -> impl Strategy<Value = Document> {
    let changes = prop::collection::vec(change(), 0..4);
    prop::collection::vec((changes, 0..8u64), 1..30).prop_map(|patches| {
        let mut document = Document::default();
        for (changes, offset) in patches {
            let reached = document.replay().configuration.version.0;
            document.patches.push(Patch {
                author: "trainee".to_owned(),
                base: Version(if offset == 0 { reached + 1 } else { reached }),
                changes,
                note: String::new(),
                time: String::new(),
            });
        }
        document
    })
}

#[derive(Clone, Copy, Debug)]
enum Offered {
    /// The first `upto` patches of the document, with the first `from` of them as the checkpoint.
    Document { upto: usize, from: usize },
    /// The update that the daemon with this index sends to the receiver.
    Peer(usize),
}

fn offered() -> impl Strategy<Value = (usize, Offered)> {
    let document =
        (0..=30usize, 0..=30usize).prop_map(|(upto, from)| Offered::Document { upto, from });
    (
        0..DAEMONS,
        prop_oneof![document, (0..DAEMONS).prop_map(Offered::Peer)],
    )
}

fn prefix(document: &Document, upto: usize, from: usize) -> Document {
    let upto = upto.min(document.patches.len());
    let from = from.min(upto);
    let checkpoint = Document {
        patches: document.patches[..from].to_vec(),
        ..Document::default()
    };
    Document {
        checkpoint: checkpoint.replay().configuration,
        patches: document.patches[from..upto].to_vec(),
    }
}

fn from_peer(daemons: &mut [ActiveConfig], to: usize, from: usize) -> OfferOutcome {
    let sender = daemons[from].clone();
    let receiver = &mut daemons[to];
    let (version, digest) = (receiver.config().version, receiver.config().digest);
    match sender.delta(version, digest) {
        Delta::Checkpoint(config) => receiver.offer_configuration(config),
        Delta::Diverged(divergence) => panic!("one history diverged: {divergence:?}"),
        Delta::UpToDate => OfferOutcome::Same,
        Delta::Patches(patches) => {
            let patches: Vec<_> = patches.into_iter().cloned().collect();
            let reached = sender.config();
            receiver.offer_patches(&patches, reached.version, reached.digest)
        }
    }
}

proptest! {
    /// Guards against daemons that reach different configurations, or return to an older version,
    /// depending on the order in which documents, checkpoints and patches arrive.
    #[test]
    fn daemons_converge_in_any_order(
        document in document(),
        offers in prop::collection::vec(offered(), 1..60),
    ) {
        let mut daemons = vec![ActiveConfig::default(); DAEMONS];
        for (to, offered) in offers {
            let before = daemons[to].config().clone();
            let offer = match offered {
                Offered::Document { upto, from } => {
                    daemons[to].offer_document(&prefix(&document, upto, from)).0
                }
                Offered::Peer(from) => from_peer(&mut daemons, to, from),
            };
            let after = daemons[to].config();
            prop_assert_eq!(daemons[to].verify(), Vec::<String>::new());
            prop_assert_eq!(after.verify(), Vec::<String>::new());
            let adopted = matches!(offer, OfferOutcome::Adopted { .. });
            prop_assert_eq!(adopted, after.version > before.version, "{:?}", offer);
            prop_assert!(adopted || *after == before, "{:?}", offer);
            prop_assert!(!matches!(offer, OfferOutcome::Invalid(_) | OfferOutcome::Divergent { .. }), "{:?}", offer);
        }
        let last = document.replay().configuration;
        for daemon in &mut daemons {
            let _ = daemon.offer_document(&document);
            prop_assert_eq!(daemon.config(), &last);
        }
    }
}
