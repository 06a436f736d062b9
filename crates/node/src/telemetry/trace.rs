//! Traces: one span per hop, passed on as `traceparent` and written as JSON log lines.
//!
//! Invariant: a request that isn't sampled allocates nothing for its spans; its caller's
//! `traceparent` is passed on unchanged.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanId, SpanRecord, TraceId};
use hawthornwall_core::calls::PickKind;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::Choice;
use hawthornwall_wire::trace::TraceParent;
use rand::Rng;
use spdlog::Logger;

use super::choice::choice_properties;
use super::counters::attempt_name;

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
                let root = SpanContext::new(TraceId::random(), SpanId::default());
                HopSpan::root(Hop::Ingress, root)
            }
            None => HopSpan::unsampled(None),
        }
    }

    fn draw(self) -> bool {
        self.share > 0 && rand::rng().random_range(0..WHOLE) < self.share
    }
}

/// The span of one hop, recorded when it is dropped. It does nothing unless it is sampled.
#[derive(Debug)]
pub struct HopSpan {
    /// What the caller sent, passed on if the request isn't sampled.
    passed: Option<TraceParent>,
    span: Span,
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
        let passed = self.passed;
        let span = Span::enter_with_parent(hop.name(), &self.span);
        Self { passed, span }
    }

    /// Whether the span will be recorded.
    pub fn is_sampled(&self) -> bool {
        SpanContext::from_span(&self.span).is_some()
    }

    /// Adds a property. `value` only runs if the span is sampled.
    pub fn set<V: Into<Cow<'static, str>>>(&self, key: &'static str, value: impl FnOnce() -> V) {
        self.span.add_property(|| (key, value()));
    }

    /// Records which target was picked and why.
    pub fn set_choice(&self, kind: PickKind, choice: &Choice) {
        self.span.add_properties(|| choice_properties(kind, choice));
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
        match SpanContext::from_span(&self.span) {
            Some(context) => Some(context.encode_w3c_traceparent()),
            None => self.passed.map(|parent| parent.to_string()),
        }
    }

    fn root(hop: Hop, context: SpanContext) -> Self {
        Self {
            passed: None,
            span: Span::root(hop.name(), context),
        }
    }

    fn sampled(hop: Hop, parent: TraceParent) -> Self {
        let context = SpanContext::new(TraceId(parent.trace), SpanId(parent.span));
        Self::root(hop, context)
    }

    fn unsampled(passed: Option<TraceParent>) -> Self {
        Self {
            passed,
            span: Span::noop(),
        }
    }
}

/// Starts the library's collector thread, which hands finished spans to `reporter`.
pub fn init(reporter: SpanReporter) {
    fastrace::set_reporter(reporter, Config::default());
}

/// Writes the spans that ended since the last report; for the end of the process.
pub fn flush() {
    fastrace::flush();
}

/// Writes finished spans as log lines.
#[derive(Debug)]
pub struct SpanReporter {
    logger: Arc<Logger>,
}

impl SpanReporter {
    /// A reporter that writes to `logger`.
    pub fn new(logger: Arc<Logger>) -> Self {
        Self { logger }
    }

    fn write(&self, span: &SpanRecord) {
        let properties: BTreeMap<&str, &str> = span
            .properties
            .iter()
            .map(|(key, value)| (key.as_ref(), value.as_ref()))
            .collect();
        spdlog::info!(logger: self.logger, "span", kv: {
            hop = span.name.as_ref(),
            trace = format!("{:032x}", span.trace_id.0).as_str(),
            span = format!("{:016x}", span.span_id.0).as_str(),
            parent = format!("{:016x}", span.parent_id.0).as_str(),
            begin_us = span.begin_time_unix_ns / 1_000,
            duration_us = span.duration_ns / 1_000,
            properties:serde = properties,
        });
    }
}

impl Reporter for SpanReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in &spans {
            self.write(span);
        }
    }
}
