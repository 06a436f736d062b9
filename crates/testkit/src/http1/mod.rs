//! HTTP/1.1 for the fakes and the load generator.
//!
//! Invariant: a message is returned only after its head and complete body were received.

mod blocking;
mod codec;
mod connection;
mod serve;

pub use blocking::{BlockingError, exchange_once, json_once};
pub use codec::{Coding, Fault, encode_answer, encode_request, parse_answer, parse_request};
pub use connection::Connection;
pub use serve::{answer, listen, query_number};
