//! The task that owns the budget.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::memory::{Budget, BufferLimits, ClaimId, Effect, Event, HolderId};

use crate::clock::Clock;
use crate::messages::{MemoryMessage, MemoryStatus};
use crate::telemetry::{Event as Count, Telemetry, log};

/// Interval at which the budget checks whether there is room again.
const TICK: Duration = Duration::from_secs(1);

/// A claim that awaits its decision.
#[derive(Debug)]
struct Claim {
    /// Bytes that are claimed; zero for a connection.
    bytes: usize,
    holder: HolderId,
    reply: oneshot::Sender<bool>,
}

/// The task that decides who may buffer how much.
#[derive(Debug)]
pub struct MemoryTask {
    budget: Budget,
    clock: Clock,
    evictions: HashMap<HolderId, oneshot::Sender<()>>,
    receiver: mpsc::UnboundedReceiver<MemoryMessage>,
    replies: HashMap<ClaimId, Claim>,
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
            // One timer for all messages of an interval, which otherwise would never pass under load.
            let tick = monoio::time::sleep(TICK).fuse();
            pin_mut!(tick);
            loop {
                select_biased! {
                    () = tick => break,
                    message = self.receiver.next() => match message {
                        Some(message) => {
                            if let Some(event) = self.event(message) {
                                self.apply(event);
                            }
                        }
                        None => return,
                    },
                }
            }
            self.apply(Event::Tick);
        }
    }

    fn apply(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.budget.on(event, self.clock.now()) {
                events.extend(self.perform(effect));
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
                let pending = Claim {
                    bytes,
                    holder,
                    reply,
                };
                self.replies.insert(claim, pending);
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
                let pending = Claim {
                    bytes: 0,
                    holder,
                    reply,
                };
                self.replies.insert(claim, pending);
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

    /// Performs an effect and returns the event that follows from it, if any.
    fn perform(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Evict(holder) => {
                self.status.evicted += 1;
                self.telemetry.record(Count::Evicted);
                drop(self.evictions.remove(&holder));
            }
            Effect::Grant(claim) => return self.reply(claim, true),
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
                return self.reply(claim, false);
            }
        }
        None
    }

    /// Tells the decision on a claim. Bytes that are granted when the connection no longer waits are returned.
    fn reply(&mut self, claim: ClaimId, granted: bool) -> Option<Event> {
        let Claim {
            bytes,
            holder,
            reply,
        } = self.replies.remove(&claim)?;
        let unclaimed = reply.send(granted).is_err() && granted && bytes > 0;
        unclaimed.then_some(Event::Release { bytes, holder })
    }
}
