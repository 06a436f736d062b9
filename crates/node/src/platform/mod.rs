//! Reads from the platform's services: one task for each endpoint, which owns one connection.
//!
//! Invariants:
//! - a reader has at most one request in flight, and reads only on request of `control`;
//! - an incomplete response is discarded as a whole;
//! - a connection is closed after an error or a timeout, and the next read opens another.

mod connection;
pub mod store;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_core::config::Document;
use hawthornwall_core::gossip::Endpoint;
use hawthornwall_wire::document::{DOCUMENT_LIMIT, DocumentError, parse_document};
use hawthornwall_wire::instances::{InstanceList, parse_instances};

use self::connection::{Connection, Response};
use crate::messages::{ControlMessage, ControlSender};

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for a response beyond the requested wait.
///
/// The platform responds within milliseconds; the remainder allows for the transfer of 1 MB.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);

/// The content that a successful read returned.
#[derive(Clone, Debug)]
pub enum Published {
    /// A configuration document.
    Config(Box<Document>),
    /// A list of instances.
    Instances(InstanceList),
    /// The platform has nothing newer than the last read.
    Unchanged,
}

/// Why a read failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadFault {
    /// The connection broke, or the response was malformed or incomplete.
    Broken(String),
    /// The content can't be parsed as a configuration document or an instance list.
    Content(String),
    /// A part of the response arrived, but not all of it within the timeout.
    Late,
    /// The connection wasn't opened, or no response arrived, within the timeout.
    Silent,
    /// The status of the response was neither 200 nor 304.
    Status(u16),
    /// The response is longer than is accepted.
    TooLong,
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(what) => write!(f, "the connection broke: {what}"),
            Self::Content(what) => write!(f, "the content is malformed: {what}"),
            Self::Late => f.write_str("only a part of the response arrived in time"),
            Self::Silent => f.write_str("no response in time"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::TooLong => f.write_str("the response is too long"),
        }
    }
}

/// The result of one read.
#[derive(Clone, Debug)]
pub struct ReadEnd {
    /// The endpoint that was read.
    pub endpoint: Endpoint,
    /// The content, or why the read failed.
    pub result: Result<Published, ReadFault>,
}

/// Requests one read from a reader.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// Longest time that the platform holds the request open until something newer is published.
    pub wait: Duration,
}

/// Dependencies and settings of a reader.
#[derive(Debug)]
pub struct ReaderStart {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Receives the results.
    pub control: ControlSender,
    /// The endpoint to read.
    pub endpoint: Endpoint,
    /// Read requests from `control`.
    pub requests: mpsc::UnboundedReceiver<ReadRequest>,
}

/// Reads one endpoint once for each request, until `control` ends.
pub async fn run(start: ReaderStart) {
    let ReaderStart {
        address,
        control,
        endpoint,
        mut requests,
    } = start;
    let mut reader = Reader {
        address,
        connection: None,
        endpoint,
        last_revision: 0,
    };
    while let Some(request) = requests.next().await {
        let result = reader.read(request.wait).await;
        let end = ReadEnd { endpoint, result };
        if control
            .unbounded_send(ControlMessage::Platform(end))
            .is_err()
        {
            return;
        }
    }
}

struct Reader {
    address: SocketAddr,
    connection: Option<Connection>,
    endpoint: Endpoint,
    /// The last revision read; 0 before the first read and on a new connection.
    last_revision: u64,
}

impl Reader {
    async fn read(&mut self, wait: Duration) -> Result<Published, ReadFault> {
        if let Some(connection) = self.connection.take() {
            match self.read_from(connection, wait).await {
                // The platform may have closed the connection while it was idle.
                Err(ReadFault::Broken(_)) => {}
                result => return result,
            }
        }
        // The new connection may lead to another server, whose revisions may start again from 0.
        self.last_revision = 0;
        let connection = self.connect().await?;
        self.read_from(connection, wait).await
    }

    /// Reads once over `connection`, which is kept for the next read only after a complete response.
    async fn read_from(
        &mut self,
        mut connection: Connection,
        wait: Duration,
    ) -> Result<Published, ReadFault> {
        let (endpoint, since, wait_ms) = (self.endpoint, self.last_revision, wait.as_millis());
        let path = format!("/{endpoint}?since={since}&wait={wait_ms}");
        let exchange = connection.get(&path, self.address);
        let response = monoio::time::timeout(wait + RESPONSE_MARGIN, exchange).await;
        let response = response.map_err(|_| ReadFault::Silent)??;
        if response.reusable {
            self.connection = Some(connection);
        }
        self.accept(&response)
    }

    async fn connect(&self) -> Result<Connection, ReadFault> {
        let opened = monoio::time::timeout(
            CONNECT_TIMEOUT,
            Connection::open(self.address, DOCUMENT_LIMIT),
        )
        .await;
        opened.map_err(|_| ReadFault::Silent)?
    }

    fn accept(&mut self, response: &Response) -> Result<Published, ReadFault> {
        match response.status {
            200 => {
                // The revision is also kept for malformed content, which then isn't read again until the
                // platform publishes something newer.
                self.last_revision = response.revision.unwrap_or(0);
                self.parse(&response.body)
            }
            304 => Ok(Published::Unchanged),
            status => Err(ReadFault::Status(status)),
        }
    }

    fn parse(&self, body: &[u8]) -> Result<Published, ReadFault> {
        let content = |e: DocumentError| ReadFault::Content(e.to_string());
        match self.endpoint {
            Endpoint::Config => {
                let document = parse_document(body).map_err(content)?;
                Ok(Published::Config(Box::new(document)))
            }
            Endpoint::Instances => {
                let list = parse_instances(body).map_err(content)?;
                Ok(Published::Instances(list))
            }
        }
    }
}
