//! Tasks of the store: one that owns the contents and one for each connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use http::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use super::contents::{Change, Contents, Item};
use crate::http1::{Coding, Connection, answer, listen};

/// Maximum number of items in the answer to a range request.
const PAGE_SIZE: usize = 50;
/// Interval of the checks for expired watches and for the renewal of the stale copy.
const TICK: Duration = Duration::from_millis(10);
/// Age at which the copy that answers stale reads is renewed.
const STALE_AGE: Duration = Duration::from_secs(1);

/// Header that states how often the store has returned from an older copy.
const ERA_HEADER: &str = "store-era";

/// Fault in the store's answers to a reader.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Calls are answered with status 503.
    Busy,
    /// Watches receive no events and end with an empty answer.
    NoEvents,
    /// Calls are answered with status 429.
    Limited,
    /// Calls are answered correctly.
    #[default]
    None,
    /// Connections are closed without an answer.
    Reset,
    /// Calls get no answer, and their connections stay open.
    Silent,
    /// Answers are delayed by this time.
    Slow(Duration),
}

/// A request of a reader that hasn't been answered.
#[derive(Debug)]
struct Call {
    arrived: Instant,
    reader: usize,
    reply: oneshot::Sender<Option<Response<Bytes>>>,
    request: Request<Bytes>,
}

#[derive(Debug)]
enum Message {
    Call(Box<Call>),
    Compact,
    Delete(String),
    Fault(Option<usize>, Fault),
    KeepCopy,
    Put(String, Vec<u8>),
    ReturnToCopy,
}

/// Changes the contents and faults of a running store.
#[derive(Clone, Debug)]
pub struct StoreHandle(mpsc::UnboundedSender<Message>);

impl StoreHandle {
    /// Writes a value as JSON text.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes a value that needn't be JSON.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        let _ = self.0.unbounded_send(Message::Put(key.to_owned(), value));
    }

    /// Deletes a key; watches receive the deletion as an event.
    pub fn delete(&self, key: &str) {
        let _ = self.0.unbounded_send(Message::Delete(key.to_owned()));
    }

    /// Clears the history and closes the connections of all watches.
    pub fn compact(&self) {
        let _ = self.0.unbounded_send(Message::Compact);
    }

    /// Keeps a copy of the contents for [`StoreHandle::return_to_copy`].
    pub fn keep_copy(&self) {
        let _ = self.0.unbounded_send(Message::KeepCopy);
    }

    /// Returns to the copy last kept, with the next era, and closes the connections of all watches.
    pub fn return_to_copy(&self) {
        let _ = self.0.unbounded_send(Message::ReturnToCopy);
    }

    /// Sets the fault for one reader, or for all if `reader` is `None`. A fault for all takes
    /// precedence until it is [`Fault::None`].
    pub fn fail(&self, reader: Option<usize>, fault: Fault) {
        let _ = self.0.unbounded_send(Message::Fault(reader, fault));
    }
}

struct Store {
    contents: Contents,
    /// The contents that the store returns to.
    copy: Contents,
    faults: BTreeMap<usize, Fault>,
    receiver: mpsc::UnboundedReceiver<Message>,
    shared_fault: Fault,
    /// Copy of the contents that answers stale reads.
    stale: Contents,
    /// Time at which `stale` was copied.
    stale_at: Instant,
    watches: Vec<Call>,
}

/// Starts the store with one address for each reader. It must be called inside the runtime.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn serve(addresses: &[SocketAddr]) -> std::io::Result<StoreHandle> {
    let (sender, receiver) = mpsc::unbounded();
    for (reader, address) in addresses.iter().enumerate() {
        let calls = sender.clone();
        listen(*address, move |connection| {
            serve_connection(connection, reader, calls.clone())
        })?;
    }
    let store = Store {
        contents: Contents::default(),
        copy: Contents::default(),
        faults: BTreeMap::new(),
        receiver,
        shared_fault: Fault::None,
        stale: Contents::default(),
        stale_at: Instant::now(),
        watches: Vec::new(),
    };
    monoio::spawn(store.run());
    Ok(StoreHandle(sender))
}

async fn serve_connection(
    mut connection: Connection,
    reader: usize,
    calls: mpsc::UnboundedSender<Message>,
) {
    while let Ok(Some(request)) = connection.read_request().await {
        let (reply, receiver) = oneshot::channel();
        let call = Call {
            arrived: Instant::now(),
            reader,
            reply,
            request,
        };
        let _ = calls.unbounded_send(Message::Call(Box::new(call)));
        let Ok(Some(response)) = receiver.await else {
            return;
        };
        if connection.reply(&response, Coding::Fixed).await.is_err() {
            return;
        }
    }
}

impl Store {
    async fn run(mut self) {
        loop {
            let tick = monoio::time::sleep(TICK).fuse();
            futures::pin_mut!(tick);
            let message = select_biased! {
                message = self.receiver.next() => message,
                () = tick => {
                    self.tick();
                    continue;
                }
            };
            match message {
                Some(Message::Call(call)) => self.call(*call),
                Some(Message::Compact) => {
                    self.contents.compact();
                    self.watches.clear();
                }
                Some(Message::Delete(key)) => {
                    self.contents.delete(&key);
                    self.answer_watches();
                }
                Some(Message::Fault(reader, fault)) => self.set_fault(reader, fault),
                Some(Message::KeepCopy) => self.copy = self.contents.clone(),
                Some(Message::ReturnToCopy) => {
                    self.contents.return_to(&self.copy);
                    self.stale = self.contents.clone();
                    self.watches.clear();
                }
                Some(Message::Put(key, value)) => {
                    self.contents.put(&key, value);
                    self.answer_watches();
                }
                None => return,
            }
        }
    }

