//! The TCP link: a listener for requests from peers and a pool of connections to peers.

use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::future::FutureExt;
use hawthornwall_settings::PeerSettings;
use monoio::net::{ListenerOpts, TcpListener};

use super::super::bodies::{Bodies, Direction};
use super::super::inbound::Inbound;
use super::super::link::{Delivery, ExchangeReports, LinkTraffic, OwnMachine};
use super::accept::Accept;
use super::pool::{Pool, PoolMessage, PoolStart};
use crate::open_count::OpenCount;
use crate::start::StartError;
use crate::telemetry::Telemetry;

/// Time at a planned stop in which pending replies are written.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Handles of the listener and pool tasks.
pub(in crate::peers) struct TcpLink {
    accepted: Rc<OpenCount>,
    pool: mpsc::UnboundedSender<PoolMessage>,
    stop: Option<oneshot::Sender<()>>,
}

impl TcpLink {
    /// Binds the listener and starts to accept connections.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn start(
        settings: &PeerSettings,
        inbound: Inbound,
        exchange_reports: ExchangeReports,
        own: OwnMachine,
        telemetry: Telemetry,
    ) -> Result<Self, Report<StartError>> {
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(settings.listen, &options)
            .change_context(StartError::Bind(settings.listen))?;
        let (stop, stopped) = oneshot::channel();
        let (pool, receiver) = mpsc::unbounded();
        let accepted = Rc::new(OpenCount::default());
        let (limit, silence) = (inbound.limit, settings.silence);
        let memory = inbound.memory.clone();
        let accept = Accept {
            exchange_reports: exchange_reports.clone(),
            inbound,
            open: Rc::clone(&accepted),
            silence,
        };
        monoio::spawn(accept.run(listener, stopped.shared()));
        let send = |rate| Bodies::start(rate, Direction::Sending, own.clock, telemetry.clone());
        let pool_start = PoolStart {
            clock: own.clock,
            exchange_reports,
            limit,
            memory,
            outgoing: own.link.map(send),
            receiver,
            silence,
            telemetry,
        };
        monoio::spawn(Pool::new(pool_start).run());
        Ok(Self {
            accepted,
            pool,
            stop: Some(stop),
        })
    }

    /// Sends a request and delivers its reply. The pool task runs until the link is dropped.
    pub fn send(&mut self, delivery: Delivery) {
        let _ = self.pool.unbounded_send(PoolMessage::Send(delivery));
    }

    /// Stops accepting connections and waits for [`CLOSE_DELAY`] while pending replies are written.
    pub async fn close(&mut self) {
        drop(self.stop.take());
        monoio::time::sleep(CLOSE_DELAY).await;
    }

    /// Number of open connections in both directions, and bytes of closed connections to peers.
    pub async fn traffic(&mut self) -> LinkTraffic {
        let (reply, receiver) = oneshot::channel();
        let _ = self.pool.unbounded_send(PoolMessage::Traffic(reply));
        let mut traffic = receiver.await.unwrap_or_default();
        traffic.connections += self.accepted.get();
        traffic
    }
}
