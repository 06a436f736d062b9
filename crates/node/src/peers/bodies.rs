//! The task that admits large bodies to the own link in one direction.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::admission::Priority;
use hawthornwall_core::link::{
    BodyGrants, GRANT_EXPIRY, GrantEffect, GrantEvent, Offer, OfferId, Rate,
};
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::BodyOffer;

use crate::clock::Clock;
use crate::telemetry::{Event, LinkEvent, Telemetry};

/// Longest sleep of the task while nothing is pending.
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// The direction in which bodies cross the own link.
#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    /// The arrival of each body is observed, and ends its grant.
    Receiving,
    /// A body that was written to a connection may still be in its buffer, so that a grant ends after the link
    /// time of its body.
    Sending,
}

impl Direction {
    fn expiry(self) -> Duration {
        match self {
            Self::Receiving => GRANT_EXPIRY,
            Self::Sending => Duration::ZERO,
        }
    }

    /// The event to count for an effect, if any.
    fn event(self, effect: GrantEffect) -> Option<LinkEvent> {
        match (self, effect) {
            (Self::Receiving, GrantEffect::Expire(_)) => Some(LinkEvent::Expired),
            (Self::Receiving, GrantEffect::Grant(_)) => Some(LinkEvent::Granted),
            (Self::Receiving, GrantEffect::Refuse(..)) => Some(LinkEvent::Refused),
            (Self::Sending, GrantEffect::Expire(_)) => None,
            (Self::Sending, GrantEffect::Grant(_)) => Some(LinkEvent::Sent),
            (Self::Sending, GrantEffect::Refuse(..)) => Some(LinkEvent::SendRefused),
        }
    }
}

/// A message to the task.
#[derive(Debug)]
enum BodyMessage {
    /// The body has arrived, or its sender has failed.
    End(OfferId),
    Offer {
        id: OfferId,
        offer: BodyOffer,
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
}

/// A sender to the task.
#[derive(Clone, Debug)]
pub(super) struct Bodies {
    next: Rc<Cell<u64>>,
    sender: mpsc::UnboundedSender<BodyMessage>,
}

impl Bodies {
    /// Starts the task for one direction of a link of this rate.
    pub fn start(rate: Rate, direction: Direction, clock: Clock, telemetry: Telemetry) -> Self {
        let (sender, receiver) = mpsc::unbounded();
        let task = BodyTask {
            clock,
            direction,
            grants: BodyGrants::new(rate, direction.expiry()),
            receiver,
            replies: BTreeMap::new(),
            telemetry,
        };
        monoio::spawn(task.run());
        Self {
            next: Rc::default(),
            sender,
        }
    }

    /// Waits until the body may be sent. Dropping the future withdraws the offer.
    ///
    /// # Errors
    ///
    /// If the body can't arrive in time.
    pub async fn admit(&self, offer: BodyOffer) -> Result<BodyGrant, Refusal> {
        let id = OfferId(self.next.replace(self.next.get() + 1));
        let (reply, decided) = oneshot::channel();
        let _ = self
            .sender
            .unbounded_send(BodyMessage::Offer { id, offer, reply });
        let grant = BodyGrant {
            id,
            sender: self.sender.clone(),
        };
        match decided.await {
            Ok(Ok(())) => Ok(grant),
            Ok(Err(refusal)) => Err(refusal),
            // The task ends only with the daemon.
            Err(_) => Err(Refusal::PeerLink),
        }
    }
}

/// Permission to send a body; dropping it ends the grant.
#[derive(Debug)]
pub(super) struct BodyGrant {
    id: OfferId,
    sender: mpsc::UnboundedSender<BodyMessage>,
}

impl Drop for BodyGrant {
    fn drop(&mut self) {
        let _ = self.sender.unbounded_send(BodyMessage::End(self.id));
    }
}

struct BodyTask {
    clock: Clock,
    direction: Direction,
    grants: BodyGrants,
    receiver: mpsc::UnboundedReceiver<BodyMessage>,
    /// Senders that wait for a decision.
    replies: BTreeMap<OfferId, oneshot::Sender<Result<(), Refusal>>>,
    telemetry: Telemetry,
}

impl BodyTask {
    /// Handles messages until all senders are dropped.
    async fn run(mut self) {
        loop {
            let sleep = self.grants.next_timer();
            let sleep = sleep.map_or(IDLE_SLEEP, |timer| self.clock.until(timer));
            let message = {
                let timer = monoio::time::sleep(sleep).fuse();
                pin_mut!(timer);
                select_biased! {
                    message = self.receiver.next() => Some(message),
                    () = timer => None,
                }
            };
            let event = match message {
                Some(Some(BodyMessage::End(id))) => {
                    self.replies.remove(&id);
                    GrantEvent::End(id)
                }
                Some(Some(BodyMessage::Offer { id, offer, reply })) => {
                    self.replies.insert(id, reply);
                    GrantEvent::Offer(self.offer(id, &offer))
                }
                Some(None) => return,
                None => GrantEvent::Timer,
            };
            self.apply(&event);
        }
    }

    fn offer(&self, id: OfferId, offer: &BodyOffer) -> Offer {
        let left = offer.objective_left.unwrap_or(offer.time_left);
        Offer {
            due: self.clock.now() + left.min(offer.time_left),
            id,
            max_wait: offer.max_wait,
            priority: Priority {
                objective: offer.objective,
                rank: offer.rank,
            },
            size: offer.size,
        }
    }

    fn apply(&mut self, event: &GrantEvent) {
        for effect in self.grants.on(event, self.clock.now()) {
            if let Some(event) = self.direction.event(effect) {
                self.telemetry.record(Event::Link(event));
            }
            match effect {
                GrantEffect::Expire(_) => {}
                GrantEffect::Grant(id) => self.decide(id, Ok(())),
                GrantEffect::Refuse(id, refusal) => self.decide(id, Err(refusal)),
            }
        }
    }

    fn decide(&mut self, id: OfferId, decision: Result<(), Refusal>) {
        if let Some(reply) = self.replies.remove(&id) {
            let _ = reply.send(decision);
        }
    }
}
