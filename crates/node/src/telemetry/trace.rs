//! Traces: one span per hop, propagated as `traceparent` and written as JSON log lines.
//!
//! Invariant: a request that isn't sampled allocates nothing for its spans; its caller's `traceparent` is
//! propagated unchanged.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hawthornwall_core::calls::PickKind;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::Choice;
use hawthornwall_wire::trace::TraceParent;
use rand::Rng;
use spdlog::Logger;

use super::choice::choice_properties;
use super::counters::attempt_name;

/// Logger of finished spans; unset until [`init`].
static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
/// The share of all requests, in the unit of the sampling share: hundredths of a percent.
const SHARE_SCALE: u32 = 10_000;

/// The part of a request's path that a span covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hop {
    /// One attempt at a target, measured at the ingress daemon.
    Attempt,
    /// A request at the target's daemon, from its arrival to the daemon's reply.
    Gate,
    /// A caller's request, measured at the ingress daemon.
    Ingress,
    /// The exchange of the daemon with its target.
    Target,
}

impl Hop {
    /// The span's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Attempt => "attempt",
            Self::Gate => "gate",
            Self::Ingress => "ingress",
            Self::Target => "target",
        }
    }
}

/// Decides which requests are traced.
#[derive(Clone, Copy, Debug)]
pub struct Tracer {
    share: u32,
}

impl Tracer {
    /// A tracer that samples `share` hundredths of a percent of the requests not sampled by their caller.
    pub fn new(share: u32) -> Self {
        Self { share }
    }

    /// Opens the span of a caller's request.
    ///
    /// ```
    /// use hawthornwall_node::telemetry::trace::Tracer;
    ///
    /// let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".parse().ok();
    /// let span = Tracer::new(0).ingress(parent);
    /// let passed = span.traceparent().expect("the caller sampled the request");
    /// assert!(passed.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    ///
    /// assert_eq!(Tracer::new(0).ingress(None).traceparent(), None);
    /// ```
    pub fn ingress(self, parent: Option<TraceParent>) -> HopSpan {
        match parent {
            Some(parent) if parent.sampled || self.draw() => HopSpan::sampled(Hop::Ingress, parent),
            Some(_) => HopSpan::unsampled(parent),
            None if self.draw() => {
                let trace = rand::rng().random_range(1..=u128::MAX);
                HopSpan::root(Hop::Ingress, trace, 0)
            }
            None => HopSpan::unsampled(None),
        }
    }

    /// Randomly selects the share of requests to sample.
    fn draw(self) -> bool {
        self.share > 0 && rand::rng().random_range(0..SHARE_SCALE) < self.share
    }
}

type Property = (Cow<'static, str>, Cow<'static, str>);

/// A sampled span that hasn't ended yet.
#[derive(Debug)]
struct OpenSpan {
    /// Wall-clock time of the start, for the log line.
    wall_start: SystemTime,
    hop: Hop,
    id: u64,
    /// Id of the parent span; 0 if there is none.
    parent: u64,
    properties: RefCell<Vec<Property>>,
    /// Monotonic time of the start, from which the duration is computed.
    started: Instant,
    trace: u128,
}

/// The span of one hop, written to the log when it is dropped. Without sampling nothing is recorded.
#[derive(Debug)]
pub struct HopSpan {
    open: Option<Box<OpenSpan>>,
    /// The `traceparent` received from the caller, propagated if the request isn't sampled.
    upstream: Option<TraceParent>,
}

impl HopSpan {
    /// Opens a child span of a span in another process; the sampling decision is taken from it.
    ///
    /// A malformed `traceparent` is ignored, as the specification requires.
    pub fn remote(hop: Hop, traceparent: Option<&str>) -> Self {
        let parent: Option<TraceParent> = traceparent.and_then(|text| text.parse().ok());
        match parent {
            Some(parent) if parent.sampled => Self::sampled(hop, parent),
            Some(_) | None => Self::unsampled(parent),
        }
    }

    /// Opens a child span.
    #[must_use]
    pub fn child(&self, hop: Hop) -> Self {
        match &self.open {
            Some(open) => Self::root(hop, open.trace, open.id),
            None => Self::unsampled(self.upstream),
        }
    }

    /// Whether the span will be recorded.
    pub fn is_sampled(&self) -> bool {
        self.open.is_some()
    }

    /// Adds a property. `value` is only called if the span is sampled.
    pub fn set<V: Into<Cow<'static, str>>>(&self, key: &'static str, value: impl FnOnce() -> V) {
        if let Some(open) = &self.open {
            let property = (key.into(), value().into());
            open.properties.borrow_mut().push(property);
        }
    }

    /// Records the picked target, the kind of pick and the estimate.
    pub fn set_choice(&self, kind: PickKind, choice: &Choice) {
        if let Some(open) = &self.open {
            let properties = choice_properties(kind, choice);
            open.properties.borrow_mut().extend(properties);
        }
    }

    /// Records how an attempt ended.
    pub fn set_result(&self, result: AttemptResult) {
        self.set("result", || attempt_name(result));
    }

    /// Records the outcome reported to the caller.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.set("outcome", || outcome.name());
        if let Some(reason) = outcome.reason() {
            self.set("reason", || reason);
        }
    }

    /// The `traceparent` header to send on; `None` if the span isn't sampled and the caller sent none.
    pub fn traceparent(&self) -> Option<String> {
        let own = self.open.as_ref().map(|open| TraceParent {
            sampled: true,
            span: open.id,
            trace: open.trace,
        });
        own.or(self.upstream).map(|parent| parent.to_string())
    }

    fn root(hop: Hop, trace: u128, parent: u64) -> Self {
        let open = OpenSpan {
            wall_start: SystemTime::now(),
            hop,
            id: rand::rng().random_range(1..=u64::MAX),
            parent,
            properties: RefCell::default(),
            started: Instant::now(),
            trace,
        };
        Self {
            open: Some(Box::new(open)),
            upstream: None,
        }
    }

    fn sampled(hop: Hop, parent: TraceParent) -> Self {
        Self::root(hop, parent.trace, parent.span)
    }

    fn unsampled(upstream: Option<TraceParent>) -> Self {
        Self {
            open: None,
            upstream,
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if let (Some(open), Some(logger)) = (&self.open, LOGGER.get()) {
            open.write(logger);
        }
    }
}

impl OpenSpan {
    fn write(&self, logger: &Arc<Logger>) {
        let properties = self.properties.borrow();
        let properties = properties.iter().map(|(k, v)| (k.as_ref(), v.as_ref()));
        let properties: BTreeMap<&str, &str> = properties.collect();
        let wall_start = self
            .wall_start
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        spdlog::info!(logger: logger, "span", kv: {
            hop = self.hop.name(),
            trace = format!("{:032x}", self.trace).as_str(),
            span = format!("{:016x}", self.id).as_str(),
            parent = format!("{:016x}", self.parent).as_str(),
            begin_us = wall_start.as_micros() as u64,
            duration_us = self.started.elapsed().as_micros() as u64,
            properties:serde = properties,
        });
    }
}

/// Sets the logger of finished spans. Later calls in the same process have no effect.
pub fn init(logger: Arc<Logger>) {
    let _ = LOGGER.set(logger);
}

/// Writes the queued lines; called before the process exits.
pub fn flush() {
    if let Some(logger) = LOGGER.get() {
        logger.flush();
    }
}
