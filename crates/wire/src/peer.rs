//! Messages between daemons. Each request and each reply is one postcard value on a stream that is
//! closed with FIN. The order of fields and variants is part of the format.
//!
//! Bodies are shared, not copied: a decoded message refers to the bytes that it was decoded from, and an encoded
//! message refers to the body of the original. `B` is the type of a body, which is a view only during decoding.
//!
//! Invariant: a reply to a run request contains the id of that request, so that an answer can't
//! reach the wrong caller.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
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
pub struct HttpRequest<B = Bytes> {
    /// The complete body.
    pub body: B,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query string.
    pub path: String,
}

/// A target's HTTP answer without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HttpAnswer<B = Bytes> {
    /// The complete body.
    pub body: B,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Status code, one of [`FINAL_STATUSES`].
    pub status: u16,
}

/// A request to run at the local target of the receiving daemon.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest<B = Bytes> {
    /// Name of the only target that may run the request; `None` if targets don't check their name.
    pub expected_target: Option<String>,
    /// The caller's request.
    pub http: HttpRequest<B>,
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
pub enum Request<B = Bytes> {
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
    Run(RequestId, Box<RunRequest<B>>),
    /// Ask for permission to send a request with a large body on the same connection. The reply is delayed
    /// until the receiver's link has room.
    OfferBody(RequestId, BodyOffer),
}

/// Result of [`Request::Run`] or [`Request::IssueKey`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunResult<B = Bytes> {
    /// The target's complete answer.
    Answered(HttpAnswer<B>),
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
pub struct RunReply<B = Bytes> {
    /// Result of the request.
    pub result: RunResult<B>,
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
pub enum Reply<B = Bytes> {
    /// Reply to [`Request::Exchange`].
    Exchange(Box<Exchange>),
    /// Reply to [`Request::StoreUpdate`].
    StoreUpdate(Box<StoreUpdate>),
    /// Reply to [`Request::Run`] and [`Request::IssueKey`], and to a refused [`Request::OfferBody`].
    Run(Box<RunReply<B>>),
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

/// An encoded message, whose body is shared with the original.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MessageParts {
    /// Everything before the body.
    pub head: Vec<u8>,
    /// The body; empty if the message has none.
    pub body: Bytes,
    /// Everything after the body.
    pub tail: Vec<u8>,
}

impl MessageParts {
    /// Length of the whole message, in bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }

    /// Whether the message is empty, which no message of a daemon is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Encodes a request without copying its body.
///
/// # Panics
///
/// Never: no message holds a type that postcard can't encode.
pub fn request_parts(request: &Request) -> MessageParts {
    let body = match request {
        Request::Run(_, run) => run.http.body.clone(),
        Request::Exchange(_)
        | Request::IssueKey { .. }
        | Request::OfferBody(..)
        | Request::StoreUpdate(_) => Bytes::new(),
    };
    parts(request, body)
}

/// Encodes a reply without copying its body.
///
/// # Panics
///
/// Never: no message holds a type that postcard can't encode.
pub fn reply_parts(reply: &Reply) -> MessageParts {
    let body = match reply {
        Reply::Run(run) => match &run.result {
            RunResult::Answered(answer) => answer.body.clone(),
            RunResult::KeyIssued(_) | RunResult::Lost(_) | RunResult::Refused(_) => Bytes::new(),
        },
        Reply::BodyGranted(_) | Reply::Exchange(_) | Reply::StoreUpdate(_) => Bytes::new(),
    };
    parts(reply, body)
}

fn parts<T: Serialize>(message: &T, body: Bytes) -> MessageParts {
    let gathering = Gathering {
        body,
        head: Vec::new(),
        tail: None,
    };
    let encoded = postcard::serialize_with_flavor(message, gathering);
    encoded.expect("peer messages hold only types that postcard encodes")
}

/// Collects an encoded message and leaves out its body.
struct Gathering {
    body: Bytes,
    head: Vec<u8>,
    /// Everything after the body; `None` before it.
    tail: Option<Vec<u8>>,
}

impl Gathering {
    /// Whether these bytes are the body itself, not equal ones elsewhere in the message.
    fn is_body(&self, data: &[u8]) -> bool {
        !data.is_empty() && std::ptr::eq(data, &raw const *self.body)
    }

