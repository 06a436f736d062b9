//! The task that owns the budget.

use std::collections::HashMap;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::memory::{Budget, BufferLimits, ClaimId, Effect, Event, HolderId};

use crate::clock::Clock;
use crate::messages::{MemoryMessage, MemoryStatus};
use crate::telemetry::{Event as Count, Telemetry, log};

/// Interval at which the budget checks whether there is room again.
const TICK: Duration = Duration::from_secs(1);

/// The task that decides who may buffer how much.
#[derive(Debug)]
pub struct MemoryTask {
    budget: Budget,
    clock: Clock,
    evictions: HashMap<HolderId, oneshot::Sender<()>>,
    receiver: mpsc::UnboundedReceiver<MemoryMessage>,
    replies: HashMap<ClaimId, oneshot::Sender<bool>>,
    status: MemoryStatus,
    telemetry: Telemetry,
}

impl MemoryTask {
    /// Creates the task with a budget of which nothing is used.
    pub fn new(
        limits: BufferLimits,
        clock: Clock,
        receiver: mpsc::UnboundedReceiver<MemoryMessage>,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            budget: Budget::new(limits),
            clock,
            evictions: HashMap::new(),
            receiver,
            replies: HashMap::new(),
            status: MemoryStatus::default(),
            telemetry,
        }
    }

    /// Handles messages until all senders are dropped.
    pub async fn run(mut self) {
        loop {
            let tick = monoio::time::sleep(TICK).fuse();
            pin_mut!(tick);
            let event = select_biased! {
                message = self.receiver.next() => match message {
                    Some(message) => self.event(message),
                    None => return,
                },
                () = tick => Some(Event::Tick),
            };
            if let Some(event) = event {
                let effects = self.budget.on(event, self.clock.now());
                for effect in effects {
                    self.perform(effect);
                }
            }
        }
    }

    /// The event of a message, if it is one for the budget.
    fn event(&mut self, message: MemoryMessage) -> Option<Event> {
        Some(match message {
            MemoryMessage::Active(holder, activity) => Event::Active(holder, activity),
            MemoryMessage::Claim {
                answer,
                bytes,
                claim,
                holder,
                reply,
            } => {
                self.replies.insert(claim, reply);
                Event::Claim {
                    answer,
                    bytes,
                    claim,
                    holder,
                }
            }
            MemoryMessage::Closed(holder) => {
                self.evictions.remove(&holder);
                Event::Closed(holder)
            }
            MemoryMessage::HandOver(holder, bytes) => Event::HandOver { bytes, holder },
            MemoryMessage::Open {
                claim,
                evict,
                holder,
                owner,
                reply,
            } => {
                self.replies.insert(claim, reply);
                self.evictions.insert(holder, evict);
                Event::Open {
                    claim,
                    holder,
                    owner,
                }
            }
            MemoryMessage::Progress(holder) => Event::Progress(holder),
            MemoryMessage::Release(holder, bytes) => Event::Release { bytes, holder },
            MemoryMessage::Status(reply) => {
                let _ = reply.send(MemoryStatus {
                    connections: self.budget.connections(),
                    used: self.budget.used(),
                    ..self.status
                });
                return None;
            }
        })
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Evict(holder) => {
                self.status.evicted += 1;
                self.telemetry.record(Count::Evicted);
                drop(self.evictions.remove(&holder));
            }
            Effect::Grant(claim) => self.reply(claim, true),
            Effect::PressureEnded => {
                let used = self.budget.used();
                log::info!("there is room again for connections and buffered bytes", kv: { used });
            }
            Effect::PressureStarted => {
                let (used, connections) = (self.budget.used(), self.budget.connections());
                log::warn!("no room for further connections or buffered bytes; stalled and idle connections are closed, and claims are refused", kv: { used, connections });
            }
            Effect::Refuse(claim) => {
                self.status.refused += 1;
                self.telemetry.record(Count::ClaimRefused);
                self.reply(claim, false);
            }
        }
    }

    fn reply(&mut self, claim: ClaimId, granted: bool) {
        if let Some(reply) = self.replies.remove(&claim) {
            let _ = reply.send(granted);
        }
    }
}
