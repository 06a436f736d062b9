//! Decoding of bodies in the chunked transfer coding (RFC 9112, section 7.1).
//!
//! Rules kept here:
//! - lines end with CRLF only, as two parties could find different ends of a message otherwise;
//! - chunk extensions and trailer fields are read and dropped, and their total length is limited;
//! - the body never exceeds its limit.

use std::fmt;

/// Longest total length of chunk extensions and trailer fields, in bytes.
const EXTRA_LIMIT: usize = 16 << 10;
/// Most digits of a chunk's size.
const MAX_DIGITS: usize = 16;
const LINE_END: &[u8] = b"\r\n";

/// Reason why a chunked body is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkFault {
    /// The syntax is not valid; holds the part that is broken.
    Malformed(&'static str),
    /// The body, its extensions or its trailer fields exceed a limit.
    TooLarge,
}

impl fmt::Display for ChunkFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(part) => write!(f, "malformed {part} in a chunked body"),
            Self::TooLarge => f.write_str("the chunked body exceeds the size limit"),
        }
    }
}

impl std::error::Error for ChunkFault {}

/// The part of the body that comes next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Data { left: usize },
    DataEnd,
    Done,
    Size,
    Trailers,
}

/// A complete line and the input behind it.
struct Line<'a> {
    rest: &'a [u8],
    /// The line without its end.
    text: &'a [u8],
}

/// Decodes one body, however its bytes are divided between reads.
///
/// ```
/// use hawthornwall_wire::chunks::ChunkDecoder;
///
/// let mut decoder = ChunkDecoder::new(100);
/// let mut body = Vec::new();
/// let bytes = b"3;name=value\r\nabc\r\n0\r\nDigest: x\r\n\r\nGET";
/// let used = decoder.decode(bytes, &mut body)?;
/// assert!(decoder.is_done());
/// assert_eq!((&body[..], &bytes[used..]), (&b"abc"[..], &b"GET"[..]));
/// # Ok::<(), hawthornwall_wire::chunks::ChunkFault>(())
/// ```
#[derive(Clone, Debug)]
pub struct ChunkDecoder {
    /// Remaining length of extensions and trailer fields.
    extra: usize,
    /// Remaining length of the body.
    room: usize,
    state: State,
}

impl ChunkDecoder {
    /// A decoder of a body of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            extra: EXTRA_LIMIT,
            room: limit,
            state: State::Size,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes as much of `input` as is complete and appends it to `body`; returns the number of bytes that
    /// were used. The others must be passed again, with more behind them.
    ///
    /// # Errors
    ///
    /// If the body breaks the syntax or a limit. The decoder can't be used afterwards.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, ChunkFault> {
        let mut rest = input;
        while let Some(next) = self.step(rest, body)? {
            rest = next;
        }
        Ok(input.len() - rest.len())
    }

    /// Decodes the next part; returns the input behind it, or `None` if it isn't complete.
    fn step<'a>(
        &mut self,
        input: &'a [u8],
        body: &mut Vec<u8>,
    ) -> Result<Option<&'a [u8]>, ChunkFault> {
        match self.state {
            State::Data { left } => Ok(self.take_data(left, input, body)),
            State::DataEnd => self.take_data_end(input),
            State::Done => Ok(None),
            State::Size => {
                let Some(Line { rest, text }) = self.line(input)? else {
                    return Ok(None);
                };
                self.begin_chunk(text)?;
                Ok(Some(rest))
            }
            State::Trailers => {
                let Some(Line { rest, text }) = self.line(input)? else {
                    return Ok(None);
                };
                self.end_or_drop_trailer(text)?;
                Ok(Some(rest))
            }
        }
    }

    fn take_data<'a>(
        &mut self,
        left: usize,
        input: &'a [u8],
        body: &mut Vec<u8>,
    ) -> Option<&'a [u8]> {
        if input.is_empty() {
            return None;
        }
        let (data, rest) = input.split_at(left.min(input.len()));
        body.extend_from_slice(data);
        self.state = match left - data.len() {
            0 => State::DataEnd,
            left => State::Data { left },
        };
        Some(rest)
    }

    fn take_data_end<'a>(&mut self, input: &'a [u8]) -> Result<Option<&'a [u8]>, ChunkFault> {
        if let Some(rest) = input.strip_prefix(LINE_END) {
            self.state = State::Size;
            return Ok(Some(rest));
        }
        if LINE_END.starts_with(input) {
            Ok(None)
        } else {
            Err(ChunkFault::Malformed("end of a chunk"))
        }
    }

    /// Splits the first line off; `None` if it isn't complete.
    fn line<'a>(&self, input: &'a [u8]) -> Result<Option<Line<'a>>, ChunkFault> {
        let longest = MAX_DIGITS + self.extra;
        let Some(end) = input.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
            return if input.len() > longest {
                Err(ChunkFault::TooLarge)
            } else {
                Ok(None)
            };
        };
        let (text, rest) = input.split_at(end);
        match rest.strip_prefix(LINE_END) {
            Some(rest) => Ok(Some(Line { rest, text })),
            None if LINE_END.starts_with(rest) => Ok(None),
            None => Err(ChunkFault::Malformed("end of a line")),
        }
    }

    fn begin_chunk(&mut self, line: &[u8]) -> Result<(), ChunkFault> {
        let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
        let (digits, extension) = line.split_at(digits.count());
        self.drop_extension(extension)?;
        let digits = std::str::from_utf8(digits).ok();
        let size = digits
            .filter(|text| text.len() <= MAX_DIGITS)
            .and_then(|text| usize::from_str_radix(text, 16).ok())
            .ok_or(ChunkFault::Malformed("size"))?;
        self.room = self.room.checked_sub(size).ok_or(ChunkFault::TooLarge)?;
        self.state = match size {
            0 => State::Trailers,
            left => State::Data { left },
        };
        Ok(())
    }

    /// An extension begins with a semicolon, which white space may precede.
    fn drop_extension(&mut self, extension: &[u8]) -> Result<(), ChunkFault> {
        let begun = extension.trim_ascii_start();
        let valid = extension.is_empty() || begun.starts_with(b";") && is_text(extension);
        if !valid {
            return Err(ChunkFault::Malformed("extension"));
        }
        self.use_extra(extension.len())
    }

    fn end_or_drop_trailer(&mut self, line: &[u8]) -> Result<(), ChunkFault> {
        if line.is_empty() {
            self.state = State::Done;
            return Ok(());
        }
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let named =
            name.len() < line.len() && !name.is_empty() && name.iter().copied().all(is_name);
        if !named || !is_text(line) {
            return Err(ChunkFault::Malformed("trailer field"));
        }
        self.use_extra(line.len())
    }

    fn use_extra(&mut self, length: usize) -> Result<(), ChunkFault> {
        self.extra = self.extra.checked_sub(length).ok_or(ChunkFault::TooLarge)?;
        Ok(())
    }
}

/// Whether a byte may be in the name of a field.
fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text(line: &[u8]) -> bool {
    line.iter()
        .all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}
