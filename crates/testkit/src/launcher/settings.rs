//! Generates the settings files of the daemons.

use std::time::Duration;

use hawthornwall_settings::{
    AdminSettings, CallerSettings, ControlSettings, KeySettings, LinkKind, LogSettings,
    MachineSettings, MetricSettings, PeerSettings, PlatformSettings, ProbeSettings,
    RoutingSettings, Settings, TargetSettings, TraceSettings,
};
use serde_json::Value;

use super::child::LaunchError;
use super::cluster::Cluster;

impl Cluster {
    /// Settings file of a daemon: the launcher's defaults with the changes from the options.
    pub(super) fn daemon_settings(&self, index: usize) -> Result<String, LaunchError> {
        let failed = |e: serde_json::Error| LaunchError::Failed(e.to_string());
        let mut all = serde_json::to_value(self.settings(index)).map_err(failed)?;
        let of_domain = &self.options.domain_settings[&self.nodes[index].plan.domain];
        let changes = [&self.options.settings, of_domain];
        for (section, fields) in changes.iter().filter_map(|c| c.as_object()).flatten() {
            match (&mut all[section], fields) {
                (Value::Object(known), Value::Object(new)) => known.extend(new.clone()),
                (known, new) => *known = new.clone(),
            }
        }
        serde_json::to_string_pretty(&all).map_err(failed)
    }

    fn settings(&self, index: usize) -> Settings {
        let node = &self.nodes[index];
        let addresses = node.addresses;
        Settings {
            admin: AdminSettings {
                listen: addresses.admin,
                ready: None,
            },
            caller: CallerSettings {
                announce: Duration::from_secs(1),
                body_limit: None,
                connections: 1_000,
                grace: Duration::from_mins(10),
                head_limit: 16 << 10,
                idle: Duration::from_mins(1),
                listen: addresses.caller,
                pipeline_bytes: 64 << 10,
                pipeline_requests: 16,
                service_limit: 500,
            },
            control: ControlSettings::default(),
            domain: node.plan.domain.clone(),
            keys: KeySettings::default(),
            log: LogSettings::default(),
            machine: MachineSettings::default(),
            metrics: MetricSettings::default(),
            name: node.plan.name.clone(),
            peer: self.peer_settings(index),
            platform: PlatformSettings {
                config: Some(self.platform_address()),
                instances: Some(self.platform_address()),
                store: None,
            },
            probe: ProbeSettings::default(),
            routing: RoutingSettings::default(),
            target: TargetSettings {
                address: self.options.shared_target.unwrap_or(addresses.target),
                health: "/health".to_owned(),
                load: "/load".to_owned(),
                service: None,
                silence: Duration::from_secs(10),
            },
            trace: TraceSettings::default(),
        }
    }

    fn peer_settings(&self, index: usize) -> PeerSettings {
        let node = &self.nodes[index];
        // With two seeds, a starting daemon can still reach its peers if one seed is down.
        let count = self.nodes.len();
        let seeds = [1, count / 2].map(|step| &self.nodes[(index + step) % count]);
        PeerSettings {
            advertise: Some(self.peer_address(node)),
            link: LinkKind::Quic,
            listen: node.addresses.peer,
            secret: Some("5a".repeat(32)),
            seeds: seeds.map(|n| self.peer_address(n)).to_vec(),
            silence: Duration::from_secs(1),
        }
    }
}
