//! The tasks between a caller and the gate, for tests that script the gate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use hawthornwall_core::config::Rules;
use hawthornwall_core::memory::BufferLimits;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
use hawthornwall_core::routing::Policy;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_node::clock::Clock;
use hawthornwall_node::dialect::Dialect;
use hawthornwall_node::ingress::{Ingress, IngressStart};
use hawthornwall_node::memory::{Memory, MemoryTask};
use hawthornwall_node::messages::{
    GateMessage, GateSender, IngressSender, Member, RouterMessage, RouterSender, RoutingState,
};
use hawthornwall_node::router::{Router, RouterStart};
use hawthornwall_node::telemetry::Telemetry;
use hawthornwall_node::telemetry::trace::Tracer;
use hawthornwall_settings::Settings;

/// Settings with further ones for callers.
pub fn settings(extra: &str) -> Settings {
    settings_with("", extra)
}

/// Settings with further sections, each followed by a comma, and further ones for callers.
pub fn settings_with(sections: &str, extra: &str) -> Settings {
    let text = format!(
        r#"{{ "name": "t1", "domain": "a", {sections} "caller": {{ "listen": "127.0.0.1:0", {extra} }},
        "target": {{ "address": "127.0.0.1:1" }},
        "peer": {{ "listen": "127.0.0.1:2", "secret": "{}" }},
        "platform": {{ "store": "127.0.0.1:3" }}, "admin": {{ "listen": "127.0.0.1:4" }} }}"#,
        "0".repeat(64)
    );
    Settings::parse(&text).expect("the settings are valid")
}

fn route(prefix: &str, repeats: Repeatability) -> Route {
    Route {
        attempts: 1,
        destinations: vec![Destination {
            service: "s".to_owned(),
            weight: 1,
        }],
        objective: Duration::from_secs(1),
        prefix: prefix.to_owned(),
        rank: 0,
        repeats,
        timeout: Duration::from_secs(5),
    }
}

/// One service with one local target, and a route for each kind of request.
pub fn routing_state() -> RoutingState {
    let (service, target) = (ServiceId(0), TargetId(0));
    let rules = Rules {
        deadline: Duration::from_secs(5),
        hedge: false,
        queue_wait: Duration::from_secs(1),
        retry_percent: 0,
    };
    let mut config = Configuration {
        version: Version(1),
        ..Configuration::default()
    };
    config.services.insert(
        service,
        Service {
            hosts: BTreeSet::new(),
            name: "s".to_owned(),
            rules,
        },
    );
    config.targets.insert(
        target,
        Target {
            domain: "a".to_owned(),
            name: "t1".to_owned(),
            service,
            slots: 8,
        },
    );
    let mut routes = RouteTable::default();
    routes.insert("h", route("/read/", Repeatability::Idempotent));
    routes.insert("h", route("/order/", Repeatability::NonIdempotent));
    let member = Member {
        expect: None,
        instance: None,
        leaving: false,
        peer: SocketAddr::from(([127, 0, 0, 1], 2)),
    };
    RoutingState {
        config,
        members: BTreeMap::from([(target, member)]),
        own: Some(target),
        routes: Some(Rc::new(routes)),
        ..RoutingState::default()
    }
}

/// Ends of the started tasks that a test uses.
pub struct Started {
    /// Address for callers.
    pub address: SocketAddr,
    pub drained: oneshot::Sender<()>,
    pub gate: mpsc::UnboundedReceiver<GateMessage>,
    pub ingress: IngressSender,
    pub router: RouterSender,
    pub stop: oneshot::Sender<StopPlan>,
}

/// Starts the budget of buffered bytes, if the settings state the memory of the machine.
fn memory(settings: &Settings, clock: Clock, telemetry: &Telemetry) -> Memory {
    if settings.machine.memory_mib.is_none() {
        return Memory::default();
    }
    let limits = BufferLimits::for_machine(settings.machine.memory_mib, None);
    let (sender, receiver) = mpsc::unbounded();
    let task = MemoryTask::new(limits, clock, receiver, telemetry.clone());
    monoio::spawn(task.run());
    Memory::limited(sender)
}

/// Starts the tasks between a caller and the gate.
pub fn start(settings: &Settings, clock: Clock) -> Started {
    let (router, receiver) = mpsc::unbounded();
    let (gate_sender, gate) = mpsc::unbounded();
    let (peers, _) = mpsc::unbounded();
    let (telemetry, _) = Telemetry::channel();
    let (stop, stopped) = oneshot::channel();
    let (drained, target_drained) = oneshot::channel();
    let task = Router::new(RouterStart {
        clock,
        dialect: Dialect::Platform,
        domain: "a",
        policy: Policy::Expected,
        receiver,
        seed: 1,
        sender: router.clone(),
        service_limit: 100,
    });
    monoio::spawn(task.run());
    let _ = router.unbounded_send(RouterMessage::RoutingState(Rc::new(routing_state())));
    let (ingress_sender, receiver) = mpsc::unbounded();
    let ingress = Ingress::start(IngressStart {
        body_limit: settings.body_limit(),
        memory: memory(settings, clock, &telemetry),
        clock,
        dialect: Dialect::Platform,
        drained: target_drained,
        gate: GateSender::new(gate_sender),
        link_mbps: settings.machine.link_mbps,
        peers,
        receiver,
        router: router.clone(),
        seed: 0,
        service: None,
        settings: &settings.caller,
        stop: stopped,
        telemetry,
        tracer: Tracer::new(0),
    });
    let ingress = ingress.expect("the listener is bound");
    let address = ingress.address().expect("the listener has an address");
    monoio::spawn(ingress.run());
    Started {
        address,
        drained,
        gate,
        ingress: ingress_sender,
        router,
        stop,
    }
}
