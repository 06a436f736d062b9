//! Traces: one span per hop, passed on as `traceparent` and written as JSON log lines.
//!
//! Invariant: a request that isn't sampled allocates nothing for its spans; its caller's
//! `traceparent` is passed on unchanged.

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

/// Where finished spans go.
static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
/// The whole, in the unit of the sampling share.
const WHOLE: u32 = 10_000;

/// Part of a request's path that a span covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hop {
    /// One attempt at a target, as the ingress daemon sees it.
    Attempt,
    /// From the arrival at the target's daemon to its reply.
    Gate,
    /// A caller's request at the ingress daemon.
    Ingress,
    /// The work of the target.
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
    /// A tracer that samples `share` hundredths of a percent of the requests that no caller sampled.
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

    fn draw(self) -> bool {
        self.share > 0 && rand::rng().random_range(0..WHOLE) < self.share
    }
}

type Property = (Cow<'static, str>, Cow<'static, str>);

/// A span that is being recorded.
#[derive(Debug)]
struct Open {
    begin: SystemTime,
    hop: Hop,
    id: u64,
    parent: u64,
    properties: RefCell<Vec<Property>>,
    started: Instant,
    trace: u128,
}

/// The span of one hop, written when it is dropped. It does nothing unless it is sampled.
#[derive(Debug)]
pub struct HopSpan {
    open: Option<Box<Open>>,
    /// What the caller sent, passed on if the request isn't sampled.
    passed: Option<TraceParent>,
}

impl HopSpan {
    /// Opens a span below one of another process, which has decided on sampling.
    ///
    /// A malformed `traceparent` counts as none, as the specification demands.
    pub fn remote(hop: Hop, traceparent: Option<&str>) -> Self {
        let parent: Option<TraceParent> = traceparent.and_then(|text| text.parse().ok());
        match parent {
            Some(parent) if parent.sampled => Self::sampled(hop, parent),
            Some(_) | None => Self::unsampled(parent),
        }
    }

    /// Opens a span below this one.
    #[must_use]
    pub fn child(&self, hop: Hop) -> Self {
        match &self.open {
            Some(open) => Self::root(hop, open.trace, open.id),
            None => Self::unsampled(self.passed),
        }
    }

    /// Whether the span will be recorded.
    pub fn is_sampled(&self) -> bool {
        self.open.is_some()
    }

    /// Adds a property. `value` only runs if the span is sampled.
    pub fn set<V: Into<Cow<'static, str>>>(&self, key: &'static str, value: impl FnOnce() -> V) {
        if let Some(open) = &self.open {
            let property = (key.into(), value().into());
            open.properties.borrow_mut().push(property);
        }
    }

    /// Records which target was picked and why.
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

    /// Records what the caller was told.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.set("outcome", || outcome.name());
        if let Some(reason) = outcome.reason() {
            self.set("reason", || reason);
        }
    }

    /// The header to pass on, absent if there is neither a trace nor one from the caller.
    pub fn traceparent(&self) -> Option<String> {
        let own = self.open.as_ref().map(|open| TraceParent {
            sampled: true,
            span: open.id,
            trace: open.trace,
        });
        own.or(self.passed).map(|parent| parent.to_string())
    }

    fn root(hop: Hop, trace: u128, parent: u64) -> Self {
        let open = Open {
            begin: SystemTime::now(),
            hop,
            id: rand::rng().random_range(1..=u64::MAX),
            parent,
            properties: RefCell::default(),
            started: Instant::now(),
            trace,
        };
        Self {
            open: Some(Box::new(open)),
            passed: None,
        }
    }

    fn sampled(hop: Hop, parent: TraceParent) -> Self {
        Self::root(hop, parent.trace, parent.span)
    }

    fn unsampled(passed: Option<TraceParent>) -> Self {
        Self { open: None, passed }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if let (Some(open), Some(logger)) = (&self.open, LOGGER.get()) {
            open.write(logger);
        }
    }
}

impl Open {
    fn write(&self, logger: &Arc<Logger>) {
        let properties = self.properties.borrow();
        let properties = properties.iter().map(|(k, v)| (k.as_ref(), v.as_ref()));
        let properties: BTreeMap<&str, &str> = properties.collect();
        let begin = self.begin.duration_since(UNIX_EPOCH).unwrap_or_default();
        spdlog::info!(logger: logger, "span", kv: {
            hop = self.hop.name(),
            trace = format!("{:032x}", self.trace).as_str(),
            span = format!("{:016x}", self.id).as_str(),
            parent = format!("{:016x}", self.parent).as_str(),
            begin_us = begin.as_micros() as u64,
            duration_us = self.started.elapsed().as_micros() as u64,
            properties:serde = properties,
        });
    }
}

/// Makes finished spans go to `logger`. Only the first logger of a process is used.
pub fn init(logger: Arc<Logger>) {
    let _ = LOGGER.set(logger);
}

/// Writes the lines that are still queued; for the end of the process.
pub fn flush() {
    if let Some(logger) = LOGGER.get() {
        logger.flush();
    }
}
