//! The time of sending of a forwarded request.
//!
//! It travels as a header, since daemons of builds without it reject messages with further fields. Such a
//! daemon forwards the header to its target, which ignores it.

use std::time::Duration;

use hawthornwall_core::transit::SentStamp;

use crate::peer::{Header, HttpRequest};

/// Name of the header.
const HEADER: &str = "hw-sent";

/// States in a request when it was sent. A header of the same name that the request has already is replaced.
pub fn set_sent(request: &mut HttpRequest, stamp: SentStamp) {
    remove_sent(request);
    request.headers.push(Header {
        name: HEADER.to_owned(),
        value: format!("{:x}.{:x}", stamp.sender, stamp.at.as_micros()).into_bytes(),
    });
}

/// Removes the time of sending from a request and returns it; `None` if there is none, or a malformed one.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::transit::SentStamp;
/// use hawthornwall_wire::peer::HttpRequest;
/// use hawthornwall_wire::sent::{set_sent, take_sent};
///
/// let mut request = HttpRequest {
///     body: bytes::Bytes::new(),
///     headers: Vec::new(),
///     method: "GET".to_owned(),
///     path: "/".to_owned(),
/// };
/// let stamp = SentStamp { at: Duration::from_micros(1_500), sender: 7 };
/// set_sent(&mut request, stamp);
/// assert_eq!(take_sent(&mut request), Some(stamp));
/// assert_eq!(take_sent(&mut request), None);
/// ```
pub fn take_sent(request: &mut HttpRequest) -> Option<SentStamp> {
    let header = request.headers.iter().find(|h| h.name == HEADER);
    let stamp = header.and_then(|header| decode(&header.value));
    remove_sent(request);
    stamp
}

/// Removes the time of sending, which only daemons state.
pub fn remove_sent(request: &mut HttpRequest) {
    request.headers.retain(|h| h.name != HEADER);
}

fn decode(value: &[u8]) -> Option<SentStamp> {
    let (sender, at) = std::str::from_utf8(value).ok()?.split_once('.')?;
    let micros = u64::from_str_radix(at, 16).ok()?;
    Some(SentStamp {
        at: Duration::from_micros(micros),
        sender: u32::from_str_radix(sender, 16).ok()?,
    })
}
