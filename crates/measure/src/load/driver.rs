//! Driver task: owns the idle connections and spawns a task for each call at its planned arrival.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures::{FutureExt, StreamExt, select_biased};

use super::arrivals::{Call, Route, plan_calls};
use super::exchange::{Job, Message, run_call};
use super::options::LoadOptions;
use super::result::CallResult;
use hawthornwall_testkit::history::{Event, Writer};
use hawthornwall_testkit::http1::Connection;
use hawthornwall_testkit::timer::Timer;

#[derive(Debug)]
struct Driver<'a> {
    idle: BTreeMap<SocketAddr, Vec<Connection>>,
    /// Highest request number in use; repeats are numbered from the next one on.
    last_number: u64,
    /// Number of calls that have not ended.
    open: usize,
    options: &'a LoadOptions,
    records: Writer,
    results: Vec<CallResult>,
    sender: UnboundedSender<Message>,
}

/// Generates the load on the current runtime and returns when every call has ended.
///
/// # Errors
///
/// The history or the timer can't be opened.
pub async fn run_load(options: &LoadOptions) -> std::io::Result<Vec<CallResult>> {
    run_calls(options, plan_calls(options), None).await
}

/// Makes the given calls, which are sorted by arrival, and returns when every call has ended.
///
/// Arrivals are relative to `start`; without it, to the time at which the initial connections are
/// open.
///
/// # Errors
///
/// The history or the timer can't be opened.
pub async fn run_calls(
    options: &LoadOptions,
    calls: Vec<Call>,
    start: Option<Instant>,
) -> std::io::Result<Vec<CallResult>> {
    let (sender, mut receiver) = unbounded();
    let mut driver = Driver {
        idle: BTreeMap::new(),
        last_number: calls.iter().map(|c| c.number).max().unwrap_or(0),
        open: 0,
        options,
        records: Writer::open(options.history.as_deref(), "caller")?,
        results: Vec::new(),
        sender,
    };
    let timer = Timer::start()?;
    driver.open_connections().await;
    let start = start.unwrap_or_else(Instant::now);
    for call in calls {
        let planned = start + call.at;
        driver.handle_until(&mut receiver, &timer, planned).await;
        driver.start_call(call, planned, None);
    }
    while driver.open > 0 {
        if let Some(message) = receiver.next().await {
            driver.handle(message);
        }
    }
    Ok(driver.results)
}

impl Driver<'_> {
    async fn open_connections(&mut self) {
        let targets = self.options.services.iter().flat_map(|s| &s.targets);
        let direct = targets.filter(|_| self.options.direct_percent > 0);
        for endpoint in self.options.daemons.iter().chain(direct) {
            for _ in 0..self.options.initial_connections {
                if let Ok(connection) = Connection::open(endpoint.address).await {
                    let idle = self.idle.entry(endpoint.address).or_default();
                    idle.push(connection);
                }
            }
        }
    }

    async fn handle_until(
        &mut self,
        receiver: &mut UnboundedReceiver<Message>,
        timer: &Timer,
        time: Instant,
    ) {
        let arrival = timer.sleep_until(time).fuse();
        futures::pin_mut!(arrival);
        loop {
            select_biased! {
                () = arrival => return,
                message = receiver.next() => if let Some(message) = message {
                    self.handle(message);
                },
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Done(result, connection) => {
                if let Some(connection) = connection {
                    let (address, _) = self.address(&result.call);
                    self.idle.entry(address).or_default().push(connection);
                }
                self.open -= 1;
                self.repeat(&result);
                self.results.push(*result);
            }
            Message::Record(at, event) => self.record(at, event),
        }
    }

    /// Repeats a call with the same key through another daemon, as callers do that received no
    /// answer.
    fn repeat(&mut self, result: &CallResult) {
        let unanswered = matches!(result.outcome.as_str(), "" | "unknown");
        let due = result.call.repeated || unanswered && self.options.repeat_percent > 0;
        let (Some(key), Route::Daemon(index)) = (&result.key, result.call.route) else {
            return;
        };
        if due && !result.call.is_repeat() {
            self.last_number += 1;
            let call = Call {
                number: self.last_number,
                route: Route::Daemon((index + 1) % self.options.daemons.len()),
                ..result.call
            };
            self.start_call(call, Instant::now(), Some(key.clone()));
        }
    }

    fn record(&mut self, at: u64, event: Event) {
        self.records.append_at(at, event);
    }

    fn start_call(&mut self, call: Call, planned: Instant, key: Option<String>) {
        self.open += 1;
        let (address, local_target) = self.address(&call);
        let idle = self.idle.entry(address).or_default();
        let mut connection = idle.pop();
        while connection.as_mut().is_some_and(|c| !c.is_usable()) {
            connection = idle.pop();
        }
        let job = Job {
            address,
            call,
            local_target,
            driver: self.sender.clone(),
            key,
            lateness: Duration::ZERO,
            planned,
            service: self.options.services[call.service].name.clone(),
            timeout: self.options.timeout,
        };
        monoio::spawn(run_call(job, connection));
    }

    /// Address that the call is sent to and, if it is a daemon's, the name of that daemon's local
    /// target.
    fn address(&self, call: &Call) -> (SocketAddr, Option<String>) {
        match call.route {
            Route::Daemon(index) => {
                let daemon = &self.options.daemons[index];
                (daemon.address, Some(daemon.name.clone()))
            }
            Route::Direct(index) => {
                let targets = &self.options.services[call.service].targets;
                (targets[index].address, None)
            }
        }
    }
}
