//! Tasks of the fake platform: one that owns the values and one for each connection.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, StreamExt, select_biased};
use hawthornwall_core::config::Document;
use hawthornwall_wire::instances::InstanceList;
use http::{Method, Request, Response, StatusCode};

use super::model::{Endpoint, Fault, Stats};
use super::publication::{Publication, Value};
use crate::history::{Event, Writer};
use crate::http1::{Coding, Connection, answer, listen, query_number};
use crate::timer::Timer;

/// Command line options of `platform-fake`.
pub const OPTIONS: [&str; 2] = ["listen", "history"];

/// Result of a read or watch.
#[derive(Debug)]
enum Read {
    Closed,
    Unchanged,
    Value(Value),
}

#[derive(Debug)]
struct Watch {
    deadline: Instant,
    endpoint: Endpoint,
    reply: oneshot::Sender<Read>,
    since: u64,
}

#[derive(Debug)]
struct Publish {
    body: Bytes,
    endpoint: Endpoint,
    reply: oneshot::Sender<Result<u64, String>>,
    /// Publish the body without validation, to test how readers handle an invalid value.
    unchecked: bool,
}

#[derive(Debug)]
enum Message {
    Fault(Fault),
    Publish(Publish),
    Read(Watch),
    Stats(oneshot::Sender<Stats>),
}

#[derive(Debug)]
struct Platform {
    config: Publication,
    fault: Fault,
    history: Writer,
    instances: Publication,
    stats: Stats,
    watches: Vec<Watch>,
}

/// Starts the platform and returns the address that it listens on. It must be called inside the
/// runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the history can't be opened.
pub fn serve(listen_on: SocketAddr, history: Option<&Path>) -> std::io::Result<SocketAddr> {
    let (sender, receiver) = mpsc::unbounded();
    let platform = Platform {
        config: Publication::default(),
        fault: Fault::default(),
        history: Writer::open(history, "platform")?,
        instances: Publication::default(),
        stats: Stats::default(),
        watches: Vec::new(),
    };
    monoio::spawn(run_platform(platform, receiver, Timer::start()?));
    listen(listen_on, move |connection| {
        serve_connection(connection, sender.clone())
    })
}

async fn run_platform(
    mut platform: Platform,
    mut receiver: mpsc::UnboundedReceiver<Message>,
    timer: Timer,
) {
    loop {
        let next = platform.next_event();
        let wake = async {
            match next {
                Some(time) => timer.sleep_until(time).await,
                None => futures::future::pending().await,
            }
        };
        let message = select_biased! {
            message = receiver.next() => message,
            () = wake.fuse() => { platform.answer_watches(Timer::due()); continue },
        };
        let Some(message) = message else { return };
        platform.take(message, Instant::now());
    }
}

impl Platform {
    fn take(&mut self, message: Message, now: Instant) {
        match message {
            Message::Fault(fault) => {
                self.fault = fault;
                self.config.set_stale(fault.stale, now);
                self.instances.set_stale(fault.stale, now);
            }
            Message::Publish(publish) => {
                let checked = match (publish.unchecked, publish.endpoint) {
                    (true, _) => Ok(publish.body),
                    (false, Endpoint::Config) => self.check_document(publish.body),
                    (false, Endpoint::Instances) => self.set_list_revision(&publish.body),
                };
                let result = checked.map(|body| self.publish(publish.endpoint, body, now));
                let _ = publish.reply.send(result);
            }
            Message::Read(watch) => {
                self.stats.total += 1;
                match watch.endpoint {
                    Endpoint::Config => self.stats.config += 1,
                    Endpoint::Instances => self.stats.instances += 1,
                }
                self.watches.push(watch);
            }
            Message::Stats(reply) => {
                let waiting = self
                    .watches
                    .iter()
                    .filter(|w| !w.reply.is_canceled())
                    .count() as u64;
                let _ = reply.send(Stats {
                    waiting,
                    ..self.stats
                });
            }
        }
        self.answer_watches(now);
    }

    fn check_document(&mut self, body: Bytes) -> Result<Bytes, String> {
        let document: Document = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        let version = document.replay().configuration.version.0;
        self.history.append(Event::Published { version });
        Ok(body)
    }

    fn set_list_revision(&self, body: &Bytes) -> Result<Bytes, String> {
        let mut list: InstanceList = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        list.revision = self.instances.next_revision();
        let body = serde_json::to_vec(&list).map_err(|e| e.to_string())?;
        Ok(body.into())
    }

