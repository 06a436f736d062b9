//! When the router lets a late request have a second copy, without a network.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

#[path = "common/ingress.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod ingress;
#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::calls::{Hedge, MIN_HEDGE_SAMPLES, PickKind};
use hawthornwall_core::config::Target;
use hawthornwall_core::link::LinkChange;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::Policy;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::messages::{LateRequest, Opened, RouterMessage, RouterSender, RoutingState};
use hawthornwall_node::router::{Router, RouterStart};
use insta::assert_snapshot;

use ingress::routing_state;
use runtime::block_on;

/// Two targets of a service, in different failure domains.
fn two_domains() -> RoutingState {
    let mut state = routing_state();
    let service = ServiceId(0);
    let target = Target {
        domain: "b".to_owned(),
        name: "t2".to_owned(),
        service,
        slots: 8,
    };
    state.config.targets.insert(TargetId(1), target);
    let member = state.members[&TargetId(0)].clone();
    state.members.insert(TargetId(1), member);
    let rules = &mut state.config.services.get_mut(&service).unwrap().rules;
    rules.retry_percent = 10;
    state
}

fn start(hedge_percent: u32, state: RoutingState) -> RouterSender {
    let (router, receiver) = mpsc::unbounded();
    let task = Router::new(RouterStart {
        clock: Clock::start(),
        dialect: Dialect::Platform,
        domain: "a",
        hedge_percent,
        policy: Policy::Expected,
        receiver,
        seed: 1,
        sender: router.clone(),
        service_limit: 100,
    });
    monoio::spawn(task.run());
    let _ = router.unbounded_send(RouterMessage::RoutingState(Rc::new(state)));
    router
}

async fn open(router: &RouterSender, path: &str) -> Opened {
    let (reply, opened) = oneshot::channel();
    let _ = router.unbounded_send(RouterMessage::Open {
        budget: None,
        host: "h".to_owned(),
        path: path.to_owned(),
        reply,
    });
    opened.await.unwrap().unwrap()
}

/// Sends as many requests as a delay needs, each with a first attempt.
async fn send_requests(router: &RouterSender, path: &str) {
    for _ in 0..MIN_HEDGE_SAMPLES {
        let opened = open(router, path).await;
        let (reply, picked) = oneshot::channel();
        let _ = router.unbounded_send(RouterMessage::Pick {
            kind: PickKind::First,
            large: false,
            reply,
            service: opened.service(),
            transfer: Duration::ZERO,
            tried: Vec::new(),
        });
        drop(picked.await);
        let _ = router.unbounded_send(RouterMessage::Close {
            inflight: opened.inflight,
            ran: true,
        });
    }
}

/// Asks for a copy of a late request whose first attempt is at the first target.
async fn hedge(router: &RouterSender, expected: Option<Duration>) -> String {
    let (reply, picked) = oneshot::channel();
    let late = LateRequest {
        body: 0,
        expected,
        large: false,
        left: Duration::from_secs(1),
        service: ServiceId(0),
        transfer: Duration::ZERO,
        tried: vec![TargetId(0)],
    };
    let _ = router.unbounded_send(RouterMessage::Hedge { late, reply });
    let picked = picked.await.unwrap();
    picked.map_or_else(
        |denied| format!("{denied:?}"),
        |picked| {
            format!(
                "{} within {:?}",
                picked.choice.target, picked.choice.max_wait
            )
        },
    )
}

fn describe(hedge: Hedge) -> &'static str {
    match hedge {
        Hedge::After(_) => "after the route's time",
        Hedge::AfterChoice => "after the service's time",
        Hedge::Never => "never",
    }
}

/// Guards against copies that the settings don't allow, or for requests that must run once, and against a copy
/// during an evacuation or while the own link is saturated.
#[test]
fn by_setting_and_state() {
    let lines = block_on(async {
        let mut lines = Vec::new();
        for percent in [0, 10] {
            let router = start(percent, two_domains());
            let before = open(&router, "/read/1").await.hedge;
            lines.push(format!("{percent}: first request {}", describe(before)));
            for path in ["/read/1", "/order/1"] {
                send_requests(&router, path).await;
                let hedge = open(&router, path).await.hedge;
                lines.push(format!("{percent}: {path} {}", describe(hedge)));
            }
        }
        let expected = Some(Duration::from_millis(1));
        let router = start(10, two_domains());
        lines.push(format!("no requests: {}", hedge(&router, expected).await));
        send_requests(&router, "/read/1").await;
        lines.push(format!("unknown time: {}", hedge(&router, None).await));
        let _ = router.unbounded_send(RouterMessage::OwnLink(LinkChange::Saturated));
        lines.push(format!(
            "saturated link: {}",
            hedge(&router, expected).await
        ));
        let _ = router.unbounded_send(RouterMessage::OwnLink(LinkChange::Free));
        let evacuated = RoutingState {
            evacuated: ["b".to_owned()].into(),
            ..two_domains()
        };
        let _ = router.unbounded_send(RouterMessage::RoutingState(Rc::new(evacuated)));
        lines.push(format!("evacuated: {}", hedge(&router, expected).await));
        let state = RouterMessage::RoutingState(Rc::new(two_domains()));
        let _ = router.unbounded_send(state);
        lines.push(format!("otherwise: {}", hedge(&router, expected).await));
        lines
    });
    assert_snapshot!(lines.join("\n"));
}
