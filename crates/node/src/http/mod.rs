//! HTTP/1.1 messages on TCP connections that a task owns.
//!
//! Rules kept here:
//! - a head is checked for ambiguous framing before the library decodes it;
//! - a message is delivered only whole; a message that ends early is a fault;
//! - hop-by-hop headers never pass from one connection to another.

mod convert;
mod stream;

pub use convert::{
    encode_answer, encode_request, from_answer_head, from_request_head, header_text,
};
pub use stream::{HttpStream, Limits, ReadFault};
