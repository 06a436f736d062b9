//! Checks of one value against what its setting accepts.

use std::net::SocketAddr;

use serde_json::Value;

use crate::fault::FaultKind;
use crate::table::Kind;

/// Longest name, the limit of a DNS label.
const NAME_LIMIT: usize = 63;
const SECRET_DIGITS: usize = 64;

/// Whether two listeners can't both be opened. Port 0 stands for any free port.
pub(crate) fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && (any || a.ip() == b.ip())
}

/// What is wrong with a value. Lists are checked member by member by the caller.
pub(crate) fn value_fault(kind: Kind, value: &Value) -> Option<FaultKind> {
    match (kind, value) {
        (Kind::Number { min, max, .. }, Value::Number(number)) => match number.as_u64() {
            Some(n) if (min..=max).contains(&n) => None,
            Some(_) => Some(FaultKind::Range),
            None if number.as_f64().is_some_and(|n| n < 0.0) => Some(FaultKind::Range),
            None => Some(FaultKind::Type),
        },
        (Kind::Number { .. }, Value::String(text)) => {
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
            Kind::Address | Kind::Choice(_) | Kind::Name | Kind::Path | Kind::Secret,
            Value::String(text),
        ) => text_fault(kind, text),
        (
            Kind::Address
            | Kind::Addresses
            | Kind::Choice(_)
            | Kind::Name
            | Kind::Number { .. }
            | Kind::Path
            | Kind::Secret,
            Value::Array(_)
            | Value::Bool(_)
            | Value::Null
            | Value::Number(_)
            | Value::Object(_)
            | Value::String(_),
        ) => Some(FaultKind::Type),
    }
}

fn text_fault(kind: Kind, text: &str) -> Option<FaultKind> {
    let name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let (accepted, fault) = match kind {
        Kind::Address => (text.parse::<SocketAddr>().is_ok(), FaultKind::Address),
        Kind::Choice(words) => (words.contains(&text), FaultKind::Text),
        Kind::Name => {
            let length = (1..=NAME_LIMIT).contains(&text.len());
            (length && text.bytes().all(name_byte), FaultKind::Text)
        }
        Kind::Path => {
            let clean = text.bytes().all(|b| b.is_ascii_graphic());
            (text.starts_with('/') && clean, FaultKind::Text)
        }
        Kind::Secret => {
            let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
            (text.len() == SECRET_DIGITS && digits, FaultKind::Secret)
        }
        Kind::Addresses | Kind::Number { .. } => (false, FaultKind::Type),
    };
    (!accepted).then_some(fault)
}
