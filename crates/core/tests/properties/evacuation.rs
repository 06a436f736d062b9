//! Evacuations from the store to the balancers of several daemons, which read the store or ask each other.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornwall_core::catalog::{
    Absence, Catalog, Change, ChangeLog, PublishedState, PublishedTarget, Revision, Snapshot,
    UpdatePayload,
};
use hawthornwall_core::config::Rules;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Balancer, PickRequest, Policy};
use proptest::prelude::*;

const DAEMONS: usize = 3;
const DOMAINS: [&str; 3] = ["dk-1", "dk-2", "dk-3"];

#[derive(Clone, Debug)]
enum Step {
    /// A daemon reads the changes since its last revision.
    Changes(usize),
    /// The store drops its history, and a daemon reads everything.
    Load(usize, Missing),
    /// The operator writes or deletes the key of a domain.
    Operate { domain: usize, evacuate: bool },
    /// A daemon starts anew.
    Restart(usize),
    /// The first daemon asks the second one.
    Update(usize, usize),
}

/// How a daemon takes missing entries, which depends on when it last reached the store.
#[derive(Clone, Copy, Debug)]
enum Missing {
    Lapsed,
    Left,
    Unverified,
}

/// The contents of the store after each revision.
struct Store(Vec<(Change, Snapshot)>);

impl Store {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    fn contents(&self, revision: u64) -> Snapshot {
        let at = (revision as usize).checked_sub(1);
        at.map_or_else(initial, |at| self.0[at].1.clone())
    }

    fn operate(&mut self, domain: usize, evacuate: bool) {
        let mut contents = self.contents(self.revision());
        let domain = DOMAINS[domain].to_owned();
        let change = if evacuate {
            contents.evacuated.insert(domain.clone());
            Change::Evacuated { domain }
        } else {
            contents.evacuated.remove(&domain);
            Change::EvacuationEnded { domain }
        };
        self.0.push((change, contents));
    }
}

/// One target of a service in each domain.
fn initial() -> Snapshot {
    let target = |n: usize| PublishedTarget {
        address: ([10, 0, 0, n as u8], 80).into(),
        started_ms: Some(1),
        cold: Duration::ZERO,
        domain: DOMAINS[n].to_owned(),
        sequence: 0,
        service: "calendar".to_owned(),
        slots: 2,
        state: PublishedState::Ready,
    };
    let targets = (0..DOMAINS.len()).map(|n| (format!("i-{n}"), target(n)));
    Snapshot {
        targets: targets.collect(),
        ..Snapshot::default()
    }
}

#[derive(Default)]
struct Daemon {
    catalog: Catalog,
    log: ChangeLog,
    revision: Option<u64>,
}

impl Daemon {
    fn replace(&mut self, contents: Snapshot, revision: u64, absence: Absence) {
        self.log
            .restart(Revision::new(0, revision), contents.clone());
        self.catalog.replace(contents, absence, Time::ZERO);
        self.revision = Some(revision);
    }

    fn apply(&mut self, changes: Vec<(u64, Change)>, revision: u64) {
        for (at, change) in changes {
            self.log.push(at, &change);
            self.catalog.apply(change, Absence::Left, Time::ZERO);
        }
        self.revision = Some(revision);
    }

    /// The domain in which a request is placed.
    fn place(&self, seed: u64) -> Result<String, Refusal> {
        let rules = Rules {
            deadline: Duration::from_secs(1),
            hedge: false,
            queue_wait: Duration::ZERO,
            retry_percent: 0,
        };
        let config = self.catalog.configuration(&rules);
        let mut balancer = Balancer::new(DOMAINS[0], Policy::Expected, seed);
        balancer.configure(&config);
        balancer.evacuate(self.catalog.evacuated());
        let service = config
            .service_id_by_name("calendar")
            .unwrap_or(ServiceId(0));
        let request = PickRequest {
            service,
            transfer: Duration::ZERO,
            tried: &[],
        };
        let choice = balancer.pick(&request, Time::ZERO)?;
        Ok(config.targets[&choice.target].domain.clone())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    let missing = prop::sample::select(vec![Missing::Lapsed, Missing::Left, Missing::Unverified]);
    prop_oneof![
        2 => daemon().prop_map(Step::Changes),
        1 => (daemon(), missing).prop_map(|(daemon, missing)| Step::Load(daemon, missing)),
        3 => (0..DOMAINS.len(), any::<bool>())
            .prop_map(|(domain, evacuate)| Step::Operate { domain, evacuate }),
        1 => daemon().prop_map(Step::Restart),
        3 => (daemon(), daemon()).prop_map(|(to, from)| Step::Update(to, from)),
    ]
}

proptest! {
    /// Guards against evacuations that are lost, or that end with another one, on any way from the store to a
    /// daemon, and against requests that a daemon places in a domain whose evacuation it has read.
    #[test]
    fn no_request_in_a_domain_known_to_be_evacuated(
        seed: u64,
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut store = Store(Vec::new());
        let mut daemons: Vec<_> = (0..DAEMONS).map(|_| Daemon::default()).collect();
        for step in steps {
            match step {
                Step::Changes(daemon) => {
                    let daemon = &mut daemons[daemon];
                    let revision = store.revision();
                    match daemon.revision {
                        None => daemon.replace(store.contents(revision), revision, Absence::Left),
                        Some(held) => {
                            let changes = store.0.iter().zip(1..).skip(held as usize);
                            let changes = changes.map(|((change, _), at)| (at, change.clone()));
                            daemon.apply(changes.collect(), revision);
                        }
                    }
                }
                Step::Load(daemon, missing) => {
                    let absence = match missing {
                        Missing::Lapsed => Absence::Lapsed(Time::ZERO),
                        Missing::Left => Absence::Left,
                        Missing::Unverified => Absence::Unverified,
                    };
                    let revision = store.revision();
                    daemons[daemon].replace(store.contents(revision), revision, absence);
                }
                Step::Operate { domain, evacuate } => store.operate(domain, evacuate),
                Step::Restart(daemon) => daemons[daemon] = Daemon::default(),
                Step::Update(to, from) => {
                    let held = daemons[to].revision.unwrap_or(0);
                    let Some(revision) = daemons[from].revision.filter(|r| *r > held) else {
                        continue;
                    };
                    match daemons[from].log.since(Revision::new(0, held)) {
                        UpdatePayload::Changes(changes) if daemons[to].revision.is_some() => {
                            let changes = daemons[to].log.resolve(changes).unwrap();
                            daemons[to].apply(changes, revision);
                        }
                        UpdatePayload::Changes(_) => {}
                        UpdatePayload::Contents(contents) => {
                            daemons[to].replace(contents, revision, Absence::Unverified);
                        }
                        UpdatePayload::TooLarge => panic!("the contents fit into an update"),
                    }
                }
            }
            for daemon in &daemons {
                let Some(revision) = daemon.revision else {
                    continue;
                };
                let known: BTreeSet<_> = store.contents(revision).evacuated;
                prop_assert_eq!(daemon.catalog.evacuated(), &known);
                match daemon.place(seed) {
                    Ok(domain) => prop_assert!(!known.contains(&domain), "placed in {}", domain),
                    Err(refusal) => {
                        prop_assert_eq!((refusal, known.len()), (Refusal::Evacuated, DOMAINS.len()));
                    }
                }
            }
        }
    }
}
