//! What one connection holds of the budget.

use std::cell::Cell;
use std::rc::Rc;

use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use hawthornwall_core::memory::{Activity, ClaimId, HolderId, Owner};

use crate::messages::{MemoryMessage, MemorySender, MemoryStatus};

/// Bytes that a connection may buffer without a claim; they are part of the memory of every connection.
const FREE_BYTES: usize = 8 << 10;
/// Least number of bytes that are claimed or released at once, so that few messages are needed for a long body.
const STEP: usize = 64 << 10;

/// Opens leases. Without a sender, every claim is granted.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    next: Rc<Cell<u64>>,
    sender: Option<MemorySender>,
}

impl Memory {
    /// A budget that is decided by the task behind `sender`.
    pub fn limited(sender: MemorySender) -> Self {
        Self {
            next: Rc::default(),
            sender: Some(sender),
        }
    }

    /// Whether the memory or the connections of this process are limited.
    pub fn is_limited(&self) -> bool {
        self.sender.is_some()
    }

    /// Asks for the use of the budget. Without limits the reply is dropped.
    pub fn status(&self, reply: oneshot::Sender<MemoryStatus>) {
        if let Some(sender) = &self.sender {
            let _ = sender.unbounded_send(MemoryMessage::Status(reply));
        }
    }

    /// Asks for a connection to be kept; `None` if it must be closed.
    pub async fn open(&self, owner: Owner) -> Option<Rc<Lease>> {
        let Some(sender) = &self.sender else {
            return Some(Rc::default());
        };
        let holder = HolderId(self.next_id());
        let (evict, evicted) = oneshot::channel();
        let (reply, granted) = oneshot::channel();
        let mut lease = Lease::default();
        lease.link = Some(Link {
            evicted: evicted.shared(),
            holder,
            memory: self.clone(),
            sender: sender.clone(),
        });
        let _ = sender.unbounded_send(MemoryMessage::Open {
            claim: ClaimId(self.next_id()),
            evict,
            holder,
            owner,
            reply,
        });
        granted.await.unwrap_or(false).then(|| Rc::new(lease))
    }

    fn next_id(&self) -> u64 {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }
}

/// The connection of a lease to the `memory` task.
#[derive(Debug)]
struct Link {
    evicted: Shared<oneshot::Receiver<()>>,
    holder: HolderId,
    memory: Memory,
    sender: MemorySender,
}

impl Link {
    fn release(&self, bytes: usize) {
        let message = MemoryMessage::Release(self.holder, bytes);
        let _ = self.sender.unbounded_send(message);
    }
}

/// A claim whose decision is awaited. If the wait is given up, bytes that have been granted meanwhile are returned;
/// those that are granted later are returned by the `memory` task, which can't deliver its reply.
struct PendingClaim<'a> {
    bytes: usize,
    granted: oneshot::Receiver<bool>,
    link: &'a Link,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        self.granted.close();
        // A decision that has been received is not there any more.
        if let Ok(Some(true)) = self.granted.try_recv() {
            self.link.release(self.bytes);
        }
    }
}

/// What the requests of a connection do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Serving {
    /// No request is in progress.
    #[default]
    Nothing,
    /// A request runs.
    Running,
    /// An answer is being written.
    Sending,
}

/// The bytes that a connection holds. Dropping it returns all of them.
#[derive(Debug, Default)]
pub struct Lease {
    activity: Cell<Option<Activity>>,
    /// Bytes of messages that have been read and that the requests in progress don't include yet.
    delivered: Cell<usize>,
    granted: Cell<usize>,
    /// Bytes of the requests in progress and of the answers to them.
    held: Cell<usize>,
    /// `None` if nothing is limited.
    link: Option<Link>,
    /// Bytes of the message that is being read.
    reading: Cell<usize>,
    serving: Cell<Serving>,
}

