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
use hawthornwall_core::catalog::Call;
use hawthornwall_platform::{
    DecodeFault, EVERYTHING, Event, Item, RangePage, decode_range, decode_watch, range_path,
    watch_path,
};

use super::ReadFault;
use super::connection::{Connection, Response};

/// How long the store may hold a watch open. Each watch is a priced call, and a connection that
/// goes silent is found by keep-alive probes, so the longest wait that the store takes is best.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Time beyond the wait that a response may take. A slow store still answers within it.
const RESPONSE_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest time for a connection to open. The opening packet is sent again only after a second, so
/// that a new attempt is faster.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Pages of one load, so that a store that always promises more doesn't hold the task.
const PAGE_LIMIT: usize = 100;

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
    },
    /// The changes since the revision named are no longer known.
    HistoryGone,
}

/// The end of a call.
pub type StoreEnd = Result<StoreRead, ReadFault>;

/// Makes each call asked for, until the asking task ends.
pub async fn run(
    address: SocketAddr,
    mut calls: mpsc::UnboundedReceiver<Call>,
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
    async fn call(&mut self, call: Call) -> StoreEnd {
        match call {
            Call::Load => self.load().await,
            Call::Watch { after } => self.watch(after).await,
        }
    }

    /// Reads all pages. The first page's revision is the oldest that any page can show, so watching
    /// from it misses no change.
    async fn load(&mut self) -> StoreEnd {
        let first = self.page(None).await?;
        let revision = first.revision;
        let (mut items, mut more) = (first.items, first.more);
        for _ in 0..PAGE_LIMIT {
            let Some(last) = items.last().filter(|_| more) else {
                break;
            };
            let key = last.key.clone();
            let page = self.page(Some(&key)).await?;
            more = page.more && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok(StoreRead::Contents { items, revision })
    }

    async fn page(&mut self, after: Option<&str>) -> Result<RangePage, ReadFault> {
        let path = range_path(EVERYTHING, after, false);
        let response = self.get(&path, RESPONSE_LIMIT).await?;
        expect_ok(&response)?;
        decode_range(&response.body).map_err(content)
    }

    async fn watch(&mut self, after: u64) -> StoreEnd {
        let path = watch_path(EVERYTHING, after, WATCH_WAIT);
        let response = self.get(&path, WATCH_WAIT + RESPONSE_LIMIT).await?;
        if response.status == 410 {
            return Ok(StoreRead::HistoryGone);
        }
        expect_ok(&response)?;
        let page = decode_watch(&response.body).map_err(content)?;
        Ok(StoreRead::Changes {
            events: page.events,
            revision: page.revision.max(after),
        })
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
