//! Callers: tasks that each own their connections and retry requests that have an idempotency key
//! and an unknown outcome.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::join_all;

use super::exchange::{ExchangeResult, PendingExchange, RequestSpec, connect, header, issue_key};
use hawthornwall_testkit::history::{Event, Writer};
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::random::Random;
use hawthornwall_testkit::{run, wall_micros};

/// Requests after which an operation is no longer retried.
const MAX_REQUESTS: usize = 5;
/// Size of the range of request numbers that belongs to one caller.
const NUMBERS_PER_CALLER: u64 = 1_000_000;

/// Load of the callers on a deployment.
#[derive(Clone, Debug)]
pub struct CallersOptions {
    /// Number of callers.
    pub count: usize,
    /// Party in the history and caller address of each daemon.
    pub daemons: Vec<(String, SocketAddr)>,
    /// Mean pause of a caller between two operations, drawn from an exponential distribution.
    pub interval: Duration,
    /// File to which the callers' records are appended.
    pub history: PathBuf,
    /// Whether callers abandon some requests before the answer arrives.
    pub abandon_requests: bool,
    /// Seed of the pauses, requests and choices of daemons.
    pub seed: u64,
    /// Service of each target: a service with several targets occurs several times and receives
    /// proportionally more requests.
    pub services: Vec<String>,
    /// Set to end the load.
    pub stop: Arc<AtomicBool>,
}

/// Result of one operation: a request and its retries.
#[derive(Clone, Debug, Default)]
pub struct Operation {
    /// Whether a target answered one of its requests.
    pub answered: bool,
    /// Whether the caller abandoned it before the answer arrived.
    pub abandoned: bool,
    /// Time at which the key request ended, in microseconds since the Unix epoch; `None` if the
    /// operation uses no key.
    pub key: Option<u64>,
    /// Outcome of each request: `Hawthornwall-Outcome` with the status or the reason, `broken`,
    /// `silent`, `no-key` or `no-connection`.
    pub outcomes: Vec<String>,
    /// Start time, in microseconds since the Unix epoch.
    pub started: u64,
}

struct Caller {
    connections: BTreeMap<usize, Connection>,
    id: u64,
    last_number: u64,
    options: Rc<CallersOptions>,
    random: Random,
    records: Writer,
}

/// Runs the callers until `options.stop` is set and returns all operations. Blocks the thread: the
/// callers run on a runtime of their own.
///
/// # Errors
///
/// The history can't be opened, or the runtime can't be started.
pub fn run_callers(options: CallersOptions) -> io::Result<Vec<Operation>> {
    let options = Rc::new(options);
    let callers = (0..options.count as u64).map(|id| Caller::new(id, &options));
    let callers: Vec<_> = callers.collect::<io::Result<_>>()?;
    let operations = run(async {
        let tasks = callers.into_iter().map(|c| monoio::spawn(c.run()));
        join_all(tasks).await
    })?;
    Ok(operations.concat())
}

impl Caller {
    fn new(id: u64, options: &Rc<CallersOptions>) -> io::Result<Self> {
        Ok(Self {
            connections: BTreeMap::new(),
            id,
            last_number: 0,
            options: Rc::clone(options),
            random: Random::new(options.seed * 1_000 + id),
            records: Writer::open(Some(&options.history), &format!("caller-{id}"))?,
        })
    }

    async fn run(mut self) -> Vec<Operation> {
        let mut operations = Vec::new();
        loop {
            let interval = self.random.exponential(self.options.interval);
            monoio::time::sleep(interval).await;
            if self.options.stop.load(Ordering::Relaxed) {
                return operations;
            }
            operations.push(self.run_operation().await);
        }
    }

    async fn run_operation(&mut self) -> Operation {
        let mut result = Operation {
            started: wall_micros(),
            ..Operation::default()
        };
        let service = self.random.below(self.options.services.len());
        let (method, keyed) = match self.random.below(100) {
            0..50 => ("GET", false),
            50..70 => ("POST", false),
            _ => ("POST", true),
        };
        let mut spec = RequestSpec {
            deadline: self.random.chance(20).then_some(500),
            key: None,
            method,
            operation: self.id * NUMBERS_PER_CALLER + self.last_number + 1,
            service: self.options.services[service].clone(),
            size: 200 + self.random.below(4_000),
        };
        if keyed {
            spec.key = self.key(&spec.service).await;
            result.key = Some(wall_micros());
            if spec.key.is_none() {
                result.outcomes.push("no-key".to_owned());
                return result;
            }
        }
        if self.options.abandon_requests && self.random.chance(20) {
            self.abandon(&spec).await;
            result.abandoned = true;
        } else {
            self.call(&spec, &mut result).await;
        }
        result
    }

