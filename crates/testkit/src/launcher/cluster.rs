//! A whole deployment as child processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornwall_core::config::Rules;
use hawthornwall_wire::instances::{Instance, InstanceList, InstanceState};
use serde_json::{Value, json};

use super::child::{Child, LaunchError};
use super::deployment::{Deployment, Plan, TargetPlan};
use super::places::{Folder, Place, shared_address};
use super::shared::start_platform;
use crate::history::{Change, Writer};
use crate::http1::json_once;

/// Longest wait for a child to become ready.
pub(super) const READY: Duration = Duration::from_secs(15);

/// What is started, and how.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Changes of the targets' default behaviour, as for `POST /control`.
    pub behaviour: Value,
    /// Whether daemons are started beside the targets.
    pub daemons: bool,
    /// Whether the folder with settings, histories and logs remains after the end.
    pub keep: bool,
    /// One-way delay between domains; the deployment's own if absent.
    pub delay_us: Option<u64>,
    /// Further changes of the settings of the daemons in one failure domain, by its name.
    pub domain_settings: Value,
    /// Whether daemons reach each other through the relay.
    pub relay: bool,
    /// Sharing rules of every service.
    pub rules: Rules,
    /// Seed of the targets.
    pub seed: u64,
    /// Changes of the daemons' settings: an object of sections, each an object of fields.
    pub settings: Value,
    /// A running target that all daemons share; if absent, each gets a target of its own.
    pub shared_target: Option<SocketAddr>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            behaviour: json!({}),
            daemons: true,
            delay_us: None,
            domain_settings: json!({}),
            keep: false,
            relay: true,
            rules: Rules::default(),
            seed: 1,
            settings: json!({}),
            shared_target: None,
        }
    }
}

/// One instance: a daemon and its target.
#[derive(Debug)]
pub struct Node {
    /// The daemon, if it runs.
    pub daemon: Option<Child>,
    /// Name and failure domain.
    pub plan: TargetPlan,
    /// Its addresses.
    pub place: Place,
    /// Name of its service.
    pub service: String,
    /// The target, if it runs.
    pub target: Option<Child>,
}

/// A running deployment. Fields are dropped in this order, so the folder outlives the processes.
#[derive(Debug)]
pub struct Cluster {
    /// All instances.
    pub nodes: Vec<Node>,
    pub(super) options: ClusterOptions,
    pub(super) plan: Plan,
    /// The platform fake.
    pub platform: Child,
    platform_address: SocketAddr,
    /// The relay, if it runs.
    pub relay: Option<Child>,
    relay_control: SocketAddr,
    pub(super) presence: Writer,
    pub(super) folder: Folder,
}

impl Cluster {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A process can't be started or doesn't become ready.
    pub fn start(deployment: Deployment, options: ClusterOptions) -> Result<Self, LaunchError> {
        Self::start_plan(deployment.plan(), options)
    }

    /// Starts the instances of a plan and waits until they are ready.
    ///
    /// # Errors
    ///
    /// A process can't be started or doesn't become ready.
    pub fn start_plan(plan: Plan, options: ClusterOptions) -> Result<Self, LaunchError> {
        let folder = Folder::create(options.keep).map_err(LaunchError::io("temporary folder"))?;
        let plan = Plan {
            rules: options.rules.clone(),
            ..plan
        };
        let nodes = place_nodes(&plan).map_err(LaunchError::io("free ports"))?;
        let address = || shared_address().map_err(LaunchError::io("free ports"));
        let (platform_address, relay_control) = (address()?, address()?);
        let platform = start_platform(&folder, platform_address)?;
        let presence = Writer::open(Some(&folder.file("presence.history")), "launcher");
        let presence = presence.map_err(LaunchError::io("presence.history"))?;
        let mut cluster = Self {
            folder,
            nodes,
            options,
            plan,
            platform,
            platform_address,
            relay: None,
            relay_control,
            presence,
        };
        cluster.publish_start()?;
        if cluster.options.relay && cluster.options.daemons {
            cluster.start_relay()?;
        }
        if cluster.options.shared_target.is_none() {
            for index in 0..cluster.nodes.len() {
                cluster.start_target(index)?;
            }
        }
        if cluster.options.daemons {
            let all: Vec<usize> = (0..cluster.nodes.len()).collect();
            cluster.restart_daemons(&all)?;
        }
        Ok(cluster)
    }

