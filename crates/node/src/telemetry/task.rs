//! The task that owns the counters and the statsd socket.

use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use hawthornwall_core::time::Time;
use monoio::time::{Instant, timeout_at};

use super::{Counters, Event, Metrics, RequestLog, RequestRecord, Statsd};

/// Time between the first event after a flush and the next flush.
const FLUSH_DELAY: Duration = Duration::from_secs(1);

/// A message to the `telemetry` task.
#[derive(Debug)]
pub enum TelemetryMessage {
    /// Count an event.
    Event(Event),
    /// Write the log line of a request that has ended.
    RequestEnded {
        /// When it ended.
        at: Time,
        /// The logged data.
        record: Box<RequestRecord>,
    },
    /// Encode all metrics as text.
    Metrics(oneshot::Sender<String>),
    /// Report the counters.
    Status(oneshot::Sender<Counters>),
}

/// Handle of the `telemetry` task.
#[derive(Clone, Debug)]
pub struct Telemetry {
    sender: mpsc::UnboundedSender<TelemetryMessage>,
}

impl Telemetry {
    /// A handle and the receiver for [`run`].
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<TelemetryMessage>) {
        let (sender, receiver) = mpsc::unbounded();
        (Self { sender }, receiver)
    }

    /// Counts an event. Nothing happens if the task has ended.
    pub fn record(&self, event: Event) {
        let _ = self.sender.unbounded_send(TelemetryMessage::Event(event));
    }

    /// Logs a request that has ended, unless it is of a kind that isn't logged.
    pub fn log_request(&self, record: RequestRecord, at: Time) {
        if record.is_logged() {
            let record = Box::new(record);
            let _ = self
                .sender
                .unbounded_send(TelemetryMessage::RequestEnded { at, record });
        }
    }

    /// All metrics as text, or `None` if the task has ended.
    pub async fn metrics(&self) -> Option<String> {
        let (reply, receiver) = oneshot::channel();
        let message = TelemetryMessage::Metrics(reply);
        self.sender.unbounded_send(message).ok()?;
        receiver.await.ok()
    }

    /// The counters, or `None` if the task has ended.
    pub async fn counters(&self) -> Option<Counters> {
        let (reply, receiver) = oneshot::channel();
        let message = TelemetryMessage::Status(reply);
        self.sender.unbounded_send(message).ok()?;
        receiver.await.ok()
    }
}

/// Runs the task until all handles are dropped. A timer only runs while statsd has metrics to flush.
pub async fn run(mut receiver: mpsc::UnboundedReceiver<TelemetryMessage>, statsd: Option<Statsd>) {
    let mut log = RequestLog::default();
    let mut metrics = Metrics::default();
    let mut totals = Counters::default();
    let mut reported = Counters::default();
    let mut flush_at = None;
    loop {
        let message = match flush_at {
            None => receiver.next().await,
            Some(time) => {
                if let Ok(message) = timeout_at(time, receiver.next()).await {
                    message
                } else {
                    flush(statsd.as_ref(), &totals, &mut reported);
                    flush_at = None;
                    continue;
                }
            }
        };
        match message {
            None => break,
            Some(TelemetryMessage::Event(event)) => {
                metrics.record(&event);
                totals.record(&event);
                if let Some(statsd) = &statsd {
                    record_time(statsd, &event);
                    flush_at = flush_at.or_else(|| Some(Instant::now() + FLUSH_DELAY));
                }
            }
            Some(TelemetryMessage::RequestEnded { at, record }) => log.write(&record, at),
            Some(TelemetryMessage::Metrics(reply)) => {
                let _ = reply.send(metrics.encode());
            }
            Some(TelemetryMessage::Status(reply)) => {
                let _ = reply.send(totals.clone());
            }
        }
    }
    flush(statsd.as_ref(), &totals, &mut reported);
}

fn record_time(statsd: &Statsd, event: &Event) {
    match event {
        Event::Attempt { elapsed, .. } => statsd.time("attempt", *elapsed),
        Event::Request { elapsed, .. } => statsd.time("request", *elapsed),
        Event::Abandoned
        | Event::ClaimRefused
        | Event::Evicted
        | Event::GateRefused(_)
        | Event::Link(_)
        | Event::ProbeSkipped
        | Event::ProbeSpent
        | Event::Sent(_)
        | Event::StoreEra(_)
        | Event::TargetCold
        | Event::UnknownValue(_) => {}
    }
}

fn flush(statsd: Option<&Statsd>, totals: &Counters, reported: &mut Counters) {
    let Some(statsd) = statsd else { return };
    for (name, count) in totals.since(reported) {
        statsd.count(&name, count);
    }
    statsd.flush();
    reported.clone_from(totals);
}
