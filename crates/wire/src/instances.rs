//! The platform's instance list as JSON.

use std::net::SocketAddr;

use hawthornwall_core::members::ListedInstance;
use serde::{Deserialize, Serialize};

use crate::document::{self, DocumentError};

/// The platform's plan for an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The platform will stop the instance soon.
    Leaving,
    /// The instance runs and no stop is planned.
    Live,
}

/// One instance in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Failure domain of the instance.
    pub domain: String,
    /// Address at which peers reach the instance's daemon.
    pub peer: SocketAddr,
    /// Whether the instance is leaving.
    pub state: InstanceState,
    /// Name of the instance's target.
    pub target: String,
}

/// The complete list at one revision.
///
/// ```
/// use hawthornwall_wire::instances::InstanceList;
///
/// let text = r#"{"revision": 3, "instances": [{"domain": "dk-1", "peer": "127.0.0.1:9001",
///     "state": "live", "target": "calendar-1"}]}"#;
/// let list: InstanceList = serde_json::from_str(text)?;
/// assert_eq!(list.revision, 3);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// All live and leaving instances.
    pub instances: Vec<Instance>,
    /// Revision of the list; increases with each change.
    pub revision: u64,
}

impl InstanceList {
    /// Converts the list to the input type of the member table.
    pub fn into_listed(self) -> Vec<ListedInstance> {
        let listed = |instance: Instance| ListedInstance {
            domain: instance.domain,
            leaving: instance.state == InstanceState::Leaving,
            peer: instance.peer,
            target: instance.target,
        };
        self.instances.into_iter().map(listed).collect()
    }
}

/// Parses the platform's instance list.
///
/// # Errors
///
/// Returns an error if the text is too long, is not JSON, or is not an instance list.
pub fn parse_instances(bytes: &[u8]) -> Result<InstanceList, DocumentError> {
    document::parse(bytes)
}
