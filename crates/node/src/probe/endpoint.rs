//! Reads of the target's load endpoint, or of its health endpoint if the target has no load endpoint.
//!
//! Invariant: a connection that holds bytes which belong to no answer isn't used again. A target may send an
//! answer twice, and each later read would get the answer to the read before it.

use bytes::Bytes;
use std::net::SocketAddr;

use futures::FutureExt;
use hawthornwall_wire::peer::HttpRequest;
use http::StatusCode;
use http::response::Parts as AnswerHead;
use monoio::net::TcpStream;
use serde::Deserialize;

use crate::dialect::Dialect;
use crate::http::{HttpStream, Limits, answer_keeps_open, encode_request};
use crate::messages::ProbeResult;
use crate::self_report::SelfReport;

/// Maximum number of interim answers before the answer to a check. Without a limit, a target that sends them
/// without pause would keep this task from doing anything else.
const MAX_INTERIM: usize = 16;

/// The used part of a load endpoint's response. Its occupancy is ignored: the gate counts that itself.
#[derive(Debug, Deserialize)]
struct LoadAnswer {
    state: String,
}

/// The target's endpoints and the connection to them, which is kept open since accepting a new one takes
/// time at the target.
#[derive(Debug)]
pub(super) struct Endpoint {
    address: SocketAddr,
    dialect: Dialect,
    limits: Limits,
    /// The first is read; a response status other than 200 swaps them.
    paths: [String; 2],
    stream: Option<HttpStream>,
}

impl Endpoint {
    pub fn new(address: SocketAddr, dialect: Dialect, paths: [&str; 2], limits: Limits) -> Self {
        Self {
            address,
            dialect,
            limits,
            paths: paths.map(str::to_owned),
            stream: None,
        }
    }

    /// Reads the endpoint once; `None` if the connection fails or the response is malformed.
    pub async fn read(&mut self) -> Option<ProbeResult> {
        let mut stream = match self.take_kept() {
            Some(open) => open,
            None => match TcpStream::connect_addr(self.address).await {
                Ok(tcp) => HttpStream::new(tcp, self.limits),
                Err(_) => {
                    return Some(ProbeResult {
                        draining: None,
                        reachable: false,
                        report: None,
                    });
                }
            },
        };
        let (head, body) = self.exchange(&mut stream).await?;
        let status = head.status;
        self.stream = Some(stream).filter(|_| answer_keeps_open(&head));
        if status != StatusCode::OK {
            self.paths.swap(0, 1);
        }
        let state = serde_json::from_slice(&body)
            .ok()
            .filter(|_| status == StatusCode::OK);
        let draining = state.map(|answer: LoadAnswer| answer.state == "draining");
        Some(ProbeResult {
            draining,
            reachable: true,
            report: Some(SelfReport::from_headers(self.dialect, &head.headers)),
        })
    }

    /// The kept connection, unless the target has closed it or sent more than its answers.
    fn take_kept(&mut self) -> Option<HttpStream> {
        let mut stream = self.stream.take()?;
        let quiet = stream.reader.readable_or_closed().now_or_never().is_none();
        quiet.then_some(stream)
    }

    async fn exchange(&self, stream: &mut HttpStream) -> Option<(AnswerHead, Bytes)> {
        let request = HttpRequest {
            body: Bytes::new(),
            headers: Vec::new(),
            method: "GET".to_owned(),
            path: self.paths[0].clone(),
        };
        let message = encode_request(&request, &self.address.to_string(), &[]);
        stream.writer.write(message).await.ok()?;
        // An interim answer says nothing about the target.
        for _ in 0..=MAX_INTERIM {
            let (head, framing) = stream.reader.read_answer_head().await.ok()?;
            if !head.status.is_informational() {
                let body = stream.reader.read_body(framing).await.ok()?;
                return Some((head, body));
            }
        }
        None
    }
}
