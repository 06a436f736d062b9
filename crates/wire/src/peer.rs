//! Messages between daemons. Each request and each reply is one postcard value on a stream that is
//! closed with FIN. The order of fields and variants is part of the format.
//!
//! Invariant: a reply to a run request contains the id of that request, so that an answer can't
//! reach the wrong caller.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornwall_core::catalog::{StorePosition, UpdateHead, UpdatePayload};
use hawthornwall_core::config::{Configuration, Patch};
pub use hawthornwall_core::ids::RequestId;
use hawthornwall_core::ids::{InstanceId, ServiceId, TargetId, Version};
use hawthornwall_core::keys::Key;
use hawthornwall_core::load::LoadReport;
use hawthornwall_core::members::Comparison;
use hawthornwall_core::outcome::{Loss, Refusal};
use hawthornwall_core::units::Micros;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::head::FINAL_STATUSES;

/// An HTTP header. Its value need not be UTF-8.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

/// A caller's HTTP request without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HttpRequest {
    /// The complete body.
    pub body: Vec<u8>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query string.
    pub path: String,
}

/// A target's HTTP answer without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HttpAnswer {
    /// The complete body.
    pub body: Vec<u8>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Status code, one of [`FINAL_STATUSES`].
    pub status: u16,
}

/// A request to run at the local target of the receiving daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest {
    /// Name of the only target that may run the request; `None` if targets don't check their name.
    pub expected_target: Option<String>,
    /// The caller's request.
    pub http: HttpRequest,
    /// Idempotency key of the request; `None` if it has none.
    pub key: Option<Key>,
    /// Time left until the deadline.
    #[serde_as(as = "Micros")]
    pub time_left: Duration,
    /// Whether the request must not run twice although it has no key. The receiver then records its
    /// id to detect a repeat.
    pub run_once: bool,
    /// Latency objective of the route; zero if it has none.
    #[serde_as(as = "Micros")]
    pub objective: Duration,
    /// Maximum estimated queueing delay that the sender accepts. It is shorter where the sender has
    /// another target to try.
    #[serde_as(as = "Micros")]
    pub max_wait: Duration,
    /// Rank of the request's route; 0 starts first.
    pub rank: u8,
    /// Instance that the first attempt may have reached, if this is a repeat after a lost
    /// connection; `None` for a first attempt. Any other instance has no record of whether the
    /// request ran.
    pub first_instance: Option<InstanceId>,
    /// Service that the request is for.
    pub service: ServiceId,
    /// The target that the sender chose.
    pub target: TargetId,
    /// `traceparent` header with the sender's span; `None` if the request isn't traced.
    pub trace: Option<String>,
    /// Time left to meet the latency objective: zero if it has passed, `None` if it is unknown.
    #[serde_as(as = "Option<Micros>")]
    pub objective_left: Option<Duration>,
}

/// State of one side, with the updates that the other side is known to lack.
///
/// The sender continues with another request as long as a reply shows a difference.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The complete configuration, if the patches that the other side lacks are no longer kept.
    pub checkpoint: Option<Configuration>,
    /// Digest of the configuration in force at the sender.
    pub digest: u64,
    /// Address at which peers reach the sending daemon; `None` if the message doesn't contain it.
    pub from: Option<SocketAddr>,
    /// Digests and entries with which both sides compare their member tables.
    pub members: Comparison,
    /// Patches that follow the version of the other side.
    #[serde(with = "patch_texts")]
    pub patches: Vec<Patch>,
    /// Version of the configuration in force at the sender.
    pub version: Version,
}

/// Encodes each patch as a JSON string: the serde attributes of patches need a self-describing
/// format, which postcard isn't.
mod patch_texts {
    use hawthornwall_core::config::Patch;
    use serde::de::Error as _;
    use serde::ser::Error as _;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(patches: &[Patch], out: S) -> Result<S::Ok, S::Error> {
        let texts: Result<Vec<_>, _> = patches.iter().map(serde_json::to_string).collect();
        texts.map_err(S::Error::custom)?.serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Patch>, D::Error> {
        let texts = Vec::<String>::deserialize(input)?;
        let patches = texts.iter().map(|text| serde_json::from_str(text));
        patches.collect::<Result<_, _>>().map_err(D::Error::custom)
    }
}

/// Contents of the store that the requesting daemon lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// Revision and age of the contents.
    pub head: UpdateHead,
    /// Changes since the requester's position, or the complete contents unless they are too large.
    pub payload: UpdatePayload,
}

