//! Concerns about a configuration, and differences between two.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornwall_core::catalog::{PublishedRoutes, RequestLimits, ServiceLimits, compare, review};
use hawthornwall_core::ids::Version;
use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
use insta::assert_snapshot;
use rstest::rstest;

const LIMITS: RequestLimits = RequestLimits {
    body: 1024,
    head: 512,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

fn route(prefix: &str) -> Route {
    Route {
        attempts: 2,
        destinations: vec![Destination {
            service: "calendar".to_owned(),
            weight: 1,
        }],
        objective: Duration::from_millis(500),
        prefix: prefix.to_owned(),
        rank: 1,
        repeats: Repeatability::Idempotent,
        timeout: Duration::from_secs(1),
    }
}

fn published(
    version: u64,
    limits: Option<RequestLimits>,
    cold: &[(&str, u64)],
    routes: &[Route],
) -> PublishedRoutes {
    let mut table = RouteTable::default();
    for route in routes {
        table.insert("a.example", route.clone());
    }
    let services = cold.iter().map(|(name, ms)| {
        let limits = ServiceLimits {
            cold: Duration::from_secs(3),
            cold_interval: Duration::from_millis(*ms),
        };
        ((*name).to_owned(), limits)
    });
    PublishedRoutes {
        limits,
        routes: table,
        services: services.collect::<BTreeMap<_, _>>(),
        unsupported: BTreeSet::new(),
        version: Version(version),
    }
}

fn lines(items: impl IntoIterator<Item = impl ToString>) -> String {
    let texts = items.into_iter().map(|item| item.to_string());
    texts.collect::<Vec<_>>().join("\n")
}

fn timed(prefix: &str, timeout: u64, objective: u64) -> Route {
    Route {
        objective: Duration::from_millis(objective),
        timeout: Duration::from_millis(timeout),
        ..route(prefix)
    }
}

/// Guards against missing a contradiction between limits, and against reporting one at equal limits.
#[rstest]
#[case::none("none", None, &[route("/x/")])]
#[case::equal("equal", Some(RequestLimits { idle: LIMITS.head_time, ..LIMITS }), &[timed("/x/", 500, 500)])]
#[case::times("times", Some(LIMITS), &[timed("/late/", 499, 500), timed("/never/", 0, 500), timed("/zero/", 0, 0)])]
#[case::limits("limits", Some(RequestLimits { body: 0, idle: Duration::from_millis(2999), ..LIMITS }), &[route("/x/")])]
fn concerns(#[case] name: &str, #[case] limits: Option<RequestLimits>, #[case] routes: &[Route]) {
    let found = review(&published(1, limits, &[], routes));
    assert_snapshot!(format!("concerns_{name}"), lines(found));
}

/// A route of which every value differs from those of [`route`].
fn other(prefix: &str) -> Route {
    Route {
        attempts: 3,
        destinations: vec![
            Destination {
                service: "calendar".to_owned(),
                weight: 9,
            },
            Destination {
                service: "archive".to_owned(),
                weight: 1,
            },
        ],
        objective: Duration::from_millis(400),
        prefix: prefix.to_owned(),
        rank: 0,
        repeats: Repeatability::NonIdempotent,
        timeout: Duration::from_millis(1500),
    }
}

/// Guards against a difference that isn't listed, or that is listed although daemons see none.
#[rstest]
#[case::nothing("nothing", published(7, Some(LIMITS), &[("a", 70)], &[route("/x/")]))]
#[case::version("version", published(6, Some(LIMITS), &[("a", 70)], &[route("/x/")]))]
#[case::newer("newer", published(8, Some(LIMITS), &[("a", 70)], &[route("/x/")]))]
#[case::no_limits("no_limits", published(8, None, &[], &[route("/x/")]))]
#[case::limits("limits", published(8, Some(RequestLimits {
    body: 0,
    head: 1,
    head_time: Duration::from_millis(2500),
    idle: Duration::ZERO,
}), &[("a", 50), ("b", 70)], &[route("/x/")]))]
#[case::routes("routes", published(8, Some(LIMITS), &[("a", 70)], &[other("/x/"), route("/y/")]))]
#[case::protocols("protocols", PublishedRoutes {
    unsupported: ["a", "b"].map(str::to_owned).into(),
    ..published(8, Some(LIMITS), &[("a", 70)], &[route("/x/")])
})]
#[case::empty("empty", PublishedRoutes::default())]
fn differences(#[case] name: &str, #[case] new: PublishedRoutes) {
    let old = published(7, Some(LIMITS), &[("a", 70)], &[route("/x/")]);
    let both = [lines(compare(&old, &new)), lines(compare(&new, &old))];
    assert_snapshot!(format!("differences_{name}"), both.join("\n--- back\n"));
}
