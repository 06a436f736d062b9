//! A whole deployment as child processes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hawthornwall_settings::{
    AdminSettings, CallerSettings, PeerSettings, PlatformSettings, Settings, TargetSettings,
};
use hawthornwall_wire::instances::{Instance, InstanceList, InstanceState};
use serde_json::{Value, json};

use super::child::{Child, LaunchError};
use super::deployment::{Deployment, Plan, TargetPlan};
use super::places::{Folder, Place, shared_address};
use crate::http1::json_once;

/// Longest wait for a child to become ready.
const READY: Duration = Duration::from_secs(15);

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
    /// Whether daemons reach each other through the relay.
    pub relay: bool,
    /// Seed of the targets.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            behaviour: json!({}),
            daemons: true,
            delay_us: None,
            keep: false,
            relay: true,
            seed: 1,
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
    options: ClusterOptions,
    plan: Plan,
    platform: Child,
    platform_address: SocketAddr,
    relay: Option<Child>,
    relay_control: SocketAddr,
    folder: Folder,
}

impl Cluster {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A process can't be started or doesn't become ready.
    pub fn start(deployment: Deployment, options: ClusterOptions) -> Result<Self, LaunchError> {
        let folder = Folder::create(options.keep).map_err(LaunchError::io("temporary folder"))?;
        let plan = deployment.plan();
        let nodes = place_nodes(&plan).map_err(LaunchError::io("free ports"))?;
        let address = || shared_address().map_err(LaunchError::io("free ports"));
        let (platform_address, relay_control) = (address()?, address()?);
        let platform = start_platform(&folder, platform_address)?;
        let mut cluster = Self {
            folder,
            nodes,
            options,
            plan,
            platform,
            platform_address,
            relay: None,
            relay_control,
        };
        cluster.publish_start()?;
        if cluster.options.relay && cluster.options.daemons {
            cluster.start_relay()?;
        }
        for index in 0..cluster.nodes.len() {
            cluster.start_target(index)?;
        }
        if cluster.options.daemons {
            // All are started before the first is waited for: each needs peers to be ready.
            for index in 0..cluster.nodes.len() {
                cluster.spawn_daemon(index)?;
            }
            for index in 0..cluster.nodes.len() {
                cluster.wait_daemon(index)?;
            }
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
    pub fn platform(&self) -> SocketAddr {
        self.platform_address
    }

    /// Address of the relay's control port.
    pub fn relay(&self) -> SocketAddr {
        self.relay_control
    }

    /// History files of all targets.
    pub fn target_histories(&self) -> Vec<PathBuf> {
        let name = |n: &Node| self.folder.file(&format!("{}.history", n.plan.name));
        self.nodes.iter().map(name).collect()
    }

    /// The daemon with this index, if it runs.
    pub fn daemon(&mut self, index: usize) -> Option<&mut Child> {
        self.nodes[index].daemon.as_mut()
    }

    /// Starts the daemon of one instance, killing one that runs, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't become ready.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        self.nodes[index].daemon = None;
        self.spawn_daemon(index)?;
        self.wait_daemon(index)
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

    /// Sends a JSON request to the control port of one target.
    ///
    /// # Errors
    ///
    /// The target doesn't accept it.
    pub fn control_target(&self, index: usize, changes: &Value) -> Result<Value, LaunchError> {
        let control = self.nodes[index].place.control;
        request(control, "POST", "/control", &changes.to_string())
    }

    /// Sends a JSON request to the platform fake.
    ///
    /// # Errors
    ///
    /// The fake doesn't accept it.
    pub fn control_platform(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Value, LaunchError> {
        request(self.platform_address, method, path, body)
    }

    /// Sends a JSON command to the relay.
    ///
    /// # Errors
    ///
    /// The relay doesn't accept it.
    pub fn control_relay(&self, command: &Value) -> Result<Value, LaunchError> {
        request(self.relay_control, "POST", "/control", &command.to_string())
    }

    /// The status of one daemon.
    ///
    /// # Errors
    ///
    /// It doesn't answer with status 200.
    pub fn status(&self, index: usize) -> Result<Value, LaunchError> {
        request(self.nodes[index].place.admin, "GET", "/status", "")
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

    fn peer_address(&self, node: &Node) -> SocketAddr {
        if self.options.relay {
            node.place.public
        } else {
            node.place.peer
        }
    }

    fn publish_start(&self) -> Result<(), LaunchError> {
        let json = |e: serde_json::Error| LaunchError::Refused(e.to_string());
        let document = serde_json::to_string(&self.plan.document()).map_err(json)?;
        self.control_platform("PUT", "/config", &document)?;
        let list = serde_json::to_string(&self.instances()).map_err(json)?;
        self.control_platform("PUT", "/instances", &list)?;
        Ok(())
    }

    fn start_relay(&mut self) -> Result<(), LaunchError> {
        let daemon = |node: &Node| {
            json!({
                "name": node.plan.name, "domain": node.plan.domain,
                "public": node.place.public, "real": node.place.peer,
            })
        };
        let settings = json!({
            "control": self.relay_control,
            "daemons": self.nodes.iter().map(daemon).collect::<Vec<_>>(),
            "delay_us": self.options.delay_us.unwrap_or(self.plan.delay_us),
        });
        let path = self.write("relay.json", &settings.to_string())?;
        let arguments = flatten(&[("--settings", path)]);
        let log = self.folder.file("relay.log");
        let mut child = Child::start("relay", "relay", &arguments, &log)?;
        let control = self.relay_control;
        child.wait_ready(READY, || json_once(control, "GET", "/stats", "").is_ok())?;
        self.relay = Some(child);
        Ok(())
    }

    fn spawn_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let name = self.nodes[index].plan.name.clone();
        let settings = serde_json::to_string_pretty(&self.settings(index));
        let settings = settings.map_err(|e| LaunchError::Refused(e.to_string()))?;
        let path = self.write(&format!("{name}.json"), &settings)?;
        let log = self.folder.file(&format!("{name}.daemon.log"));
        let arguments = flatten(&[("--settings", path)]);
        let child = Child::start(&name, "hawthornwalld", &arguments, &log)?;
        self.nodes[index].daemon = Some(child);
        Ok(())
    }

    fn wait_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        let admin = self.nodes[index].place.admin;
        let ready = || json_once(admin, "GET", "/status", "").is_ok();
        match self.daemon(index) {
            Some(child) => child.wait_ready(READY, ready),
            None => Ok(()),
        }
    }

    fn settings(&self, index: usize) -> Settings {
        let node = &self.nodes[index];
        let place = node.place;
        // Two seeds, so that the loss of one doesn't isolate a daemon that starts.
        let count = self.nodes.len();
        let seeds = [1, count / 2].map(|step| &self.nodes[(index + step) % count]);
        Settings {
            admin: AdminSettings {
                listen: place.admin,
            },
            caller: caller_settings(place.caller),
            control: Default::default(),
            domain: node.plan.domain.clone(),
            keys: Default::default(),
            log: Default::default(),
            metrics: Default::default(),
            name: node.plan.name.clone(),
            peer: PeerSettings {
                advertise: Some(self.peer_address(node)),
                listen: place.peer,
                secret: "5a".repeat(32),
                seeds: seeds.map(|n| self.peer_address(n)).to_vec(),
                silence: Duration::from_secs(1),
            },
            platform: PlatformSettings {
                config: self.platform_address,
                instances: self.platform_address,
            },
            probe: Default::default(),
            routing: Default::default(),
            target: TargetSettings {
                address: place.target,
                health: "/health".to_owned(),
                load: "/load".to_owned(),
                silence: Duration::from_secs(10),
            },
            trace: Default::default(),
        }
    }

    fn write(&self, name: &str, text: &str) -> Result<String, LaunchError> {
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

fn start_platform(folder: &Folder, address: SocketAddr) -> Result<Child, LaunchError> {
    let history = folder.file("platform.history").display().to_string();
    let arguments = flatten(&[("--listen", address.to_string()), ("--history", history)]);
    let log = folder.file("platform.log");
    let mut child = Child::start("platform", "platform-fake", &arguments, &log)?;
    child.wait_ready(READY, || json_once(address, "GET", "/stats", "").is_ok())?;
    Ok(child)
}

fn caller_settings(listen: SocketAddr) -> CallerSettings {
    CallerSettings {
        body_limit: 1 << 20,
        connections: 1_000,
        head_limit: 16 << 10,
        idle: Duration::from_mins(1),
        listen,
        service_limit: 500,
    }
}

fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, LaunchError> {
    let refused = |e| LaunchError::Refused(format!("{method} {path}: {e}"));
    json_once(address, method, path, body).map_err(refused)
}

fn flatten(arguments: &[(&str, String)]) -> Vec<String> {
    let pair = |(name, value): &(&str, String)| [(*name).to_owned(), value.clone()];
    arguments.iter().flat_map(pair).collect()
}
