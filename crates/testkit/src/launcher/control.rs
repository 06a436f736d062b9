//! Control requests to the processes of a running deployment.

use std::net::SocketAddr;

use serde_json::Value;

use super::child::LaunchError;
use super::cluster::Cluster;
use crate::http1::json_once;

impl Cluster {
    /// Sends behaviour changes to the control port of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the target doesn't accept the request.
    pub fn control_target(&self, index: usize, changes: &Value) -> Result<Value, LaunchError> {
        let control = self.nodes[index].addresses.control;
        request(control, "POST", "/control", &changes.to_string())
    }

    /// Sends a JSON request to the platform fake.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't accept the request.
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
    /// Returns an error if the relay doesn't accept the command.
    pub fn control_relay(&self, command: &Value) -> Result<Value, LaunchError> {
        request(
            self.relay_control(),
            "POST",
            "/control",
            &command.to_string(),
        )
    }

    /// Queries the status of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon's answer isn't JSON with status 200 or 201.
    pub fn status(&self, index: usize) -> Result<Value, LaunchError> {
        request(self.nodes[index].addresses.admin, "GET", "/status", "")
    }
}

fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, LaunchError> {
    let failed = |e| LaunchError::Failed(format!("{method} {path}: {e}"));
    json_once(address, method, path, body).map_err(failed)
}