    fn set_fault(&mut self, reader: Option<usize>, fault: Fault) {
        match reader {
            Some(reader) => {
                self.faults.insert(reader, fault);
            }
            None => self.shared_fault = fault,
        }
        // `Fault::Reset` also closes the connections of open watches.
        let watches = std::mem::take(&mut self.watches);
        let must_close = |call: &Call| self.fault_of(call.reader) == Fault::Reset;
        self.watches = watches
            .into_iter()
            .filter(|call| !must_close(call))
            .collect();
    }

    fn fault_of(&self, reader: usize) -> Fault {
        let own = self.faults.get(&reader).copied().unwrap_or_default();
        if self.shared_fault == Fault::None {
            own
        } else {
            self.shared_fault
        }
    }

    fn tick(&mut self) {
        if self.stale_at.elapsed() >= STALE_AGE {
            self.stale = self.contents.clone();
            self.stale_at = Instant::now();
        }
        self.answer_watches();
    }

    fn call(&mut self, call: Call) {
        match self.fault_of(call.reader) {
            Fault::Busy => self.respond(call, answer(StatusCode::SERVICE_UNAVAILABLE, "")),
            Fault::Limited => self.respond(call, answer(StatusCode::TOO_MANY_REQUESTS, "")),
            Fault::Reset => drop(call),
            // Dropping the sender would close the reader's connection.
            Fault::Silent => std::mem::forget(call.reply),
            Fault::NoEvents | Fault::None | Fault::Slow(_) => {
                match read(&self.contents, &self.stale, &call.request) {
                    Some(response) => self.respond(call, response),
                    None => self.watches.push(call),
                }
                self.answer_watches();
            }
        }
    }

    /// Answers a call, after the delay of [`Fault::Slow`] if it is set for the reader.
    fn respond(&self, call: Call, mut response: Response<Bytes>) {
        // Before its first return the store answers as one that knows no eras.
        if self.contents.era > 0 {
            let headers = response.headers_mut();
            headers.insert(ERA_HEADER, self.contents.era.into());
        }
        let delay = match self.fault_of(call.reader) {
            Fault::Slow(delay) => delay,
            Fault::Busy
            | Fault::NoEvents
            | Fault::Limited
            | Fault::None
            | Fault::Reset
            | Fault::Silent => return respond(call, response),
        };
        monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            respond(call, response);
        });
    }

    fn answer_watches(&mut self) {
        for call in std::mem::take(&mut self.watches) {
            let suppressed = self.fault_of(call.reader) == Fault::NoEvents;
            let over = call.arrived.elapsed() >= watch_timeout(&call.request);
            match watch(&self.contents, &call.request) {
                Some(response) if !suppressed => self.respond(call, response),
                Some(_) | None if over => {
                    let empty = json!({ "events": [], "storeRevision": self.contents.revision() });
                    self.respond(call, ok(&empty));
                }
                Some(_) | None => self.watches.push(call),
            }
        }
    }
}

fn respond(call: Call, response: Response<Bytes>) {
    let _ = call.reply.send(Some(response));
}

fn ok(body: &Value) -> Response<Bytes> {
    answer(StatusCode::OK, body.to_string())
}

/// Returns the answer to a range or key request; `None` for a watch.
fn read(
    contents: &Contents,
    stale: &Contents,
    request: &Request<Bytes>,
) -> Option<Response<Bytes>> {
    let shown = if parameter(request, "allowStale") == "1" {
        stale
    } else {
        contents
    };
    match request.uri().path() {
        "/api/kv-range" => Some(ok(&page(shown, request))),
        "/api/kv-watch" => None,
        "/api/kv-key" => {
            let key = parameter(request, "key");
            let item = shown.get(&key).map(|item| ok(&item_json(&key, item)));
            Some(item.unwrap_or_else(|| answer(StatusCode::NOT_FOUND, "")))
        }
        _ => Some(answer(StatusCode::NOT_FOUND, "")),
    }
}

fn page(contents: &Contents, request: &Request<Bytes>) -> Value {
    let (prefix, after) = (parameter(request, "prefix"), parameter(request, "after"));
    let all: Vec<_> = contents
        .range(&prefix, &after)
        .take(PAGE_SIZE + 1)
        .collect();
    let shown = all.iter().take(PAGE_SIZE);
    let items: Vec<_> = shown.map(|(key, item)| item_json(key, item)).collect();
    json!({
        "items": items,
        "hasMore": all.len() > PAGE_SIZE,
        "storeRevision": contents.revision(),
    })
}

/// Returns the answer to a watch; `None` if there is no new event.
fn watch(contents: &Contents, request: &Request<Bytes>) -> Option<Response<Bytes>> {
    let after = parameter(request, "after").parse().unwrap_or(0);
    let Ok(changes) = contents.changes(&parameter(request, "prefix"), after) else {
        return Some(answer(StatusCode::GONE, ""));
    };
    let event = |change: &Change| match &change.item {
        Some(item) => item_json(&change.key, item),
        None => json!({ "key": change.key, "revision": change.at, "deleted": true }),
    };
    let events: Vec<_> = changes.into_iter().map(event).collect();
    (!events.is_empty())
        .then(|| ok(&json!({ "events": events, "storeRevision": contents.revision() })))
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": 0,
    })
}

fn watch_timeout(request: &Request<Bytes>) -> Duration {
    Duration::from_millis(parameter(request, "waitMs").parse().unwrap_or(0))
}

fn parameter(request: &Request<Bytes>, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    let value = values.next().map_or("", |(_, value)| value);
    percent_decode_str(value).decode_utf8_lossy().into_owned()
}
