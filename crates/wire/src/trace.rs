//! The `traceparent` header of W3C Trace Context, version 00.

use std::fmt;
use std::str::FromStr;

/// Content of a `traceparent` header.
///
/// ```
/// use hawthornwall_wire::trace::TraceParent;
///
/// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let parent: TraceParent = text.parse().expect("the header is well formed");
/// assert!(parent.sampled);
/// assert_eq!(parent.to_string(), text);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// Whether the caller records the trace.
    pub sampled: bool,
    /// Id of the parent span; not zero.
    pub span: u64,
    /// Id of the trace; not zero.
    pub trace: u128,
}

/// The text is not a `traceparent` header of version 00.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTraceError;

impl fmt::Display for ParseTraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid traceparent header of version 00")
    }
}

impl std::error::Error for ParseTraceError {}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace,
            self.span,
            u8::from(self.sampled)
        )
    }
}

impl FromStr for TraceParent {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, ParseTraceError> {
        // `from_str_radix` accepts a sign and upper-case digits, which the header doesn't allow.
        let allowed = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b) || b == b'-';
        if !text.bytes().all(allowed) {
            return Err(ParseTraceError);
        }
        let parts: Vec<_> = text.split('-').collect();
        let [version, trace, span, flags] = parts[..] else {
            return Err(ParseTraceError);
        };
        if version != "00" || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return Err(ParseTraceError);
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| ParseTraceError)?;
        let span = u64::from_str_radix(span, 16).map_err(|_| ParseTraceError)?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| ParseTraceError)?;
        if trace == 0 || span == 0 {
            return Err(ParseTraceError);
        }
        Ok(Self {
            sampled: flags & 1 == 1,
            span,
            trace,
        })
    }
}
