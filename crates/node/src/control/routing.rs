//! Publication of changes to the other tasks, and the status report.

use std::collections::BTreeMap;
use std::rc::Rc;

use hawthornwall_core::gossip::RingMember;
use hawthornwall_core::ids::{TargetId, Version};
use hawthornwall_core::members::MemberView;

use super::task::Control;
use crate::messages::{
    ControlStatus, GateMessage, Member, PeersMessage, RouterMessage, RoutingState,
};

impl Control {
    /// Sends a new [`RoutingState`] to the other tasks if it differs from the last one.
    pub(super) fn publish(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let now = self.clock.now();
        let current = self.members.current().filter(|(_, m)| !m.leaving);
        let ring = current.map(|(_, m)| RingMember {
            domain: m.domain,
            peer: m.peer,
        });
        self.gossip.set_members(ring, now);
        if !self.gossip.is_ready() {
            return;
        }
        let (config, members) = (self.active.config(), self.targets());
        let own = config.target_id_by_name(&self.members.own().identity.target);
        // Repeated announcements don't change the routing state.
        let (version, published) = (config.version, self.routing.config.version);
        if version == published && version > Version(0) && members == self.routing.members {
            return;
        }
        let config = config.clone();
        self.routing = Rc::new(RoutingState {
            config,
            members,
            own,
            ..RoutingState::default()
        });
        let routing = || Rc::clone(&self.routing);
        let _ = self
            .router
            .unbounded_send(RouterMessage::RoutingState(routing()));
        self.gate.send(GateMessage::RoutingState(routing()));
        let _ = self
            .peers
            .unbounded_send(PeersMessage::RoutingState(routing()));
    }

    fn targets(&self) -> BTreeMap<TargetId, Member> {
        let targets = self.active.config().targets.iter();
        let found = targets.filter_map(|(id, t)| Some((*id, self.members.member(&t.name)?)));
        found.map(|(id, view)| (id, member(view))).collect()
    }

    /// Whether this daemon accepts requests of callers.
    pub(super) fn is_ready(&self) -> bool {
        let leaving = self.members.own().leaving;
        self.gossip.is_ready() && !leaving && self.active.config().version > Version(0)
    }

    pub(super) fn status(&self) -> ControlStatus {
        let config = self.active.config();
        let members = self.members.current();
        ControlStatus {
            digest: config.digest,
            evacuated: self.routing.evacuated.clone(),
            in_force_ms: (self.clock.now() - self.in_force_since).as_millis() as u64,
            members: members.map(|(n, v)| (n.to_owned(), member(v))).collect(),
            neighbours: self.gossip.neighbours().len(),
            platform_reads: self.reads,
            ready: self.gossip.is_ready(),
            skipped: self.skipped_patches.clone(),
            version: config.version,
            watching: self.gossip.is_watching(),
        }
    }
}

fn member(view: MemberView<'_>) -> Member {
    Member {
        expect: None,
        instance: view.instance,
        leaving: view.leaving,
        peer: view.peer,
    }
}
