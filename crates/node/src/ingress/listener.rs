//! The task that owns the callers' listener.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use futures::{pin_mut, select_biased};
use hawthornwall_core::ids::RequestId;
use hawthornwall_settings::CallerSettings;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use super::connection;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http::Limits;
use crate::messages::{GateSender, PeersSender, RouterSender};
use crate::open_count::OpenCount;
use crate::start::StartError;
use crate::telemetry::Telemetry;
use crate::telemetry::trace::Tracer;

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Ends when the daemon stops accepting callers.
pub(super) type Stopping = Shared<oneshot::Receiver<()>>;

/// What a connection needs to serve calls.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    pub clock: Clock,
    pub default_limits: Limits,
    pub dialect: Dialect,
    pub gate: GateSender,
    pub peers: PeersSender,
    pub requests: Rc<Cell<u64>>,
    pub router: RouterSender,
    /// The service that the instance's own requests come from.
    pub service: Option<Rc<str>>,
    pub telemetry: Telemetry,
    pub tracer: Tracer,
}

impl Backend {
    /// A request id that no other request of this run has.
    pub fn next_request(&self) -> RequestId {
        let id = self.requests.get();
        self.requests.set(id.wrapping_add(1));
        RequestId(id)
    }
}

/// What the task needs at its start.
#[derive(Debug)]
pub struct IngressStart<'a> {
    /// The process's clock.
    pub clock: Clock,
    /// Conventions of callers.
    pub dialect: Dialect,
    /// The local gate.
    pub gate: GateSender,
    /// Other daemons.
    pub peers: PeersSender,
    /// The router.
    pub router: RouterSender,
    /// First request id; random, so that ids of two runs differ.
    pub seed: u64,
    /// The service that the instance's own requests come from.
    pub service: Option<&'a str>,
    /// Address and limits.
    pub settings: &'a CallerSettings,
    /// Ends when no more callers are accepted.
    pub stop: oneshot::Receiver<()>,
    /// Counters.
    pub telemetry: Telemetry,
    /// Decides which requests are traced.
    pub tracer: Tracer,
}

/// The task and its state.
pub struct Ingress {
    backend: Backend,
    limit: usize,
    listener: TcpListener,
    open: Rc<OpenCount>,
    stop: Stopping,
}

impl std::fmt::Debug for Ingress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ingress")
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}

impl Ingress {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn start(start: IngressStart<'_>) -> Result<Self, Report<StartError>> {
        let settings = start.settings;
        // Two daemons that share a port would split the callers between them unnoticed.
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(settings.listen, &options)
            .change_context(StartError::Bind(settings.listen))?;
        let backend = Backend {
            clock: start.clock,
            default_limits: Limits {
                body: settings.body_limit,
                head: settings.head_limit,
                idle: settings.idle,
            },
            dialect: start.dialect,
            gate: start.gate,
            peers: start.peers,
            requests: Rc::new(Cell::new(start.seed)),
            router: start.router,
            service: start.service.map(Rc::from),
            telemetry: start.telemetry,
            tracer: start.tracer,
        };
        let open = Rc::new(OpenCount::default());
        let stop = start.stop.shared();
        Ok(Self {
            backend,
            limit: settings.connections,
            listener,
            open,
            stop,
        })
    }

    /// Accepts callers until told to stop, then waits until their connections have closed.
    pub async fn run(self) {
        loop {
            let accept = self.listener.accept().fuse();
            let mut stop = self.stop.clone();
            pin_mut!(accept);
            select_biased! {
                accepted = accept => match accepted {
                    Ok((tcp, _)) => self.admit(tcp),
                    Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
                },
                _ = stop => break,
            }
        }
        drop(self.listener);
        while self.open.get() > 0 {
            monoio::time::sleep(ACCEPT_PAUSE).await;
        }
    }

    fn admit(&self, tcp: TcpStream) {
        if self.open.get() >= self.limit {
            // The caller sees a closed connection, for which no request was read.
            return;
        }
        let count = self.open.enter();
        let (backend, stop) = (self.backend.clone(), self.stop.clone());
        monoio::spawn(async move {
            connection::run(tcp, backend, stop).await;
            drop(count);
        });
    }
}
