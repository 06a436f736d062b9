//! HTTP/1.1 messages on TCP connections.
//!
//! Rules:
//! - a head is checked for ambiguous framing before the `monoio-http` decoder parses it;
//! - only complete messages are returned; a truncated message is an error;
//! - hop-by-hop headers are never forwarded from one connection to another.

mod convert;
mod limits;
mod persistence;
mod reader;
mod stream;
mod writer;

pub use convert::{
    HttpMessage, encode_answer, encode_request, from_answer_head, from_request_head, header_text,
};
pub use limits::{Limits, ReadFault};
pub use persistence::{answer_keeps_open, request_keeps_open};
pub use reader::HttpReader;
pub(crate) use reader::take_front;
pub use stream::HttpStream;
pub use writer::HttpWriter;
