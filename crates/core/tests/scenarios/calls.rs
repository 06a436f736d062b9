//! Scenario driver for a call.

use std::time::Duration;

use hawthornwall_core::calls::{AttemptId, Call, Effect, Event, Hedge, Spec};
use hawthornwall_core::prelude::*;
use hawthornwall_core::routing::{Choice, Estimate, Ticket};
use hawthornwall_core::stop::StopLimits;

use crate::line::{Line, attempt_result, variant};

pub struct Run {
    pub call: Call,
}

impl Run {
    pub fn new(line: &Line<'_>) -> (Self, Vec<String>) {
        let spec = Spec {
            attempts: line.value("attempts", 4),
            deadline: Time::ZERO + line.span("deadline", Duration::from_secs(1)),
            hedge: hedge(line),
            idempotent: line.flag("idempotent"),
            pinned: line.text("pinned").map(|t| t.parse().unwrap()),
        };
        let (call, effects) = Call::start(spec, line.now);
        let output = describe(&call, &effects);
        (Self { call }, output)
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let event = match line.verb {
            "caller-closed" => Event::CallerClosed,
            "ended" => {
                let result: String = line.word(1);
                Event::Ended(AttemptId(line.number(0) as u8), attempt_result(&result))
            }
            "hedge-suppressed" => Event::HedgeSuppressed,
            "not-picked" => Event::NotPicked(variant(&line.word::<String>(0))),
            "picked" => Event::Picked(Choice {
                alternatives: line.value("alternatives", 1),
                estimate: Estimate::default(),
                hedge: line.span("hedge", Duration::from_millis(10)),
                instance: Some(InstanceId(line.value("instance", 0))).filter(|i| i.0 > 0),
                max_wait: line.span("max-wait", Duration::from_millis(1)),
                target: line.word(0),
                ticket: Ticket(0),
            }),
            "stop" => Event::Stop(StopLimits {
                answer: Time::ZERO + line.span("answer", Duration::ZERO),
                send: Time::ZERO + line.span("send", Duration::ZERO),
            }),
            "timer" => Event::Timer,
            other => panic!("unknown event `{other}`"),
        };
        let effects = self.call.on(&event, line.now);
        describe(&self.call, &effects)
    }
}

/// `hedge` for the delay of the choice, `hedge-after=TIME` for that of the route.
fn hedge(line: &Line<'_>) -> Hedge {
    match line.text("hedge-after") {
        Some(_) => Hedge::After(line.span("hedge-after", Duration::ZERO)),
        None if line.flag("hedge") => Hedge::AfterChoice,
        None => Hedge::Never,
    }
}

fn describe(call: &Call, effects: &[Effect]) -> Vec<String> {
    let mut output: Vec<_> = effects.iter().map(|e| format!("{e:?}")).collect();
    if !call.finished() {
        output.push(format!("next timer {}", call.next_timer()));
    }
    output
}
