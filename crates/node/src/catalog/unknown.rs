//! Values in the store that a later version of the platform has added.

use std::collections::BTreeSet;

use hawthornwall_platform::{Decoded, UnknownValue};

use super::report;
use crate::telemetry::{Event, Telemetry};

/// Most values that are remembered as logged. Further ones are only counted, since entries come from outside.
const LOG_LIMIT: usize = 100;

/// Counts each unknown value, and logs it when it first occurs.
#[derive(Debug)]
pub(super) struct UnknownValues {
    logged: BTreeSet<UnknownValue>,
    telemetry: Telemetry,
}

impl UnknownValues {
    pub fn new(telemetry: Telemetry) -> Self {
        Self {
            logged: BTreeSet::new(),
            telemetry,
        }
    }

    /// Reports the unknown values of decoded content, and returns the content.
    pub fn take<T>(&mut self, decoded: Decoded<T>) -> T {
        for value in decoded.unknown {
            self.telemetry
                .record(Event::UnknownValue(value.field.name()));
            if self.logged.len() < LOG_LIMIT && !self.logged.contains(&value) {
                report::unknown_value(&value);
                self.logged.insert(value);
            }
        }
        decoded.content
    }
}
