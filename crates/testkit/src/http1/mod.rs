//! HTTP/1.1 for the fakes and the load generator: whole messages only.
//!
//! Invariant: a message is handed on only when its head and its whole body have arrived.

mod blocking;
mod codec;
mod connection;
mod serve;

pub use blocking::{BlockingError, exchange_once, json_once};
pub use codec::{Coding, Fault, encode_answer, encode_request, parse_answer, parse_request};
pub use connection::Connection;
pub use serve::{answer, listen, query_number};
