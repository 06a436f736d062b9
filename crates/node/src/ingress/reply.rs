//! What a caller is answered, for each outcome and each fault of its request.

use hawthornwall_core::outcome::{Loss, Outcome, Refusal};
use hawthornwall_wire::head::HeadFault;
use hawthornwall_wire::peer::{Header, HttpAnswer};
use http::Method;

use crate::http::{ReadFault, encode_answer};

/// Seconds after which a refused request may be worth repeating.
const RETRY_AFTER_SECONDS: &str = "1";

/// An answer and the headers that the daemon adds to it.
#[derive(Debug)]
pub(super) struct Reply {
    answer: HttpAnswer,
    extra: Vec<Header>,
    outcome: Outcome,
}

impl Reply {
    /// The target's answer.
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

    /// An issued idempotency key.
    pub fn issued(key: &str) -> Self {
        let body = format!("{{\"key\":\"{key}\"}}\n").into_bytes();
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

    /// Repeats the caller's id on an answer that doesn't carry it.
    pub fn repeat_id(&mut self, name: Option<&str>, id: &str) {
        let Some(name) = name.filter(|_| !id.is_empty()) else {
            return;
        };
        if !self.answer.headers.iter().any(|h| h.name == name) {
            self.extra.push(header(name, id));
        }
    }

    /// What the caller is told.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// A call that ended without an answer.
    pub fn unanswered(outcome: Outcome) -> Self {
        let status = status_of(outcome);
        let mut reply = Self::error(status, outcome, explain(outcome));
        let repeatable = matches!(outcome, Outcome::Refused(_)) && matches!(status, 429 | 503);
        reply
            .extra
            .extend(repeatable.then(|| header("retry-after", RETRY_AFTER_SECONDS)));
        reply
    }

    fn error(status: u16, outcome: Outcome, text: &str) -> Self {
        let body = format!("{text}\n").into_bytes();
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

    /// The whole answer as bytes.
    pub fn encode(&self, method: &Method, close: bool) -> Vec<u8> {
        encode_answer(&self.answer, method, &self.extra, close)
    }
}

/// The answer to a request that can't be read; `None` if the connection is of no more use.
pub(super) fn of_read_fault(fault: &ReadFault) -> Option<Reply> {
    let (status, refusal) = match fault {
        ReadFault::Closed | ReadFault::Cut | ReadFault::Idle | ReadFault::Io(_) => return None,
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
            | Refusal::Down
            | Refusal::Draining
            | Refusal::Expired
            | Refusal::Full
            | Refusal::NoTarget
            | Refusal::NotReady
            | Refusal::Shed
            | Refusal::Strained
            | Refusal::Unreachable
            | Refusal::WrongTarget,
        ) => 503,
    }
}

fn explain(outcome: Outcome) -> &'static str {
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
