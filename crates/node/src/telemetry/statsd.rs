//! Metrics as statsd datagrams.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, StatsdClient, Timed};

/// Prefix of all metric names.
const PREFIX: &str = "hawthornwall";

/// A buffered statsd client. Datagrams that can't be sent are dropped.
#[derive(Debug)]
pub struct Statsd {
    client: StatsdClient,
}

impl Statsd {
    /// A client that sends to `address`, with the daemon's name as tag.
    ///
    /// # Errors
    ///
    /// If no UDP socket can be opened.
    pub fn open(address: SocketAddr, name: &str) -> Result<Self, cadence::MetricError> {
        let local: SocketAddr = if address.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("daemon", name)
            .with_error_handler(|_| {})
            .build();
        Ok(Self { client })
    }

    /// Sends an increase of a counter.
    pub fn count(&self, name: &str, count: u64) {
        self.client.count_with_tags(name, count).send();
    }

    /// Sends a duration.
    pub fn time(&self, name: &str, elapsed: Duration) {
        self.client.time_with_tags(name, elapsed).send();
    }

    /// Sends all buffered metrics.
    pub fn flush(&self) {
        // Lost datagrams are not an error of the daemon; the status page still has the counters.
        let _ = self.client.flush();
    }
}