/// A large body that the sender wants to send, with what decides on its admission.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyOffer {
    /// Maximum queueing delay that the sender accepts; see [`RunRequest::max_wait`].
    #[serde_as(as = "Micros")]
    pub max_wait: Duration,
    /// Latency objective of the route; zero if it has none.
    #[serde_as(as = "Micros")]
    pub objective: Duration,
    /// Time left to meet the latency objective: zero if it has passed, `None` if it is unknown.
    #[serde_as(as = "Option<Micros>")]
    pub objective_left: Option<Duration>,
    /// Rank of the request's route.
    pub rank: u8,
    /// Size of the body in bytes.
    pub size: u64,
    /// Time left until the deadline.
    #[serde_as(as = "Micros")]
    pub time_left: Duration,
}

/// A request from one daemon to another. Builds before a variant was added can't decode it and close the
/// connection; new variants go last.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// Get the store contents after a position. The reply is delayed until the receiver has any.
    StoreUpdate(StorePosition),
    /// Compare configuration and membership and exchange what either side lacks.
    Exchange(Box<Exchange>),
    /// Issue an idempotency key for the receiver's local target.
    IssueKey {
        /// Identifies the request.
        id: RequestId,
        /// Service that the key is for.
        service: ServiceId,
        /// The target that the sender chose.
        target: TargetId,
    },
    /// Run a request at the receiver's local target.
    Run(RequestId, Box<RunRequest>),
    /// Ask for permission to send a request with a large body on the same connection. The reply is delayed
    /// until the receiver's link has room.
    OfferBody(RequestId, BodyOffer),
}

/// Result of [`Request::Run`] or [`Request::IssueKey`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunResult {
    /// The target's complete answer.
    Answered(HttpAnswer),
    /// The idempotency key that was issued.
    KeyIssued(Key),
    /// The request may have run, but there is no answer.
    Lost(Loss),
    /// The request was not run.
    Refused(Refusal),
}

/// Reply to [`Request::Run`] or [`Request::IssueKey`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReply {
    /// Result of the request.
    pub result: RunResult,
    /// Time from the request's arrival at the daemon to this reply.
    #[serde_as(as = "Micros")]
    pub held: Duration,
    /// Id of the request, as sent.
    pub id: RequestId,
    /// Load of the target when the reply was created.
    pub report: LoadReport,
}

/// A reply from one daemon to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Reply to [`Request::Exchange`].
    Exchange(Box<Exchange>),
    /// Reply to [`Request::StoreUpdate`].
    StoreUpdate(Box<StoreUpdate>),
    /// Reply to [`Request::Run`] and [`Request::IssueKey`], and to a refused [`Request::OfferBody`].
    Run(Box<RunReply>),
    /// The body of [`Request::OfferBody`] may be sent.
    BodyGranted(RequestId),
}

/// Received bytes that are not a message of the expected type, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed peer message: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a request.
///
/// # Panics
///
/// Never: no message holds a type that postcard can't encode.
pub fn encode_request(request: &Request) -> Vec<u8> {
    postcard::to_stdvec(request).expect("peer messages hold only types that postcard encodes")
}

/// Encodes a reply.
///
/// # Panics
///
/// Never: no message holds a type that postcard can't encode.
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    postcard::to_stdvec(reply).expect("peer messages hold only types that postcard encodes")
}

/// Decodes a request.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one request.
pub fn decode_request(bytes: &[u8]) -> Result<Request, DecodeError> {
    decode(postcard::take_from_bytes(bytes))
}

/// Decodes a reply.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one reply, or if the status of an answer isn't one of
/// [`FINAL_STATUSES`].
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, DecodeError> {
    let reply = decode(postcard::take_from_bytes(bytes))?;
    if let Reply::Run(run) = &reply
        && let RunResult::Answered(HttpAnswer { status, .. }) = run.result
        && !FINAL_STATUSES.contains(&status)
    {
        return Err(DecodeError(format!("status {status}")));
    }
    Ok(reply)
}

fn decode<T>(taken: Result<(T, &[u8]), postcard::Error>) -> Result<T, DecodeError> {
    let (value, rest) = taken.map_err(|e| DecodeError(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError(format!(
            "{} extra bytes after the message",
            rest.len()
        )))
    }
}
