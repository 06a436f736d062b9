//! Requests to the control ports of a running deployment.

use std::net::SocketAddr;

use serde_json::Value;

use super::child::LaunchError;
use super::cluster::Cluster;
use crate::http1::json_once;

impl Cluster {
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
        request(self.platform_address(), method, path, body)
    }

    /// Sends a JSON command to the relay.
    ///
    /// # Errors
    ///
    /// The relay doesn't accept it.
    pub fn control_relay(&self, command: &Value) -> Result<Value, LaunchError> {
        request(
            self.relay_control(),
            "POST",
            "/control",
            &command.to_string(),
        )
    }

    /// The status of one daemon.
    ///
    /// # Errors
    ///
    /// It doesn't answer with status 200.
    pub fn status(&self, index: usize) -> Result<Value, LaunchError> {
        request(self.nodes[index].place.admin, "GET", "/status", "")
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
