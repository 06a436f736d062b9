//! The task that owns the listener for callers.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::future::FutureExt;
use futures::{pin_mut, select_biased};
use hawthornwall_core::calls::ReturnDelays;
use hawthornwall_core::ids::RequestId;
use hawthornwall_core::link::Rate;
use hawthornwall_core::memory::Owner;
use hawthornwall_core::outcome::Refusal;
use hawthornwall_core::pipeline;
use hawthornwall_core::stop::StopPlan;
use hawthornwall_settings::CallerSettings;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use super::connection;
use super::limits::CallerLimits;
use super::stop::{self, ConnectionUse, PhaseSenders, Phases, StopNotice};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::http::Limits;
use crate::memory::Memory;
use crate::messages::{GateSender, IngressMessage, PeersSender, RouterSender};
use crate::open_count::OpenCount;
use crate::start::StartError;
use crate::telemetry::Telemetry;
use crate::telemetry::trace::Tracer;

/// Backoff after a failed accept, most often caused by a lack of file descriptors. After the stop
/// signal, also the interval at which the number of open connections is polled.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Size of the kernel's receive and send buffer of a connection where memory is limited, in bytes. The kernel doubles
/// it for its own bookkeeping, and otherwise lets a buffer grow to several megabytes.
const KERNEL_BUFFER: usize = 64 << 10;

/// Shared dependencies of all connections.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    pub clock: Clock,
    pub dialect: Dialect,
    pub gate: GateSender,
    pub limits: CallerLimits,
    /// Rate of the machine's network link; `None` if it counts as unlimited.
    pub link: Option<Rate>,
    pub peers: PeersSender,
    /// Bounds on the requests in flight of one connection.
    pub pipeline: pipeline::Limits,
    /// The next request id, shared by all connections.
    pub requests: Rc<Cell<u64>>,
    /// Delays for the callers of refused requests, shared by all connections.
    pub return_delays: Rc<Cell<ReturnDelays>>,
    pub router: RouterSender,
    /// Identifies this run of the daemon as the sender of requests.
    pub sender: u32,
    /// Service of this instance, stated as the origin of its requests; `None` if it belongs to
    /// none.
    pub service: Option<Rc<str>>,
    /// Tells the calls in flight of a planned stop.
    pub stop: StopNotice,
    pub telemetry: Telemetry,
    pub tracer: Tracer,
}

impl Backend {
    /// Returns a request id that is unique within this process.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.requests.get();
        self.requests.set(id.wrapping_add(1));
        RequestId(id)
    }

    /// Time after which the caller of a refused request may send it again.
    pub fn return_delay(&self, refusal: Refusal) -> Duration {
        let mut delays = self.return_delays.get();
        let delay = delays.next(refusal);
        self.return_delays.set(delays);
        delay
    }

    /// Time that a body takes on this machine's link and on an equal one at the target.
    pub fn transfer_time(&self, body_length: usize) -> Duration {
        let one_link = self.link.map(|rate| rate.time(body_length as u64));
        one_link.unwrap_or_default() * 2
    }
}

/// Parameters of [`Ingress::start`].
#[derive(Debug)]
pub struct IngressStart<'a> {
    /// Maximum length of a body, in bytes.
    pub body_limit: usize,
    /// Clock of the process.
    pub clock: Clock,
    /// Header names and conventions that callers use.
    pub dialect: Dialect,
    /// Resolves when the local target has been drained after a stop, also if its sender is dropped.
    pub drained: oneshot::Receiver<()>,
    /// Sender to the gate of the local target.
    pub gate: GateSender,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Rate of the machine's network link in megabits per second; `None` if it counts as unlimited.
    pub link_mbps: Option<f64>,
    /// Sender to the task that exchanges messages with other daemons.
    pub peers: PeersSender,
    /// Messages from other tasks.
    pub receiver: mpsc::UnboundedReceiver<IngressMessage>,
    /// Sender to the router, which picks targets.
    pub router: RouterSender,
    /// First request id; random, so that ids differ between two runs.
    pub seed: u64,
    /// Service of this instance, stated as the origin of its requests; `None` if it belongs to
    /// none.
    pub service: Option<&'a str>,
    /// Listen address and limits for callers.
    pub settings: &'a CallerSettings,
    /// Receives the plan of a stop.
    pub stop: oneshot::Receiver<StopPlan>,
    /// Receives counts and the log records of requests.
    pub telemetry: Telemetry,
    /// Samples the requests that are traced.
    pub tracer: Tracer,
}

/// Task that accepts connections from callers.
pub struct Ingress {
    acceptor: Acceptor,
    drained: oneshot::Receiver<()>,
    phases: PhaseSenders,
}