    /// Sends the request. With a key, retries it while the outcome is unknown, sometimes with two
    /// concurrent requests.
    async fn call(&mut self, spec: &RequestSpec, result: &mut Operation) {
        let mut numbers = Vec::new();
        while numbers.len() < MAX_REQUESTS {
            let duplicate = spec.key.is_some() && self.random.chance(25);
            let mut pending = Vec::new();
            for _ in 0..=usize::from(duplicate) {
                pending.extend(self.prepare(spec, &mut numbers).await);
            }
            if pending.is_empty() {
                result.outcomes.push("no-connection".to_owned());
                return;
            }
            let finished = join_all(pending.into_iter().map(PendingExchange::finish)).await;
            let mut open = true;
            for one in finished {
                let outcome = self.finish(spec, one, &numbers);
                result.answered |= outcome.starts_with("answered");
                open &= !outcome.starts_with("answered") && !outcome.starts_with("refused");
                result.outcomes.push(outcome);
            }
            if !open || spec.key.is_none() {
                return;
            }
            let pause = self.random.exponential(Duration::from_millis(150));
            monoio::time::sleep(pause).await;
        }
    }

    /// Returns an idle or new connection to a random daemon; `None` after 4 failed attempts.
    async fn connection(&mut self) -> Option<(usize, Connection)> {
        for _ in 0..4 {
            let daemon = self.random.below(self.options.daemons.len());
            if let Some(mut idle) = self.connections.remove(&daemon)
                && idle.is_usable()
            {
                return Some((daemon, idle));
            }
            if let Some(new) = connect(self.options.daemons[daemon].1).await {
                return Some((daemon, new));
            }
        }
        None
    }

    async fn key(&mut self, service: &str) -> Option<String> {
        let (daemon, mut connection) = self.connection().await?;
        let host = self.options.daemons[daemon].1;
        let key = issue_key(&mut connection, service, host).await;
        if key.is_some() {
            self.connections.insert(daemon, connection);
        }
        key
    }

    /// Opens a connection, assigns a request number and records the request as sent.
    async fn prepare(
        &mut self,
        spec: &RequestSpec,
        numbers: &mut Vec<u64>,
    ) -> Option<PendingExchange> {
        let (daemon, connection) = self.connection().await?;
        self.last_number += 1;
        let number = self.id * NUMBERS_PER_CALLER + self.last_number;
        numbers.push(number);
        let (party, address) = &self.options.daemons[daemon];
        let request = spec.request(number, *address);
        self.records.append(Event::Sent {
            idempotent: spec.method == "GET",
            key: spec.key.clone(),
            operation: spec.operation,
            request: number,
            service: spec.service.clone(),
        });
        self.records.append(Event::Routed {
            daemon: party.clone(),
            request: number,
        });
        Some(PendingExchange {
            connection,
            daemon,
            number,
            request,
        })
    }

    /// Keeps the connection if it is reusable, records the answer and returns the outcome.
    fn finish(&mut self, spec: &RequestSpec, finished: ExchangeResult, numbers: &[u64]) -> String {
        if let Some(connection) = finished.connection {
            self.connections.insert(finished.daemon, connection);
        }
        if finished.silent {
            return "silent".to_owned();
        }
        let request = finished.number;
        let (mut body, mut whole) = (None, false);
        let (mut status, mut outcome, mut reason) = (0, String::new(), String::new());
        if let Some(answer) = &finished.answer {
            status = answer.status().as_u16();
            outcome = header(answer, "hawthornwall-outcome");
            reason = header(answer, "hawthornwall-reason");
            (body, whole) = spec.verify(answer.body(), request, numbers);
            whole |= outcome != "answered";
        }
        let label = match (status, outcome.as_str()) {
            (0, _) => "broken".to_owned(),
            (_, "answered") => format!("answered {status}"),
            (_, outcome) => format!("{outcome} {reason}"),
        };
        let event = Event::Received {
            body,
            outcome,
            reason,
            request,
            status,
            whole,
        };
        self.records.append_at(finished.at, event);
        label
    }

    /// Closes the connection while the request runs, or sends only a part of the request and keeps
    /// the connection open for a while.
    async fn abandon(&mut self, spec: &RequestSpec) {
        let Some(mut exchange) = self.prepare(spec, &mut Vec::new()).await else {
            return;
        };
        let wait = self.random.exponential(Duration::from_millis(20));
        if self.random.chance(50) {
            let _ = monoio::time::timeout(wait, exchange.finish()).await;
        } else {
            let part = self.random.below(200) + 1;
            let _ = exchange
                .connection
                .send_prefix(&exchange.request, part)
                .await;
            monoio::time::sleep(wait * 20).await;
        }
    }
}