impl Lease {
    /// Asks for the bytes of the message that is being read, in place of those asked for before; false if they are
    /// refused.
    pub async fn read(&self, bytes: usize) -> bool {
        let before = self.reading.replace(bytes);
        if before == 0 || bytes == 0 {
            self.update_activity();
        }
        self.settle(false).await
    }

    /// An answer has been passed on to another connection, which is about to claim it. Nothing else is held.
    pub fn hand_over(&self) {
        self.reading.set(0);
        self.delivered.set(0);
        self.held.set(0);
        self.serving.set(Serving::Nothing);
        self.update_activity();
        let bytes = self.granted.replace(0);
        if let Some(link) = &self.link
            && bytes > 0
        {
            let message = MemoryMessage::HandOver(link.holder, bytes);
            let _ = link.sender.unbounded_send(message);
        }
    }

    /// A message has been read: its bytes are kept, and none are being read.
    pub fn deliver(&self, bytes: usize) {
        self.reading.set(0);
        self.delivered.set(self.delivered.get() + bytes);
    }

    /// A delivered message is about to be a part of the requests in progress, whose bytes [`Self::hold`] states.
    pub fn accept(&self, bytes: usize) {
        self.delivered
            .set(self.delivered.get().saturating_sub(bytes));
    }

    /// Asks for the bytes of requests in progress and their answers, in place of those held before; false if they
    /// are refused.
    pub async fn hold(&self, bytes: usize, serving: Serving) -> bool {
        self.held.set(bytes);
        if self.serving.replace(serving) != serving {
            self.update_activity();
        }
        self.settle(true).await
    }

    /// The other side has taken a part of an answer.
    pub fn progress(&self) {
        if let Some(link) = &self.link {
            let _ = link
                .sender
                .unbounded_send(MemoryMessage::Progress(link.holder));
        }
    }

    /// Completes when the connection must close at once.
    pub async fn evicted(&self) {
        match &self.link {
            Some(link) => drop(link.evicted.clone().await),
            None => std::future::pending().await,
        }
    }

    /// Claims what is missing, or releases what is no longer needed.
    async fn settle(&self, answer: bool) -> bool {
        let Some(link) = &self.link else {
            return true;
        };
        self.release_surplus(link);
        let bytes = self.needed().saturating_sub(self.granted.get());
        if bytes == 0 {
            return true;
        }
        let (reply, granted) = oneshot::channel();
        let _ = link.sender.unbounded_send(MemoryMessage::Claim {
            answer,
            bytes,
            claim: ClaimId(link.memory.next_id()),
            holder: link.holder,
            reply,
        });
        let mut claim = PendingClaim {
            bytes,
            granted,
            link,
        };
        let granted = (&mut claim.granted).await.unwrap_or(false);
        if granted {
            self.granted.set(self.granted.get() + bytes);
            // Another claim of this connection may have been granted meanwhile.
            self.release_surplus(link);
        }
        granted
    }

    /// Bytes that the connection needs, in whole steps.
    fn needed(&self) -> usize {
        let bytes = self.reading.get() + self.delivered.get() + self.held.get();
        bytes.saturating_sub(FREE_BYTES).next_multiple_of(STEP)
    }

    fn release_surplus(&self, link: &Link) {
        let needed = self.needed();
        let surplus = self.granted.get().saturating_sub(needed);
        if surplus > 0 {
            self.granted.set(needed);
            link.release(surplus);
        }
    }

    fn update_activity(&self) {
        let Some(link) = &self.link else {
            return;
        };
        let activity = match self.serving.get() {
            Serving::Sending => Activity::Sending,
            Serving::Running => Activity::Running,
            Serving::Nothing if self.reading.get() > 0 => Activity::Receiving,
            Serving::Nothing => Activity::Idle,
        };
        if self.activity.replace(Some(activity)) != Some(activity) {
            let message = MemoryMessage::Active(link.holder, activity);
            let _ = link.sender.unbounded_send(message);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(link) = &self.link {
            let _ = link
                .sender
                .unbounded_send(MemoryMessage::Closed(link.holder));
        }
    }
}