    /// Folder with settings, histories (`*.history`) and logs (`*.log`).
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// What was started.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Address of the platform fake.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Address of the relay's control port.
    pub fn relay_control(&self) -> SocketAddr {
        self.relay_control
    }

    /// The daemon with this index, if it runs.
    pub fn daemon(&mut self, index: usize) -> Option<&mut Child> {
        self.nodes[index].daemon.as_mut()
    }

    /// Changes the behaviour that targets are started with from now on.
    pub fn set_behaviour(&mut self, behaviour: Value) {
        self.options.behaviour = behaviour;
    }

    /// Starts the target of one instance, killing one that runs, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't become ready.
    pub fn start_target(&mut self, index: usize) -> Result<(), LaunchError> {
        let node = &mut self.nodes[index];
        node.target = None;
        let name = &node.plan.name;
        let mut behaviour = json!({ "slots": self.plan.slots });
        if let (Some(all), Value::Object(changes)) =
            (behaviour.as_object_mut(), self.options.behaviour.clone())
        {
            all.extend(changes);
        }
        let history = self.folder.file(&format!("{name}.history"));
        let arguments = [
            ("--name", name.clone()),
            ("--listen", node.place.target.to_string()),
            ("--control", node.place.control.to_string()),
            ("--history", history.display().to_string()),
            ("--seed", (self.options.seed + index as u64).to_string()),
            ("--behaviour", behaviour.to_string()),
        ];
        let log = self.folder.file(&format!("{name}.target.log"));
        let mut child = Child::start(name, "target-fake", &flatten(&arguments), &log)?;
        let control = node.place.control;
        child.wait_ready(READY, || json_once(control, "GET", "/stats", "").is_ok())?;
        node.target = Some(child);
        Ok(())
    }

    /// The list with all instances live.
    pub fn instances(&self) -> InstanceList {
        let instance = |node: &Node| Instance {
            domain: node.plan.domain.clone(),
            peer: self.peer_address(node),
            state: InstanceState::Live,
            target: node.plan.name.clone(),
        };
        InstanceList {
            instances: self.nodes.iter().map(instance).collect(),
            revision: 0,
        }
    }

    pub(super) fn peer_address(&self, node: &Node) -> SocketAddr {
        if self.options.relay {
            node.place.public
        } else {
            node.place.peer
        }
    }

    pub(super) fn spawn_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let name = self.nodes[index].plan.name.clone();
        let settings = self.daemon_settings(index)?;
        let path = self.write(&format!("{name}.json"), &settings)?;
        let log = self.folder.file(&format!("{name}.daemon.log"));
        let arguments = flatten(&[("--settings", path)]);
        self.record_daemon(index, Change::Started);
        let child = Child::start(&name, "hawthornwalld", &arguments, &log)?;
        self.nodes[index].daemon = Some(child);
        Ok(())
    }

    pub(super) fn wait_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let admin = self.nodes[index].place.admin;
        let ready = || json_once(admin, "GET", "/status", "").is_ok();
        if let Some(child) = self.daemon(index) {
            child.wait_ready(READY, ready)?;
        }
        Ok(())
    }

    pub(super) fn write(&self, name: &str, text: &str) -> Result<String, LaunchError> {
        let path = self.folder.file(name);
        std::fs::write(&path, text).map_err(LaunchError::io(name))?;
        Ok(path.display().to_string())
    }
}

fn place_nodes(plan: &Plan) -> io::Result<Vec<Node>> {
    let targets = plan
        .services
        .iter()
        .flat_map(|s| s.targets.iter().map(move |t| (s, t)));
    let node = |(index, (service, target)): (u8, (&super::ServicePlan, &TargetPlan))| {
        Ok(Node {
            daemon: None,
            place: Place::find(index)?,
            plan: target.clone(),
            service: service.name.clone(),
            target: None,
        })
    };
    (0u8..).zip(targets).map(node).collect()
}

pub(super) fn flatten(arguments: &[(&str, String)]) -> Vec<String> {
    let pair = |(name, value): &(&str, String)| [(*name).to_owned(), value.clone()];
    arguments.iter().flat_map(pair).collect()
}
