//! Property tests of the idempotency key ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornwall_core::keys::{Decision, Key, KeyLimits, KeyResult, Ledger};
use hawthornwall_core::prelude::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Alter(usize, u64),
    End(usize, KeyResult),
    Expire,
    Issue(u64),
    Request(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ends = vec![
        KeyResult::Answered,
        KeyResult::Lost(Loss::Closed),
        KeyResult::NotRun,
    ];
    prop_oneof![
        1 => (0..12usize, 1..u64::MAX).prop_map(|(key, flip)| Step::Alter(key, flip)),
        4 => (0..12usize, prop::sample::select(ends)).prop_map(|(key, end)| Step::End(key, end)),
        1 => Just(Step::Expire),
        2 => any::<u64>().prop_map(Step::Issue),
        8 => (0..12usize, 0..2u64).prop_map(|(key, fingerprint)| Step::Request(key, fingerprint)),
    ]
}

proptest! {
    /// Guards against a second execution under one key, including after its record has expired and
    /// after a late result.
    #[test]
    fn a_key_runs_once_unless_refused(
        steps in prop::collection::vec((0..3u64, step()), 1..120),
    ) {
        let limits = KeyLimits { max_age: Duration::from_secs(10), max_records: 8 };
        let mut ledger = Ledger::new(InstanceId(1), TargetId(4), limits);
        let mut keys: Vec<Key> = Vec::new();
        // Per serial: the request fingerprint, and the result of the execution once it has one.
        let mut runs = BTreeMap::new();
        let mut now = Time::ZERO;
        for (pause, step) in steps {
            now = now + Duration::from_secs(pause);
            match step {
                Step::Alter(index, flip) => if let Some(key) = keys.get(index) {
                    let tag = if flip % 2 == 0 { key.tag ^ flip } else { key.tag };
                    let service = ServiceId(1 + (flip % 2) as u16);
                    let forged = Key { service, tag, ..*key };
                    let decision = ledger.begin(&forged, 0, now);
                    prop_assert!(matches!(
                        decision,
                        Decision::Refuse(Refusal::KeyInvalid) | Decision::Lost(Loss::KeyForgotten)
                    ));
                },
                Step::End(index, end) => if let Some(key) = keys.get(index) {
                    ledger.end(key.serial, end, now);
                    if let Some((_, state @ None)) = runs.get_mut(&key.serial) {
                        *state = Some(end);
                    }
                },
                Step::Expire => drop(ledger.expire(now)),
                Step::Issue(tag) => keys.extend(ledger.issue(ServiceId(1), tag, now)),
                Step::Request(index, fingerprint) => if let Some(key) = keys.get(index) {
                    let before = runs.get(&key.serial).copied();
                    match ledger.begin(key, fingerprint, now) {
                        Decision::Run => {
                            let again = matches!(before, None | Some((_, Some(KeyResult::NotRun))));
                            prop_assert!(again, "{key} ran again after {before:?}");
                            runs.insert(key.serial, (fingerprint, None));
                        }
                        Decision::Join => prop_assert_eq!(before, Some((fingerprint, None))),
                        Decision::Replay => {
                            prop_assert_eq!(before, Some((fingerprint, Some(KeyResult::Answered))));
                        }
                        Decision::Lost(_) | Decision::Refuse(_) => {}
                    }
                },
            }
            prop_assert_eq!(ledger.verify(), Vec::<String>::new());
        }
    }

    /// Guards against a panic on an arbitrary key text from a caller, and against a key with more
    /// than one accepted text form.
    #[test]
    fn keys_round_trip(text in ".{0,80}", serial: u64, tag: u64) {
        if let Ok(key) = text.parse::<Key>() {
            prop_assert_eq!(key.to_string(), text);
        }
        let key = Key {
            instance: InstanceId(tag),
            serial,
            service: ServiceId(1),
            tag,
            target: TargetId(2),
        };
        prop_assert_eq!(key.to_string().parse(), Ok(key));
    }
}
