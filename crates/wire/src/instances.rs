//! The platform's list of live and leaving instances, as JSON.

use std::net::SocketAddr;

use hawthornwall_core::members::ListedInstance;
use serde::{Deserialize, Serialize};

use crate::document::{self, DocumentError};

/// Whether the platform intends to keep an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It will be stopped soon.
    Leaving,
    /// It runs.
    Live,
}

/// One instance on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its failure domain.
    pub domain: String,
    /// Address of its daemon for peers.
    pub peer: SocketAddr,
    /// Whether it is leaving.
    pub state: InstanceState,
    /// Name of the target on it.
    pub target: String,
}

/// The whole list at one revision.
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
    /// All instances.
    pub instances: Vec<Instance>,
    /// Rises with each change.
    pub revision: u64,
}

impl InstanceList {
    /// The list as the members aggregate takes it in.
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

/// Parses the platform's list.
///
/// # Errors
///
/// If the text is too long, no JSON, or no list.
pub fn parse_instances(bytes: &[u8]) -> Result<InstanceList, DocumentError> {
    document::parse(bytes)
}