    fn publish(&mut self, endpoint: Endpoint, body: Bytes, now: Instant) -> u64 {
        let (publication, visible) = match endpoint {
            Endpoint::Config => (&mut self.config, now),
            Endpoint::Instances => {
                let lag = Duration::from_millis(self.fault.lag_ms);
                (&mut self.instances, now + lag)
            }
        };
        let revision = publication.next_revision();
        publication.publish(body, visible);
        revision
    }

    fn answer_watches(&mut self, now: Instant) {
        // Needed even without a watch: otherwise `next_event` stays in the past and the loop spins.
        self.config.advance(now);
        self.instances.advance(now);
        for watch in std::mem::take(&mut self.watches) {
            let publication = match watch.endpoint {
                Endpoint::Config => &mut self.config,
                Endpoint::Instances => &mut self.instances,
            };
            let read = match publication.read(watch.since, now) {
                _ if self.fault.down => Read::Closed,
                Some(value) => Read::Value(value.clone()),
                None if watch.deadline <= now => Read::Unchanged,
                None if watch.reply.is_canceled() => continue,
                None => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let _ = watch.reply.send(read);
        }
    }

    fn next_event(&self) -> Option<Instant> {
        let deadlines = self.watches.iter().map(|w| w.deadline);
        let changes = [self.config.next_change(), self.instances.next_change()];
        deadlines.chain(changes.into_iter().flatten()).min()
    }
}

async fn serve_connection(mut connection: Connection, platform: mpsc::UnboundedSender<Message>) {
    while let Ok(Some(request)) = connection.read_request().await {
        let reply = handle(&request, &platform);
        let answer = {
            let closed = connection.closed();
            futures::pin_mut!(closed);
            select_biased! {
                answer = reply.fuse() => answer,
                () = closed.fuse() => None,
            }
        };
        let Some(answer) = answer else { return };
        if connection.reply(&answer, Coding::Fixed).await.is_err() {
            return;
        }
    }
}

/// Returns the answer to one request; `None` if the connection must be closed without an answer.
async fn handle(
    request: &Request<Bytes>,
    platform: &mpsc::UnboundedSender<Message>,
) -> Option<Response<Bytes>> {
    let body = request.body();
    let bad = |e: String| Some(answer(StatusCode::BAD_REQUEST, e));
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/config") => read(request, Endpoint::Config, platform).await,
        (&Method::GET, "/instances") => read(request, Endpoint::Instances, platform).await,
        (&Method::PUT, "/config") => publish(request, Endpoint::Config, platform).await,
        (&Method::PUT, "/instances") => publish(request, Endpoint::Instances, platform).await,
        (&Method::POST, "/fault") => match serde_json::from_slice(body) {
            Ok(fault) => {
                platform.unbounded_send(Message::Fault(fault)).ok()?;
                Some(answer(StatusCode::OK, ""))
            }
            Err(e) => bad(e.to_string()),
        },
        (&Method::GET, "/stats") => {
            let (reply, stats) = oneshot::channel();
            platform.unbounded_send(Message::Stats(reply)).ok()?;
            let text = serde_json::to_vec(&stats.await.ok()?).ok()?;
            Some(answer(StatusCode::OK, text))
        }
        _ => Some(answer(StatusCode::NOT_FOUND, "")),
    }
}

async fn read(
    request: &Request<Bytes>,
    endpoint: Endpoint,
    platform: &mpsc::UnboundedSender<Message>,
) -> Option<Response<Bytes>> {
    let (reply, read) = oneshot::channel();
    let wait = Duration::from_millis(query_number(request, "wait"));
    let watch = Watch {
        deadline: Instant::now() + wait,
        endpoint,
        reply,
        since: query_number(request, "since"),
    };
    platform.unbounded_send(Message::Read(watch)).ok()?;
    match read.await.ok()? {
        Read::Closed => None,
        Read::Unchanged => Some(answer(StatusCode::NOT_MODIFIED, "")),
        Read::Value(value) => {
            let mut answer = answer(StatusCode::OK, value.body);
            answer
                .headers_mut()
                .insert("revision", value.revision.into());
            Some(answer)
        }
    }
}

async fn publish(
    request: &Request<Bytes>,
    endpoint: Endpoint,
    platform: &mpsc::UnboundedSender<Message>,
) -> Option<Response<Bytes>> {
    let (reply, published) = oneshot::channel();
    let publish = Publish {
        body: request.body().clone(),
        endpoint,
        reply,
        unchecked: query_number(request, "unchecked") == 1,
    };
    platform.unbounded_send(Message::Publish(publish)).ok()?;
    match published.await.ok()? {
        Ok(revision) => Some(answer(
            StatusCode::OK,
            format!(r#"{{"revision":{revision}}}"#),
        )),
        Err(e) => Some(answer(StatusCode::BAD_REQUEST, e)),
    }
}
