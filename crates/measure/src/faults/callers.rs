//! Callers: tasks that each own their connections and repeat keyed requests whose outcome they
//! don't know.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::join_all;

use super::exchange::{Flight, Landed, Wanted, connect, header, issue_key};
use hawthornwall_testkit::history::{Event, Writer};
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::random::Random;
use hawthornwall_testkit::{run, wall_micros};

/// Requests of one operation.
const REQUESTS: usize = 5;
/// Request numbers of one caller.
const NUMBERS: u64 = 1_000_000;

/// Who calls what.
#[derive(Clone, Debug)]
pub struct CallersOptions {
    /// Number of callers.
    pub count: usize,
    /// Parties and addresses of the daemons.
    pub daemons: Vec<(String, SocketAddr)>,
    /// Mean pause of a caller between two operations.
    pub gap: Duration,
    /// File for the records.
    pub history: PathBuf,
    /// Whether some requests are abandoned while they run.
    pub rude: bool,
    /// Seed of everything random.
    pub seed: u64,
    /// Names of the services, as often as they have targets.
    pub services: Vec<String>,
    /// Ends the load.
    pub stop: Arc<AtomicBool>,
}

/// What became of one operation.
#[derive(Clone, Debug, Default)]
pub struct Operation {
    /// Whether its last request was answered by a target.
    pub answered: bool,
    /// Whether the caller abandoned it.
    pub abandoned: bool,
    /// When its key was issued.
    pub key: Option<u64>,
    /// Outcome of each request: `Hawthornwall-Outcome` and reason, `broken`, `silent`, `no-key` or
    /// `no-connection`.
    pub outcomes: Vec<String>,
    /// When it began, in microseconds since the Unix epoch.
    pub started: u64,
}

struct Caller {
    connections: BTreeMap<usize, Connection>,
    id: u64,
    next: u64,
    options: Rc<CallersOptions>,
    random: Random,
    records: Writer,
}

/// Calls until told to stop and returns all operations. Blocks; has a runtime of its own.
///
/// # Errors
///
/// The history or the runtime can't be opened.
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
            next: 0,
            options: Rc::clone(options),
            random: Random::new(options.seed * 1_000 + id),
            records: Writer::open(Some(&options.history), &format!("caller-{id}"))?,
        })
    }

    async fn run(mut self) -> Vec<Operation> {
        let mut operations = Vec::new();
        loop {
            let gap = self.random.exponential(self.options.gap);
            monoio::time::sleep(gap).await;
            if self.options.stop.load(Ordering::Relaxed) {
                return operations;
            }
            operations.push(self.operate().await);
        }
    }

    async fn operate(&mut self) -> Operation {
        let mut done = Operation {
            started: wall_micros(),
            ..Operation::default()
        };
        let service = self.random.below(self.options.services.len());
        let (method, keyed) = match self.random.below(100) {
            0..50 => ("GET", false),
            50..70 => ("POST", false),
            _ => ("POST", true),
        };
        let mut wanted = Wanted {
            deadline: self.random.chance(20).then_some(500),
            key: None,
            method,
            operation: self.id * NUMBERS + self.next + 1,
            service: self.options.services[service].clone(),
            size: 200 + self.random.below(4_000),
        };
        if keyed {
            wanted.key = self.key(&wanted.service).await;
            done.key = Some(wall_micros());
            if wanted.key.is_none() {
                done.outcomes.push("no-key".to_owned());
                return done;
            }
        }
        if self.options.rude && self.random.chance(20) {
            self.abandon(&wanted).await;
            done.abandoned = true;
        } else {
            self.call(&wanted, &mut done).await;
        }
        done
    }

    /// Sends the request; under a key repeats it while its outcome is open.
    async fn call(&mut self, wanted: &Wanted, done: &mut Operation) {
        let mut numbers = Vec::new();
        while numbers.len() < REQUESTS {
            let twice = wanted.key.is_some() && self.random.chance(25);
            let mut flights = Vec::new();
            for _ in 0..=usize::from(twice) {
                flights.extend(self.begin(wanted, &mut numbers).await);
            }
            if flights.is_empty() {
                done.outcomes.push("no-connection".to_owned());
                return;
            }
            let landed = join_all(flights.into_iter().map(Flight::land)).await;
            let mut open = true;
            for one in landed {
                let outcome = self.land(wanted, one, &numbers);
                done.answered |= outcome.starts_with("answered");
                open &= !outcome.starts_with("answered") && !outcome.starts_with("refused");
                done.outcomes.push(outcome);
            }
            if !open || wanted.key.is_none() {
                return;
            }
            let pause = self.random.exponential(Duration::from_millis(150));
            monoio::time::sleep(pause).await;
        }
    }

    /// A connection to a random daemon that accepts one.
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

    async fn begin(&mut self, wanted: &Wanted, numbers: &mut Vec<u64>) -> Option<Flight> {
        let (daemon, connection) = self.connection().await?;
        self.next += 1;
        let number = self.id * NUMBERS + self.next;
        numbers.push(number);
        let (party, address) = &self.options.daemons[daemon];
        let request = wanted.request(number, *address);
        self.records.append(Event::Sent {
            idempotent: wanted.method == "GET",
            key: wanted.key.clone(),
            operation: wanted.operation,
            request: number,
            service: wanted.service.clone(),
        });
        self.records.append(Event::Routed {
            daemon: party.clone(),
            request: number,
        });
        Some(Flight {
            connection,
            daemon,
            number,
            request,
        })
    }

    fn land(&mut self, wanted: &Wanted, landed: Landed, numbers: &[u64]) -> String {
        if let Some(connection) = landed.connection {
            self.connections.insert(landed.daemon, connection);
        }
        if landed.silent {
            return "silent".to_owned();
        }
        let request = landed.number;
        let (mut body, mut whole) = (None, false);
        let (mut status, mut outcome, mut reason) = (0, String::new(), String::new());
        if let Some(answer) = &landed.answer {
            status = answer.status().as_u16();
            outcome = header(answer, "hawthornwall-outcome");
            reason = header(answer, "hawthornwall-reason");
            (body, whole) = wanted.verify(answer.body(), request, numbers);
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
        self.records.append_at(landed.at, event);
        label
    }

    /// Closes the connection while the request runs, or sends only a part and goes silent.
    async fn abandon(&mut self, wanted: &Wanted) {
        let Some(mut flight) = self.begin(wanted, &mut Vec::new()).await else {
            return;
        };
        let wait = self.random.exponential(Duration::from_millis(20));
        if self.random.chance(50) {
            let _ = monoio::time::timeout(wait, flight.land()).await;
        } else {
            let part = self.random.below(200) + 1;
            let _ = flight.connection.send_prefix(&flight.request, part).await;
            monoio::time::sleep(wait * 20).await;
        }
    }
}
