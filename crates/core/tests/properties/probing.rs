//! Properties of the probe budget with random requests.

use std::time::Duration;

use hawthornwall_core::prelude::*;
use hawthornwall_core::probing::{Permit, ProbeBudget, ProbeLimits};
use proptest::prelude::*;

const SPAN: Duration = Duration::from_secs(100);

proptest! {
    /// Guards against a budget that is exceeded in some period of 100 seconds, for any times and
    /// durations of probes.
    #[test]
    fn no_span_exceeds_the_budget(
        per_100s in 0..60u32,
        slot_share in 0..50u32,
        slots in 1..12u32,
        requests in prop::collection::vec((0..20_000u64, 1..80u64, 0..100u64), 1..300),
    ) {
        let mut budget = ProbeBudget::new(ProbeLimits { per_100s, slot_share, slots }, Time::ZERO);
        let mut now = Time::ZERO;
        let mut probes: Vec<(Time, Duration)> = Vec::new();
        for (gap, longest, percent) in requests {
            now = now + Duration::from_millis(gap);
            let longest = Duration::from_millis(longest).min(budget.longest());
            if budget.ask(longest, now) == Permit::Granted {
                let took = longest * percent as u32 / 100;
                budget.end(longest, took);
                probes.push((now, took));
            }
            prop_assert_eq!(budget.verify(), Vec::<String>::new());
        }
        let allowed = SPAN * slots * slot_share / 10_000;
        for (start, _) in &probes {
            let within = probes.iter().filter(|(at, _)| at >= start && *at - *start < SPAN);
            let (count, time) = within.fold((0, Duration::ZERO), |(n, sum), (_, t)| (n + 1, sum + *t));
            prop_assert!(count <= per_100s, "{} probes", count);
            prop_assert!(time <= allowed, "{:?} of {:?}", time, allowed);
        }
        let counts = budget.counts();
        prop_assert_eq!(counts.granted, probes.len() as u64);
        prop_assert_eq!(counts.time, probes.iter().map(|(_, took)| *took).sum());
    }

    /// Guards against a budget that denies most probes: evenly spaced short probes get at least half
    /// of the allowance.
    #[test]
    fn even_probes_are_granted(per_100s in 2..60u32) {
        let limits = ProbeLimits { per_100s, slot_share: 100, slots: 10 };
        let mut budget = ProbeBudget::new(limits, Time::ZERO);
        let longest = Duration::from_millis(10);
        let steps = (0..1_000u32).map(|n| Time::ZERO + Duration::from_secs(u64::from(n)));
        for now in steps {
            if budget.ask(longest, now) == Permit::Granted {
                budget.end(longest, longest);
            }
        }
        let least = u64::from(per_100s) * 10 / 2;
        prop_assert!(budget.counts().granted >= least, "{:?}", budget.counts());
    }
}
