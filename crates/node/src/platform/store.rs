//! The task that calls the platform's store, on one connection.
//!
//! Invariants:
//! - at most one call is in flight;
//! - an incomplete response is discarded as a whole, and contents are of one era of the store;
//! - a connection is closed after an error or a timeout, and the next call opens another;
//! - an idle connection that ends is dropped at once, and a check without an answer on a kept connection is
//!   repeated on a new one: neither shows that the store can't be reached.

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::catalog::Revision;
use hawthornwall_platform::{
    ALL_KEYS, DecodeFault, Event, Item, NO_KEYS, RangePage, decode_range, decode_watch, range_path,
    watch_path,
};

use super::ReadFault;
use super::connection::{Connection, Response};
use crate::telemetry::log;

/// Time allowed for the response to a watch beyond its requested wait. A slow store still answers within it.
const WATCH_MARGIN: Duration = Duration::from_millis(1_200);
/// Time allowed for one page of the contents, which takes up to a megabyte.
const PAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time allowed for a check. A target that has left may still get work during it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time allowed for a check on a kept connection, which may have gone silent while it was idle. A store that
/// is slower answers on a new connection within [`CHECK_TIMEOUT`].
const KEPT_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time allowed for opening a connection. A lost SYN is retransmitted only after a second, so that a new
/// attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most further pages that one load reads. It ends the load of a store that always reports more.
const PAGE_LIMIT: usize = 100;
/// Most times that a load starts again because the store has begun another era meanwhile. Two returns from an
/// older copy within one load are not expected.
const LOAD_ATTEMPTS: usize = 3;
/// Longest response body, in bytes. The store limits a page to about 1 MB, but one value alone takes 1.4 MB in
/// base64, and a watch returns all changes at once.
const RESPONSE_LIMIT: usize = 8 << 20;

/// A call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Test with the cheapest possible read whether the store answers.
    Check,
    /// Read all contents.
    Load {
        /// Whether the contents may be seconds old.
        stale: bool,
    },
    /// Watch for changes after a revision.
    Watch {
        /// The last revision held here.
        after: u64,
        /// Longest time that the store holds the call open until there is a change.
        wait: Duration,
    },
}

/// What a successful call returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// Changes after the revision of the call.
    Changes {
        /// The changes in order.
        events: Vec<Event>,
        /// The revision after which the next watch continues.
        revision: Revision,
    },
    /// All contents of the store.
    Contents {
        /// All items.
        items: Vec<Item>,
        /// The revision after which changes must be watched.
        revision: Revision,
        /// Whether the contents may be seconds old.
        stale: bool,
    },
    /// The store no longer has the changes after the revision of the call.
    HistoryGone,
    /// The store answered a check.
    Reached,
}

/// The result of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEnd {
    /// Era that the last response to the call stated, also if it was a rejection; `None` without a response.
    pub era: Option<u64>,
    /// What the call returned.
    pub result: Result<StoreRead, ReadFault>,
}

/// Makes the calls received on `calls` in order, until the other side of a channel is dropped.
pub async fn run(
    address: SocketAddr,
    mut calls: mpsc::UnboundedReceiver<StoreCall>,
    ends: mpsc::UnboundedSender<StoreEnd>,
) {
    let mut client = StoreClient {
        address,
        connection: None,
        era: None,
    };
    while let Some(call) = client.next_call(&mut calls).await {
        client.era = None;
        let result = client.call(call).await;
        let era = client.era;
        let end = StoreEnd { era, result };
        if ends.unbounded_send(end).is_err() {
            return;
        }
    }
}

/// What happens first while the task waits for a call.
enum Input {
    Call(Option<StoreCall>),
    ConnectionEnded,
}

struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Era that the last response to the current call stated.
    era: Option<u64>,
}

impl StoreClient {
    /// Returns the next call, or `None` if there are no more. Meanwhile the idle connection is monitored: a call
    /// on a connection that has ended would fail although the store can be reached.
    async fn next_call(
        &mut self,
        calls: &mut mpsc::UnboundedReceiver<StoreCall>,
    ) -> Option<StoreCall> {
        if let Some(connection) = &mut self.connection {
            let input = {
                let ended = connection.idle_end().fuse();
                let next = calls.next().fuse();
                pin_mut!(ended, next);
                select_biased! {
                    () = ended => Input::ConnectionEnded,
                    call = next => Input::Call(call),
                }
            };
            match input {
                Input::Call(call) => return call,
                Input::ConnectionEnded => self.connection = None,
            }
            let store = self.address.to_string();
            log::info!("the idle connection to the store ended", kv: { store });
        }
        calls.next().await
    }

