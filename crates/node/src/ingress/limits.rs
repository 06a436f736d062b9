//! Limits on the requests of callers: those of the configuration in force, within the bounds of the settings.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_core::catalog::RequestLimits;

use crate::http::Limits;
use crate::messages::IngressMessage;
use crate::telemetry::log;

/// The limits that apply to the next request.
#[derive(Clone, Debug)]
pub(super) struct CallerLimits {
    /// Bounds of the settings.
    bounds: Limits,
    /// What the configuration in force allows; `None` if it doesn't limit requests.
    published: Rc<Cell<Option<RequestLimits>>>,
}

impl CallerLimits {
    pub fn new(bounds: Limits) -> Self {
        Self {
            bounds,
            published: Rc::default(),
        }
    }

    /// Limits on the size of a request and on the time between two of its parts.
    pub fn request(&self) -> Limits {
        let Limits { body, head, idle } = self.bounds;
        let published = self.published.get();
        Limits {
            body: published.map_or(body, |p| p.body.min(body)),
            head: published.map_or(head, |p| p.head.min(head)),
            idle,
        }
    }

    /// Longest time from the first byte of a head to its last; `None` if only the time between two parts is limited.
    pub fn head_time(&self) -> Option<Duration> {
        self.published.get().map(|p| p.head_time)
    }

    /// Longest time between two requests.
    pub fn idle(&self) -> Duration {
        let bound = self.bounds.idle;
        self.published.get().map_or(bound, |p| p.idle.min(bound))
    }

    /// Applies the limits of each new version of the configuration.
    pub async fn follow(self, mut messages: mpsc::UnboundedReceiver<IngressMessage>) {
        while let Some(IngressMessage::RoutingState(routing)) = messages.next().await {
            if self.published.replace(routing.limits) != routing.limits {
                let Limits { body, head, .. } = self.request();
                let idle_ms = self.idle().as_millis() as u64;
                log::info!("limits on requests of callers changed", kv: { body, head, idle_ms });
            }
        }
    }
}
