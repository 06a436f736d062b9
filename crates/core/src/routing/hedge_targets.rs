//! Targets for a second copy of a late request.

use std::time::Duration;

use super::balancer::{Balancer, Choice, PickRequest};
use super::view::View;
use crate::ids::{ServiceId, TargetId};
use crate::outcome::Refusal;
use crate::time::Time;

/// Maximum wait of a copy for a slot. The first attempt is still running, so that a copy which has to queue
/// would only delay other requests.
const COPY_MAX_WAIT: Duration = Duration::from_millis(1);

/// How many targets of a service can take a copy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HedgeTargets {
    /// Targets that accept work and that the call hasn't tried.
    pub accepting: usize,
    /// Those of them with room for a copy: not cold, starting, failing, strained, overdue or in backoff.
    pub free: usize,
    /// Those of the free ones that the call hasn't tried, in another failure domain than its last attempt if the
    /// service has targets in another one.
    pub suitable: usize,
}

impl HedgeTargets {
    /// Whether at most half of the targets are free.
    pub fn mostly_busy(&self) -> bool {
        self.free * 2 <= self.accepting
    }
}

impl Balancer {
    /// Counts the targets that can take a copy of a request that has been sent to `request.tried`.
    pub fn hedge_targets(&self, request: &PickRequest<'_>, now: Time) -> HedgeTargets {
        let mean = self.mean(request.service, now);
        let free = |v: &View| v.has_room_for_copy(&mean, now);
        let accepting = self.of_service(request.service);
        let accepting = accepting.filter(|(_, v)| self.accepts_work(v, now));
        // The target that is late says nothing about the load of the others.
        let accepting = accepting.filter(|(id, _)| !request.tried.contains(id));
        let accepting: Vec<_> = accepting.collect();
        HedgeTargets {
            accepting: accepting.len(),
            free: accepting.iter().filter(|(_, v)| free(v)).count(),
            suitable: self.suitable_for_copy(request, now).len(),
        }
    }

    /// Whether a failure domain with targets of the service is evacuated.
    pub fn evacuation_affects(&self, service: ServiceId) -> bool {
        let mut targets = self.of_service(service);
        targets.any(|(_, v)| self.is_evacuated(v))
    }

    /// Picks the target of a copy and registers an attempt at it.
    ///
    /// # Errors
    ///
    /// As for [`Balancer::pick`], if no target is suitable.
    pub fn pick_for_copy(
        &mut self,
        request: &PickRequest<'_>,
        now: Time,
    ) -> Result<Choice, Refusal> {
        let suitable = self.suitable_for_copy(request, now);
        let choice = self.pick_among(&suitable.clone(), suitable, request, now)?;
        Ok(Choice {
            max_wait: COPY_MAX_WAIT,
            ..choice
        })
    }

    fn suitable_for_copy(&self, request: &PickRequest<'_>, now: Time) -> Vec<TargetId> {
        let mean = self.mean(request.service, now);
        let first = request.tried.last().and_then(|id| self.views.get(id));
        let other_domain = |v: &View| first.is_none_or(|first| first.domain != v.domain);
        let several = self
            .of_service(request.service)
            .any(|(_, v)| other_domain(v));
        let targets = self.of_service(request.service);
        let suitable = targets.filter(|(id, v)| {
            self.accepts_work(v, now)
                && !request.tried.contains(id)
                && (other_domain(v) || !several)
                && v.has_room_for_copy(&mean, now)
        });
        suitable.map(|(id, _)| id).collect()
    }

    fn of_service(&self, service: ServiceId) -> impl Iterator<Item = (TargetId, &View)> {
        let views = self.views.iter().map(|(id, v)| (*id, v));
        views.filter(move |(_, v)| v.service == service)
    }
}
