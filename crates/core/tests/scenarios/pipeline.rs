//! Driver of the scenarios for the requests of one connection.

use hawthornwall_core::pipeline::{Event, Limits, Pipeline, Position};
use hawthornwall_core::routes::Repeatability;

use crate::line::Line;

pub struct Run {
    pub pipeline: Pipeline,
}

impl Run {
    pub fn new(line: &Line<'_>) -> (Self, Vec<String>) {
        let limits = Limits {
            bytes: line.value("bytes", 1_000),
            requests: line.value("requests", 4),
        };
        let (pipeline, effects) = if line.flag("last") {
            Pipeline::start_last(limits)
        } else {
            Pipeline::start(limits)
        };
        (
            Self { pipeline },
            effects.iter().map(|e| format!("{e:?}")).collect(),
        )
    }

    pub fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        let at = || Position(line.number(0));
        let bytes = line.value("bytes", 100);
        let event = match line.verb {
            "answered" => Event::Answered { at: at(), bytes },
            "expects-continue" => Event::ExpectsContinue,
            "idempotent" => Event::Opened(at(), Repeatability::Idempotent),
            "once" => Event::Opened(at(), Repeatability::NonIdempotent),
            "read" => Event::Read {
                bytes,
                close: line.flag("close"),
            },
            "read-ended" => Event::ReadEnded,
            "stop" => Event::Stop,
            "written" => Event::Written,
            other => panic!("unknown event `{other}`"),
        };
        let effects = self.pipeline.on(event);
        effects.iter().map(|e| format!("{e:?}")).collect()
    }
}