/// The listener, and what each connection needs.
struct Acceptor {
    backend: Backend,
    limit: usize,
    listener: TcpListener,
    memory: Memory,
    open: Rc<OpenCount>,
    phases: Phases,
}

impl std::fmt::Debug for Ingress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ingress")
            .field("open", &self.acceptor.open)
            .finish_non_exhaustive()
    }
}

impl Ingress {
    /// Binds the listener; connections are accepted by [`Ingress::run`].
    ///
    /// # Errors
    ///
    /// If the listener can't be bound, most often because the address is in use.
    pub fn start(start: IngressStart<'_>) -> Result<Self, Report<StartError>> {
        let settings = start.settings;
        // With a shared port, the kernel would silently divide the callers between two daemons.
        let mut options = ListenerOpts::new().reuse_port(false);
        if start.memory.is_limited() {
            // Accepted connections inherit the sizes.
            options = options
                .recv_buf_size(KERNEL_BUFFER)
                .send_buf_size(KERNEL_BUFFER);
        }
        let listener = TcpListener::bind_with_config(settings.listen, &options)
            .change_context(StartError::Bind(settings.listen))?;
        let limits = CallerLimits::new(Limits {
            body: start.body_limit,
            head: settings.head_limit,
            idle: settings.idle,
        });
        monoio::spawn(limits.clone().follow(start.receiver));
        let backend = Backend {
            clock: start.clock,
            dialect: start.dialect,
            gate: start.gate,
            limits: limits.clone(),
            link: start.link_mbps.map(Rate::from_mbps),
            peers: start.peers,
            pipeline: pipeline::Limits {
                bytes: settings.pipeline_bytes,
                requests: settings.pipeline_requests,
            },
            requests: Rc::new(Cell::new(start.seed)),
            return_delays: Rc::default(),
            router: start.router,
            sender: (start.seed >> u32::BITS) as u32,
            service: start.service.map(Rc::from),
            stop: stop::notice(start.stop),
            telemetry: start.telemetry,
            tracer: start.tracer,
        };
        let open = Rc::new(OpenCount::default());
        let (senders, phases) = stop::phases();
        Ok(Self {
            acceptor: Acceptor {
                backend,
                limit: settings.connections,
                listener,
                memory: start.memory,
                open,
                phases,
            },
            drained: start.drained,
            phases: senders,
        })
    }

    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// If the system can't state it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.acceptor.listener.local_addr()
    }

    /// Accepts callers until a stop, then returns once all connections have closed. Connections that are
    /// opened while the local target is drained serve one request each: the work that still runs there
    /// may make requests, and fails if they aren't accepted.
    pub async fn run(self) {
        let Self {
            acceptor,
            drained,
            phases,
        } = self;
        let clock = acceptor.backend.clock;
        let plan = acceptor.backend.stop.clone();
        let plan = acceptor.accept(ConnectionUse::Kept, plan).await;
        let announcement = monoio::time::sleep(clock.until(plan.drain_at()));
        acceptor.accept(ConnectionUse::Kept, announcement).await;
        let _ = phases.closing.send(());
        let limit = clock.until(plan.accept_until());
        let drained = monoio::time::timeout(limit, drained);
        let _ = acceptor.accept(ConnectionUse::Single, drained).await;
        let _ = phases.ended.send(());
        acceptor.close().await;
    }
}

impl Acceptor {
    /// Accepts connections until `end` completes, and returns its output.
    async fn accept<T>(&self, usage: ConnectionUse, end: impl Future<Output = T>) -> T {
        let end = end.fuse();
        pin_mut!(end);
        loop {
            let accept = self.listener.accept().fuse();
            pin_mut!(accept);
            select_biased! {
                accepted = accept => match accepted {
                    Ok((tcp, caller)) => self.admit(tcp, caller.ip(), usage).await,
                    Err(_) => monoio::time::sleep(ACCEPT_BACKOFF).await,
                },
                output = end => return output,
            }
        }
    }

    async fn admit(&self, tcp: TcpStream, caller: IpAddr, usage: ConnectionUse) {
        if self.open.get() >= self.limit {
            // Dropping the connection is safe for the caller, since no request was read from it.
            return;
        }
        let Some(lease) = self.memory.open(Owner::Caller(caller)).await else {
            return;
        };
        let count = self.open.enter();
        let (backend, phases) = (self.backend.clone(), self.phases.clone());
        monoio::spawn(async move {
            connection::run(tcp, backend, phases, usage, lease).await;
            drop(count);
        });
    }

    /// Closes the listener and waits for the connections.
    async fn close(self) {
        drop(self.listener);
        while self.open.get() > 0 {
            monoio::time::sleep(ACCEPT_BACKOFF).await;
        }
    }
}
