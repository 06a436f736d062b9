//! Messages between daemons: one postcard value each way on a stream that FIN ends.
//!
//! Invariant: a reply repeats the id of its request, so an answer can't reach another caller.

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

/// An HTTP header as text and bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A caller's HTTP request without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HttpRequest {
    /// The whole body.
    pub body: Vec<u8>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
}

/// A target's HTTP answer without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HttpAnswer {
    /// The whole body.
    pub body: Vec<u8>,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Status code.
    pub status: u16,
}

/// A request to run at the target beside the receiving daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Name that the target must have, if it checks that.
    pub expect: Option<String>,
    /// The caller's request.
    pub http: HttpRequest,
    /// Idempotency key.
    pub key: Option<Key>,
    /// Time left until the deadline.
    #[serde_as(as = "Micros")]
    pub left: Duration,
    /// Whether the request must not run twice although it has no key. The receiver then remembers
    /// its id.
    pub once: bool,
    /// Time within which the answer is worth most.
    #[serde_as(as = "Micros")]
    pub objective: Duration,
    /// Longest wait for a slot that the sender prefers to another target.
    #[serde_as(as = "Micros")]
    pub max_wait: Duration,
    /// Rank of the request's route, 0 first.
    pub rank: u8,
    /// For a repeat after a lost connection: the run that the first sending may have reached. Any
    /// other run doesn't know whether the request has run.
    pub repeat: Option<InstanceId>,
    /// The service.
    pub service: ServiceId,
    /// The target that the sender chose.
    pub target: TargetId,
    /// `traceparent` of the sender's span, if the request is traced.
    pub trace: Option<String>,
    /// How much longer its answer is in time; zero for one that is late already.
    #[serde_as(as = "Option<Micros>")]
    pub objective_left: Option<Duration>,
}

/// One side's versions, and what the other side lacks as far as it is known.
///
/// An exchange goes on with another request as long as a reply shows a difference.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The whole configuration, if the patches that the other side lacks are no longer kept.
    pub checkpoint: Option<Configuration>,
    /// Digest of the configuration in force.
    pub digest: u64,
    /// Address of the sending daemon for peers.
    pub from: Option<SocketAddr>,
    /// The sender's part of comparing the tables of members.
    pub members: Comparison,
    /// Patches that follow the version the other side named.
    #[serde(with = "patch_texts")]
    pub patches: Vec<Patch>,
    /// Version in force.
    pub version: Version,
}

/// Patches as JSON texts: a patch is a document for people, whose form postcard can't decode.
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

/// What a daemon knows of the store's contents beyond what the asking one does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// How fresh they are.
    pub head: UpdateHead,
    /// What the asking daemon lacks.
    pub payload: UpdatePayload,
}

/// What one daemon asks of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// Tell what the store holds beyond this, as soon as anything newer is known.
    Ask(StorePosition),
    /// Compare configuration and membership.
    Exchange(Box<Exchange>),
    /// Issue an idempotency key for the target beside you.
    Issue {
        /// Identifies the request.
        id: RequestId,
        /// The service.
        service: ServiceId,
        /// The target that the sender chose.
        target: TargetId,
    },
    /// Run a request at the target beside you.
    Run(RequestId, Box<Run>),
}

/// How a request to run ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The target's whole answer.
    Answered(HttpAnswer),
    /// A key, for a request to issue one.
    Issued(Key),
    /// It may have run.
    Lost(Loss),
    /// It was not run.
    Refused(Refusal),
}

/// A reply to [`Request::Run`] or [`Request::Issue`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReply {
    /// The end.
    pub end: RunEnd,
    /// How long the daemon held the request.
    #[serde_as(as = "Micros")]
    pub held: Duration,
    /// The id of the request.
    pub id: RequestId,
    /// Load of the target.
    pub report: LoadReport,
}

/// What one daemon replies to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// To [`Request::Exchange`].
    Exchange(Box<Exchange>),
    /// To [`Request::Ask`].
    News(Box<News>),
    /// To [`Request::Run`] and [`Request::Issue`].
    Run(Box<RunReply>),
}

/// Bytes that are no message of the expected type.
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
/// If the bytes are not exactly one request.
pub fn decode_request(bytes: &[u8]) -> Result<Request, DecodeError> {
    decode(postcard::take_from_bytes(bytes))
}

/// Decodes a reply.
///
/// # Errors
///
/// If the bytes are not exactly one reply.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, DecodeError> {
    decode(postcard::take_from_bytes(bytes))
}

fn decode<T>(taken: Result<(T, &[u8]), postcard::Error>) -> Result<T, DecodeError> {
    let (value, rest) = taken.map_err(|e| DecodeError(e.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError(format!("{} bytes too many", rest.len())))
    }
}