    fn current(&mut self) -> &mut Vec<u8> {
        self.tail.as_mut().unwrap_or(&mut self.head)
    }
}

impl postcard::ser_flavors::Flavor for Gathering {
    type Output = MessageParts;

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        if self.is_body(data) {
            self.tail = Some(Vec::new());
        } else {
            self.current().extend_from_slice(data);
        }
        Ok(())
    }

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.current().push(data);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<MessageParts> {
        let Self { body, head, tail } = self;
        Ok(MessageParts {
            body: tail.as_ref().map_or_else(Bytes::new, |_| body),
            head,
            tail: tail.unwrap_or_default(),
        })
    }
}

/// Decodes a request, whose body refers to `frame`.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one request.
pub fn decode_request(frame: &Bytes) -> Result<Request, DecodeError> {
    let request: Request<&[u8]> = decode(postcard::take_from_bytes(frame))?;
    Ok(match request {
        Request::StoreUpdate(position) => Request::StoreUpdate(position),
        Request::Exchange(exchange) => Request::Exchange(exchange),
        Request::IssueKey {
            id,
            service,
            target,
        } => Request::IssueKey {
            id,
            service,
            target,
        },
        Request::OfferBody(id, offer) => Request::OfferBody(id, offer),
        Request::Run(id, run) => Request::Run(id, Box::new(run.within(frame))),
    })
}

/// Decodes a reply, whose body refers to `frame`.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one reply, or if the status of an answer isn't one of
/// [`FINAL_STATUSES`].
pub fn decode_reply(frame: &Bytes) -> Result<Reply, DecodeError> {
    let reply: Reply<&[u8]> = decode(postcard::take_from_bytes(frame))?;
    if let Reply::Run(run) = &reply
        && let RunResult::Answered(HttpAnswer { status, .. }) = run.result
        && !FINAL_STATUSES.contains(&status)
    {
        return Err(DecodeError(format!("status {status}")));
    }
    Ok(match reply {
        Reply::Exchange(exchange) => Reply::Exchange(exchange),
        Reply::StoreUpdate(update) => Reply::StoreUpdate(update),
        Reply::BodyGranted(id) => Reply::BodyGranted(id),
        Reply::Run(run) => Reply::Run(Box::new(run.within(frame))),
    })
}

impl RunRequest<&[u8]> {
    /// Refers to the frame that the request was decoded from.
    fn within(self, frame: &Bytes) -> RunRequest {
        RunRequest {
            expected_target: self.expected_target,
            http: HttpRequest {
                body: frame.slice_ref(self.http.body),
                headers: self.http.headers,
                method: self.http.method,
                path: self.http.path,
            },
            key: self.key,
            time_left: self.time_left,
            run_once: self.run_once,
            objective: self.objective,
            max_wait: self.max_wait,
            rank: self.rank,
            first_instance: self.first_instance,
            service: self.service,
            target: self.target,
            trace: self.trace,
            objective_left: self.objective_left,
        }
    }
}

impl RunReply<&[u8]> {
    /// Refers to the frame that the reply was decoded from.
    fn within(self, frame: &Bytes) -> RunReply {
        let result = match self.result {
            RunResult::Answered(answer) => RunResult::Answered(HttpAnswer {
                body: frame.slice_ref(answer.body),
                headers: answer.headers,
                status: answer.status,
            }),
            RunResult::KeyIssued(key) => RunResult::KeyIssued(key),
            RunResult::Lost(loss) => RunResult::Lost(loss),
            RunResult::Refused(refusal) => RunResult::Refused(refusal),
        };
        RunReply {
            result,
            held: self.held,
            id: self.id,
            report: self.report,
        }
    }
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