    async fn call(&mut self, call: StoreCall) -> Result<StoreRead, ReadFault> {
        match call {
            StoreCall::Check => self.check().await,
            StoreCall::Load { stale } => self.load(stale).await,
            StoreCall::Watch { after, wait } => self.watch(after, wait).await,
        }
    }

    /// Reads an empty range from any replica of the store, which costs least. Without an answer on a kept
    /// connection, only a new one shows whether the store can be reached.
    async fn check(&mut self) -> Result<StoreRead, ReadFault> {
        let path = range_path(NO_KEYS, None, true);
        if self.connection.is_some() {
            match self.get(&path, KEPT_CHECK_TIMEOUT).await {
                Ok(response) => return reached(&response),
                Err(fault) => {
                    let (store, fault) = (self.address.to_string(), fault.to_string());
                    log::info!("repeating a check of the store on a new connection", kv: { store, fault });
                }
            }
        }
        let answered = monoio::time::timeout(CHECK_TIMEOUT, self.get(&path, CHECK_TIMEOUT)).await;
        reached(&answered.map_err(|_| ReadFault::Silent)??)
    }

    /// Reads all pages, again from the first one if the store begins another era meanwhile.
    async fn load(&mut self, stale: bool) -> Result<StoreRead, ReadFault> {
        for _ in 0..LOAD_ATTEMPTS {
            if let Some((items, revision)) = self.pages(stale).await? {
                return Ok(StoreRead::Contents {
                    items,
                    revision,
                    stale,
                });
            }
        }
        Err(ReadFault::Content("pages are of several eras".to_owned()))
    }

    /// Reads all pages; `None` if they are of several eras. Their revisions may differ; watching from the lowest
    /// of them misses no change.
    async fn pages(&mut self, stale: bool) -> Result<Option<(Vec<Item>, Revision)>, ReadFault> {
        let (era, first) = self.page(None, stale).await?;
        let mut number = first.revision;
        let (mut items, mut more) = (first.items, first.more);
        for _ in 0..PAGE_LIMIT {
            let Some(last) = items.last().filter(|_| more) else {
                break;
            };
            let key = last.key.clone();
            let (page_era, page) = self.page(Some(&key), stale).await?;
            if page_era != era {
                return Ok(None);
            }
            more = page.more && !page.items.is_empty();
            number = number.min(page.revision);
            items.extend(page.items);
        }
        Ok(Some((items, Revision::new(era, number))))
    }

    /// Reads one page, and returns it with its era.
    async fn page(
        &mut self,
        after: Option<&str>,
        stale: bool,
    ) -> Result<(u64, RangePage), ReadFault> {
        let path = range_path(ALL_KEYS, after, stale);
        let response = self.get(&path, PAGE_TIMEOUT).await?;
        expect_ok(&response)?;
        let page = decode_range(&response.body).map_err(content)?;
        Ok((era(&response)?, page))
    }

    /// Watches for changes. The next watch continues from the last change received, not from the store's
    /// revision, as an empty response may have missed changes up to that revision.
    async fn watch(&mut self, after: u64, wait: Duration) -> Result<StoreRead, ReadFault> {
        let path = watch_path(ALL_KEYS, after, wait);
        let response = self.get(&path, wait + WATCH_MARGIN).await?;
        if response.status == 410 {
            return Ok(StoreRead::HistoryGone);
        }
        expect_ok(&response)?;
        let events = decode_watch(&response.body).map_err(content)?.events;
        let last = events.iter().map(Event::revision).max();
        let revision = Revision::new(era(&response)?, last.unwrap_or(after).max(after));
        Ok(StoreRead::Changes { events, revision })
    }

    async fn get(&mut self, path: &str, limit: Duration) -> Result<Response, ReadFault> {
        let mut connection = match self.connection.take() {
            Some(open) => open,
            None => self.connect().await?,
        };
        let exchange = connection.get(path, self.address);
        let response = monoio::time::timeout(limit, exchange).await;
        let response = response.map_err(|_| connection.timeout_fault())??;
        self.era = response.era.or(self.era);
        if response.reusable {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    async fn connect(&self) -> Result<Connection, ReadFault> {
        let opened = monoio::time::timeout(
            CONNECT_TIMEOUT,
            Connection::open(self.address, RESPONSE_LIMIT),
        )
        .await;
        opened.map_err(|_| ReadFault::Silent)?
    }
}

fn era(response: &Response) -> Result<u64, ReadFault> {
    let malformed = || ReadFault::Content("the era isn't a number".to_owned());
    response.era.ok_or_else(malformed)
}

fn reached(response: &Response) -> Result<StoreRead, ReadFault> {
    expect_ok(response)?;
    Ok(StoreRead::Reached)
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
