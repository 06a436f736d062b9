//! Checks of single values.

use std::net::SocketAddr;

use serde_json::Value;

use crate::fault::FaultKind;
use crate::table::ValueKind;

/// Maximum length of a name, which is that of a DNS label.
const NAME_LIMIT: usize = 63;
/// Number of hexadecimal digits of a 32-byte secret.
const SECRET_DIGITS: usize = 64;

/// Whether listeners at both addresses can't be open at the same time. Port 0 never conflicts, since
/// it selects any free port.
pub(crate) fn addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && (any || a.ip() == b.ip())
}

/// Kind of fault in a value, if any. The caller must check each member of a list separately.
pub(crate) fn value_fault(kind: ValueKind, value: &Value) -> Option<FaultKind> {
    match (kind, value) {
        (ValueKind::Number { min, max, .. }, Value::Number(number)) => match number.as_u64() {
            Some(n) if (min..=max).contains(&n) => None,
            Some(_) => Some(FaultKind::Range),
            None if number.as_f64().is_some_and(|n| n < 0.0) => Some(FaultKind::Range),
            None => Some(FaultKind::Type),
        },
        (
            ValueKind::Megabits { min, max } | ValueKind::Seconds { min, max },
            Value::Number(number),
        ) => {
            let accepted = f64::from(min)..=f64::from(max);
            let within = number.as_f64().is_some_and(|n| accepted.contains(&n));
            (!within).then_some(FaultKind::Range)
        }
        (
            ValueKind::Megabits { .. } | ValueKind::Number { .. } | ValueKind::Seconds { .. },
            Value::String(text),
        ) => {
            let numeric = text.trim_start().starts_with(|c: char| c.is_ascii_digit());
            let bare = text.trim().bytes().all(|b| b.is_ascii_digit());
            let unit = numeric && !bare;
            Some(if unit {
                FaultKind::Unit
            } else {
                FaultKind::Type
            })
        }
        (
            ValueKind::Address
            | ValueKind::Choice(_)
            | ValueKind::Name
            | ValueKind::Path
            | ValueKind::Secret,
            Value::String(text),
        ) => text_fault(kind, text),
        (
            ValueKind::Address
            | ValueKind::Addresses
            | ValueKind::Choice(_)
            | ValueKind::Megabits { .. }
            | ValueKind::Name
            | ValueKind::Number { .. }
            | ValueKind::Path
            | ValueKind::Seconds { .. }
            | ValueKind::Secret,
            Value::Array(_)
            | Value::Bool(_)
            | Value::Null
            | Value::Number(_)
            | Value::Object(_)
            | Value::String(_),
        ) => Some(FaultKind::Type),
    }
}

fn text_fault(kind: ValueKind, text: &str) -> Option<FaultKind> {
    let name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let (accepted, fault) = match kind {
        ValueKind::Address => (text.parse::<SocketAddr>().is_ok(), FaultKind::Address),
        ValueKind::Choice(choices) => (choices.contains(&text), FaultKind::Text),
        ValueKind::Name => {
            let length = (1..=NAME_LIMIT).contains(&text.len());
            (length && text.bytes().all(name_byte), FaultKind::Text)
        }
        ValueKind::Path => {
            let clean = text.bytes().all(|b| b.is_ascii_graphic());
            (text.starts_with('/') && clean, FaultKind::Text)
        }
        ValueKind::Secret => {
            let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
            (text.len() == SECRET_DIGITS && digits, FaultKind::Secret)
        }
        ValueKind::Addresses
        | ValueKind::Megabits { .. }
        | ValueKind::Number { .. }
        | ValueKind::Seconds { .. } => (false, FaultKind::Type),
    };
    (!accepted).then_some(fault)
}
