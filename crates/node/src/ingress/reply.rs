//! Answers to callers, by outcome of the call or by fault of the request.

use std::time::Duration;

use hawthornwall_core::outcome::{Loss, Outcome, Refusal};
use hawthornwall_wire::head::HeadFault;
use hawthornwall_wire::peer::{Header, HttpAnswer};
use http::Method;

use crate::dialect::Dialect;
use crate::http::{HttpMessage, ReadFault, encode_answer};

/// An answer to a caller, with the headers that the daemon adds.
#[derive(Debug)]
pub(super) struct Reply {
    answer: HttpAnswer,
    extra: Vec<Header>,
    outcome: Outcome,
}

impl Reply {
    /// Forwards an answer of a target.
    pub fn answered(answer: HttpAnswer, target: &str) -> Self {
        let extra = vec![
            header("hawthornwall-outcome", Outcome::Answered.name()),
            header("hawthornwall-target", target),
        ];
        Self {
            answer,
            extra,
            outcome: Outcome::Answered,
        }
    }

    /// Returns an issued idempotency key to the caller.
    pub fn issued(key: &str) -> Self {
        let body = format!("{{\"key\":\"{key}\"}}\n").into_bytes().into();
        let extra = vec![
            header("hawthornwall-outcome", Outcome::Answered.name()),
            header("cache-control", "no-store"),
            header("content-type", "application/json"),
        ];
        Self {
            answer: HttpAnswer {
                body,
                headers: Vec::new(),
                status: 201,
            },
            extra,
            outcome: Outcome::Answered,
        }
    }

    /// Adds the caller's request id to an answer that lacks it.
    pub fn echo_request_id(&mut self, name: Option<&str>, id: &str) {
        let Some(name) = name.filter(|_| !id.is_empty()) else {
            return;
        };
        if !self.answer.headers.iter().any(|h| h.name == name) {
            self.extra.push(header(name, id));
        }
    }

    /// Outcome of the call as stated in the answer.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Creates the answer for a call that ended without an answer from a target.
    pub fn unanswered(outcome: Outcome) -> Self {
        Self::error(status_of(outcome), outcome, explanation(outcome))
    }

    /// Tells the caller of a refused request when to send it again, if that can help.
    pub fn set_retry_after(&mut self, delay: impl FnOnce(Refusal) -> Duration, dialect: Dialect) {
        let Outcome::Refused(refusal) = self.outcome else {
            return;
        };
        if matches!(self.answer.status, 429 | 503) {
            let seconds = dialect.retry_after(delay(refusal));
            self.extra.push(header("retry-after", &seconds));
        }
    }

    fn error(status: u16, outcome: Outcome, text: &str) -> Self {
        let body = format!("{text}\n").into_bytes().into();
        let extra = vec![
            header("hawthornwall-outcome", outcome.name()),
            header("hawthornwall-reason", outcome.reason().unwrap_or_default()),
            header("content-type", "text/plain; charset=utf-8"),
        ];
        Self {
            answer: HttpAnswer {
                body,
                headers: Vec::new(),
                status,
            },
            extra,
            outcome,
        }
    }

    /// Length of the body, in bytes.
    pub fn body_length(&self) -> usize {
        self.answer.body.len()
    }

    /// Encodes the answer to a request of the given method; `close` announces that the connection
    /// closes after it.
    pub fn encode(&self, method: &Method, close: bool) -> HttpMessage {
        encode_answer(&self.answer, method, &self.extra, close)
    }
}

/// Creates the answer to a request that couldn't be read; `None` if the connection has failed or
/// has been idle for too long.
pub(super) fn for_read_fault(fault: &ReadFault) -> Option<Reply> {
    let (status, refusal) = match fault {
        ReadFault::Closed | ReadFault::Incomplete | ReadFault::Idle | ReadFault::Io(_) => {
            return None;
        }
        ReadFault::Head(HeadFault::TooLarge) => (431, Refusal::TooLarge),
        ReadFault::Head(
            HeadFault::BothLengths
            | HeadFault::Folded
            | HeadFault::Host
            | HeadFault::Length
            | HeadFault::Malformed(_)
            | HeadFault::TransferCoding,
        )
        | ReadFault::Malformed(_) => (400, Refusal::Malformed),
        ReadFault::Memory => {
            return Some(Reply::unanswered(Outcome::Refused(Refusal::Memory)));
        }
        ReadFault::TooLarge => (413, Refusal::TooLarge),
    };
    let text = format!("The request was not run: {fault}.");
    Some(Reply::error(status, Outcome::Refused(refusal), &text))
}

fn status_of(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Answered => 200,
        Outcome::Failed(Loss::Expired) | Outcome::Unknown(Loss::Expired) => 504,
        Outcome::Failed(_) | Outcome::Unknown(_) => 502,
        Outcome::Refused(Refusal::UnknownService) => 404,
        Outcome::Refused(Refusal::KeyInvalid | Refusal::Malformed) => 400,
        Outcome::Refused(Refusal::TooLarge) => 413,
        Outcome::Refused(Refusal::KeyMismatch) => 422,
        Outcome::Refused(Refusal::Overload) => 429,
        Outcome::Refused(
            Refusal::Budget
            | Refusal::Cancelled
            | Refusal::Cold
            | Refusal::Dependency
            | Refusal::Down
            | Refusal::Draining
            | Refusal::Evacuated
            | Refusal::Expired
            | Refusal::Full
            | Refusal::Link
            | Refusal::Memory
            | Refusal::Misdirected
            | Refusal::NoTarget
            | Refusal::NotReady
            | Refusal::PeerLink
            | Refusal::Shed
            | Refusal::Stopping
            | Refusal::Strained
            | Refusal::Unreachable
            | Refusal::WrongTarget,
        ) => 503,
    }
}

fn explanation(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "",
        Outcome::Failed(_) => {
            "No whole answer arrived. The request is idempotent, so repeating it is harmless."
        }
        Outcome::Refused(Refusal::KeyInvalid) => {
            "The request was not run: the Idempotency-Key was not issued here. \
             Get one with POST /.hawthornwall/keys/<service>."
        }
        Outcome::Refused(Refusal::KeyMismatch) => {
            "The request was not run: the Idempotency-Key belongs to another request."
        }
        Outcome::Refused(Refusal::UnknownService) => {
            "The request was not run: no service has this host name or first path segment."
        }
        Outcome::Refused(_) => "The request was not run.",
        Outcome::Unknown(Loss::KeyForgotten) => {
            "The request may have run once and will not run again: the daemon that knew its \
             Idempotency-Key is gone. Look up its effect at the service."
        }
        Outcome::Unknown(Loss::KeyUnreachable) => {
            "The request may have run. Repeat it with the same Idempotency-Key."
        }
        Outcome::Unknown(_) => {
            "The request may have run and was not sent again. Look up its effect at the service \
             before repeating it."
        }
    }
}

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    }
}
