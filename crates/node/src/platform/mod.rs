//! Reads of the platform: one task for each endpoint, with one connection that it owns.
//!
//! Invariants:
//! - a reader never has more than one request in flight, and reads only when `control` asks;
//! - a response is accepted whole or not at all;
//! - a connection on which anything went wrong or silent is closed, and the next read opens another.

mod connection;
pub mod store;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use hawthornwall_core::config::Document;
use hawthornwall_core::gossip::Endpoint;
use hawthornwall_wire::document::{DocumentError, parse_document};
use hawthornwall_wire::instances::{InstanceList, parse_instances};

use self::connection::{Connection, Response};
use crate::messages::{ControlMessage, ControlSender};

/// Longest time for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time beyond the wait that a response may take; past it the connection counts as silent.
///
/// The platform responds within milliseconds; the rest allows for a value of 1 MB.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);

/// What a read found.
#[derive(Clone, Debug)]
pub enum Published {
    /// A configuration document.
    Config(Box<Document>),
    /// A list of instances.
    Instances(InstanceList),
    /// Nothing newer than the last read.
    Unchanged,
}

/// Why a read failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadFault {
    /// The connection broke, or the response was malformed or incomplete.
    Broken(String),
    /// The content is no document or list.
    Content(String),
    /// No response in time.
    Silent,
    /// A status other than 200 and 304.
    Status(u16),
}

impl fmt::Display for ReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(what) => write!(f, "the connection broke: {what}"),
            Self::Content(what) => write!(f, "the content is malformed: {what}"),
            Self::Silent => f.write_str("no response in time"),
            Self::Status(status) => write!(f, "status {status}"),
        }
    }
}

/// The end of one read.
#[derive(Clone, Debug)]
pub struct ReadEnd {
    /// What was read.
    pub endpoint: Endpoint,
    /// What it found.
    pub result: Result<Published, ReadFault>,
}

/// Asks a reader for one read that the platform may hold open for this long.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest {
    /// How long the platform waits for something newer.
    pub wait: Duration,
}

/// What a reader needs.
#[derive(Debug)]
pub struct ReaderStart {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Receives the results.
    pub control: ControlSender,
    /// What is read.
    pub endpoint: Endpoint,
    /// Requests of `control`.
    pub requests: mpsc::UnboundedReceiver<ReadRequest>,
}

/// Reads one endpoint each time `control` asks, until `control` ends.
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
        since: 0,
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
    since: u64,
}

impl Reader {
    async fn read(&mut self, wait: Duration) -> Result<Published, ReadFault> {
        if let Some(connection) = self.connection.take() {
            match self.read_on(connection, wait).await {
                // The platform may have closed the connection while it was idle.
                Err(ReadFault::Broken(_)) => {}
                result => return result,
            }
        }
        // Another server may have taken over, and its counter may have started anew.
        self.since = 0;
        let connection = self.connect().await?;
        self.read_on(connection, wait).await
    }

    /// Reads once; the connection is kept only after a complete response.
    async fn read_on(
        &mut self,
        mut connection: Connection,
        wait: Duration,
    ) -> Result<Published, ReadFault> {
        let (endpoint, since, wait_ms) = (self.endpoint, self.since, wait.as_millis());
        let path = format!("/{endpoint}?since={since}&wait={wait_ms}");
        let exchanged = connection.get(&path, self.address);
        let response = monoio::time::timeout(wait + RESPONSE_MARGIN, exchanged).await;
        let response = response.map_err(|_| ReadFault::Silent)??;
        if response.keep {
            self.connection = Some(connection);
        }
        self.accept(&response)
    }

    async fn connect(&self) -> Result<Connection, ReadFault> {
        let opened = monoio::time::timeout(CONNECT_LIMIT, Connection::open(self.address)).await;
        opened.map_err(|_| ReadFault::Silent)?
    }

    fn accept(&mut self, response: &Response) -> Result<Published, ReadFault> {
        match response.status {
            200 => {
                // Malformed content isn't read again before the platform publishes something newer.
                self.since = response.revision.unwrap_or(0);
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
