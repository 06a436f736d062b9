//! What the tasks that route and admit requests know of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::mpsc;
use hawthornwall_core::catalog::{RequestLimits, ServiceLimits};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::RouteTable;
use serde::Serialize;

/// The instance that serves a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name that requests state and the target compares with its own; `None` if the target does not
    /// check it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Rc<str>>,
    /// Id of the running instance; `None` if none has been announced.
    pub instance: Option<InstanceId>,
    /// Whether the instance is leaving and accepts no new work.
    pub leaving: bool,
    /// Address of the instance's daemon.
    pub peer: SocketAddr,
}

/// A message to the `ingress` task.
#[derive(Clone, Debug)]
pub enum IngressMessage {
    /// The configuration or the members changed.
    RoutingState(Rc<RoutingState>),
}

/// A sender to the `ingress` task.
pub type IngressSender = mpsc::UnboundedSender<IngressMessage>;

/// The configuration in force and the members, published to the tasks that route and admit requests.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    /// End of the cold time of targets, as the store states it. Targets whose service doesn't limit the requests
    /// to cold ones are left out.
    pub cold_until: BTreeMap<TargetId, Time>,
    /// The configuration in force.
    pub config: Configuration,
    /// Failure domains whose targets take no requests.
    pub evacuated: BTreeSet<String>,
    /// What callers may send; `None` if only the settings limit it.
    pub limits: Option<RequestLimits>,
    /// The members by target; a target without a member can't be reached.
    pub members: BTreeMap<TargetId, Member>,
    /// The local target; `None` if the configuration does not contain it.
    pub own: Option<TargetId>,
    /// Routes of requests; if `None`, services are found by the host names and paths of the
    /// configuration.
    pub routes: Option<Rc<RouteTable>>,
    /// Limits of services; a service without any is left out.
    pub service_limits: BTreeMap<ServiceId, ServiceLimits>,
}
