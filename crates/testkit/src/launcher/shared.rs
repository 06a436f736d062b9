//! Processes that all instances share: the platform fake and the relay.

use std::net::SocketAddr;

use serde_json::json;

use super::child::{Child, LaunchError};
use super::cluster::{Cluster, Node, READY_TIMEOUT, flatten};
use super::resources::Folder;
use crate::http1::json_once;

impl Cluster {
    pub(super) fn publish_initial_state(&self) -> Result<(), LaunchError> {
        let json = |e: serde_json::Error| LaunchError::Failed(e.to_string());
        let document = serde_json::to_string(&self.plan.document()).map_err(json)?;
        self.control_platform("PUT", "/config", &document)?;
        let list = serde_json::to_string(&self.instances()).map_err(json)?;
        self.control_platform("PUT", "/instances", &list)?;
        Ok(())
    }

    pub(super) fn start_relay(&mut self) -> Result<(), LaunchError> {
        let daemon = |node: &Node| {
            json!({
                "name": node.plan.name, "domain": node.plan.domain,
                "public": node.addresses.public, "real": node.addresses.peer,
            })
        };
        let settings = json!({
            "control": self.relay_control(),
            "daemons": self.nodes.iter().map(daemon).collect::<Vec<_>>(),
            "delay_us": self.options.delay_us.unwrap_or(self.plan.delay_us),
        });
        let path = self.write_file("relay.json", &settings.to_string())?;
        let arguments = flatten(&[("--settings", path)]);
        let log = self.folder.file("relay.log");
        let mut child = Child::start("relay", "relay", &arguments, &log)?;
        let control = self.relay_control();
        child.wait_ready(READY_TIMEOUT, || {
            json_once(control, "GET", "/stats", "").is_ok()
        })?;
        self.relay = Some(child);
        Ok(())
    }
}

pub(super) fn start_platform(folder: &Folder, address: SocketAddr) -> Result<Child, LaunchError> {
    let history = folder.file("platform.history").display().to_string();
    let arguments = flatten(&[("--listen", address.to_string()), ("--history", history)]);
    let log = folder.file("platform.log");
    let mut child = Child::start("platform", "platform-fake", &arguments, &log)?;
    child.wait_ready(READY_TIMEOUT, || {
        json_once(address, "GET", "/stats", "").is_ok()
    })?;
    Ok(child)
}
