//! Reads of the platform's store, on one connection.
//!
//! Invariants:
//! - no more than one call is in flight;
//! - a response is accepted whole or not at all;
//! - a connection on which anything went wrong or silent is closed, and the next call opens another.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_platform::{
    ALL_KEYS, DecodeFault, Event, Item, NO_KEYS, RangePage, decode_range, decode_watch, range_path,
    watch_path,
};

use super::ReadFault;
use super::connection::{Connection, Response};

/// Time beyond the wait that the response to a watch may take. A slow store still answers within it.
const WATCH_LIMIT: Duration = Duration::from_millis(1_200);
/// Time that a page of the contents may take. It holds up to a megabyte.
const PAGE_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for a check. A target that has left may get work meanwhile.
const CHECK_LIMIT: Duration = Duration::from_millis(600);
/// Longest time for a connection to open. The opening packet is sent again only after a second, so
/// that a new attempt is faster.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Pages of one load, so that a store that always promises more doesn't hold the task.
const PAGE_LIMIT: usize = 100;

/// A call of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Find out whether the store answers.
    Check,
    /// Read everything.
    Load {
        /// Whether the contents may be seconds old.
        stale: bool,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
}

/// What a call found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// Changes since the revision named.
    Changes {
        /// The changes in order.
        events: Vec<Event>,
        /// The revision to continue from.
        revision: u64,
    },
    /// Everything stored.
    Contents {
        /// All items.
        items: Vec<Item>,
        /// The revision from which changes are to be watched.
        revision: u64,
        /// Whether the contents may be seconds old.
        stale: bool,
    },
    /// The changes since the revision named are no longer known.
    HistoryGone,
    /// The store answers.
    Reached,
}

/// The end of a call.
pub type StoreEnd = Result<StoreRead, ReadFault>;

/// Makes each call asked for, until the asking task ends.
pub async fn run(
    address: SocketAddr,
    mut calls: mpsc::UnboundedReceiver<StoreCall>,
    ends: mpsc::UnboundedSender<StoreEnd>,
) {
    let mut client = StoreClient {
        address,
        connection: None,
    };
    while let Some(call) = calls.next().await {
        let end = client.call(call).await;
        if ends.unbounded_send(end).is_err() {
            return;
        }
    }
}

struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    async fn call(&mut self, call: StoreCall) -> StoreEnd {
        match call {
            StoreCall::Check => self.check().await,
            StoreCall::Load { stale } => self.load(stale).await,
            StoreCall::Watch { after, wait } => self.watch(after, wait).await,
        }
    }

    /// Reads nothing, and that from any replica of the store, which costs least.
    async fn check(&mut self) -> StoreEnd {
        let path = range_path(NO_KEYS, None, true);
        let answered = monoio::time::timeout(CHECK_LIMIT, self.get(&path, CHECK_LIMIT)).await;
        expect_ok(&answered.map_err(|_| ReadFault::Silent)??)?;
        Ok(StoreRead::Reached)
    }

    /// Reads all pages. The lowest revision of a page is the oldest that any of them can show, so watching
    /// from it misses no change.
    async fn load(&mut self, stale: bool) -> StoreEnd {
        let first = self.page(None, stale).await?;
        let mut revision = first.revision;
        let (mut items, mut more) = (first.items, first.more);
        for _ in 0..PAGE_LIMIT {
            let Some(last) = items.last().filter(|_| more) else {
                break;
            };
            let key = last.key.clone();
            let page = self.page(Some(&key), stale).await?;
            more = page.more && !page.items.is_empty();
            revision = revision.min(page.revision);
            items.extend(page.items);
        }
        Ok(StoreRead::Contents {
            items,
            revision,
            stale,
        })
    }

    async fn page(&mut self, after: Option<&str>, stale: bool) -> Result<RangePage, ReadFault> {
        let path = range_path(ALL_KEYS, after, stale);
        let response = self.get(&path, PAGE_TIME).await?;
        expect_ok(&response)?;
        decode_range(&response.body).map_err(content)
    }

    /// Waits for changes. The next watch goes on from the last change seen, not from the store's revision:
    /// a watch that heard nothing of a change must not skip it.
    async fn watch(&mut self, after: u64, wait: Duration) -> StoreEnd {
        let path = watch_path(ALL_KEYS, after, wait);
        let response = self.get(&path, wait + WATCH_LIMIT).await?;
        if response.status == 410 {
            return Ok(StoreRead::HistoryGone);
        }
        expect_ok(&response)?;
        let events = decode_watch(&response.body).map_err(content)?.events;
        let last = events.iter().map(Event::revision).max();
        let revision = last.unwrap_or(after).max(after);
        Ok(StoreRead::Changes { events, revision })
    }

    async fn get(&mut self, path: &str, limit: Duration) -> Result<Response, ReadFault> {
        let mut connection = match self.connection.take() {
            Some(open) => open,
            None => self.connect().await?,
        };
        let exchange = connection.get(path, self.address);
        let response = monoio::time::timeout(limit, exchange).await;
        let response = response.map_err(|_| ReadFault::Silent)??;
        if response.keep {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    async fn connect(&self) -> Result<Connection, ReadFault> {
        let opened = monoio::time::timeout(CONNECT_LIMIT, Connection::open(self.address)).await;
        opened.map_err(|_| ReadFault::Silent)?
    }
}

fn expect_ok(response: &Response) -> Result<(), ReadFault> {
    match response.status {
        200 => Ok(()),
        status => Err(ReadFault::Status(status)),
    }
}

fn content(fault: DecodeFault) -> ReadFault {
    ReadFault::Content(fault.0)
}
