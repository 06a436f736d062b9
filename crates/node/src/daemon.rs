//! Start and graceful stop of all tasks of a daemon.
//!
//! Rules kept here:
//! - every listener is bound before the first task runs, so that a daemon starts whole or not at all;
//! - a planned stop refuses new work first, finishes what is in flight, and exits last.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_core::ids::InstanceId;
use hawthornwall_core::members::Identity;
use hawthornwall_settings::{Settings, Source};
use monoio::net::{ListenerOpts, TcpListener};
use monoio::{LegacyDriver, RuntimeBuilder};
use rand::Rng;

use crate::admin::{self, Admin};
use crate::catalog::{self, CatalogStart};
use crate::clock::Clock;
use crate::control::{self, ControlStart};
use crate::dialect::Dialect;
use crate::gate::{GateStart, GateTask};
use crate::ingress::{Ingress, IngressStart};
use crate::messages::{
    ControlMessage, ControlSender, GateMessage, GateSender, PeersMessage, PeersSender,
    ProbeMessage, ProbeSender, RouterMessage, RouterSender,
};
use crate::peers::{Peers, PeersStart};
use crate::probe::{Probe, ProbeStart};
use crate::reload::Reload;
use crate::router::{Router, RouterStart};
use crate::signals::{Signal, Signals};
use crate::start::StartError;
use crate::telemetry::trace::Tracer;
use crate::telemetry::{self, Statsd, Telemetry, TelemetryMessage, log};

/// Events that one turn of the loop takes from the operating system.
const EVENTS: u32 = 1024;
/// Bytes of a peer message beyond the bodies and heads that it carries; a configuration document may
/// take a megabyte.
const MESSAGE_OVERHEAD: usize = 1 << 20;
/// Longest wait for work in flight at a planned stop.
const DRAIN_LIMIT: Duration = Duration::from_mins(10);

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// If a listener can't be bound or the event loop can't be made.
pub fn run(settings: &Settings, reload: Reload) -> Result<(), Report<StartError>> {
    // The default driver would be io_uring, which the instances don't allow.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .with_entries(EVENTS)
        .enable_timer()
        .build()
        .change_context(StartError::Runtime)?;
    runtime.block_on(async { Daemon::start(settings, reload)?.run().await })
}

/// Senders to all tasks.
#[derive(Debug)]
struct Senders {
    control: ControlSender,
    gate: GateSender,
    peers: PeersSender,
    probe: ProbeSender,
    router: RouterSender,
    telemetry: Telemetry,
}

/// Receivers of all tasks.
#[derive(Debug)]
struct Receivers {
    control: mpsc::UnboundedReceiver<ControlMessage>,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    peers: mpsc::UnboundedReceiver<PeersMessage>,
    probe: mpsc::UnboundedReceiver<ProbeMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
    telemetry: mpsc::UnboundedReceiver<TelemetryMessage>,
}

fn channels() -> (Senders, Receivers) {
    let (control, control_receiver) = mpsc::unbounded();
    let (gate, gate_receiver) = mpsc::unbounded();
    let (peers, peers_receiver) = mpsc::unbounded();
    let (probe, probe_receiver) = mpsc::unbounded();
    let (router, router_receiver) = mpsc::unbounded();
    let (telemetry, telemetry_receiver) = Telemetry::channel();
    let senders = Senders {
        control,
        gate: GateSender::new(gate),
        peers,
        probe,
        router,
        telemetry,
    };
    let receivers = Receivers {
        control: control_receiver,
        gate: gate_receiver,
        peers: peers_receiver,
        probe: probe_receiver,
        router: router_receiver,
        telemetry: telemetry_receiver,
    };
    (senders, receivers)
}

/// What the tasks are made from.
struct Parts<'a> {
    clock: Clock,
    dialect: Dialect,
    instance: InstanceId,
    senders: Senders,
    settings: &'a Settings,
}

impl Parts<'_> {
    fn peers(
        &self,
        receiver: mpsc::UnboundedReceiver<PeersMessage>,
    ) -> Result<Peers, Report<StartError>> {
        let caller = &self.settings.caller;
        Peers::start(PeersStart {
            control: self.senders.control.clone(),
            gate: self.senders.gate.clone(),
            limit: caller.body_limit + caller.head_limit + MESSAGE_OVERHEAD,
            receiver,
            settings: &self.settings.peer,
        })
    }

    fn ingress(&self, stop: oneshot::Receiver<()>) -> Result<Ingress, Report<StartError>> {
        Ingress::start(IngressStart {
            clock: self.clock,
            dialect: self.dialect,
            gate: self.senders.gate.clone(),
            peers: self.senders.peers.clone(),
            router: self.senders.router.clone(),
            seed: rand::rng().random(),
            service: self.settings.target.service.as_deref(),
            settings: &self.settings.caller,
            stop,
            telemetry: self.senders.telemetry.clone(),
            tracer: Tracer::new(self.settings.trace.share),
        })
    }

    fn router(&self, receiver: mpsc::UnboundedReceiver<RouterMessage>) -> Router {
        Router::new(RouterStart {
            clock: self.clock,
            dialect: self.dialect,
            domain: &self.settings.domain,
            policy: self.settings.routing.policy,
            receiver,
            seed: rand::rng().random(),
            sender: self.senders.router.clone(),
            service_limit: self.settings.caller.service_limit,
        })
    }

    fn gate(&self, receiver: mpsc::UnboundedReceiver<GateMessage>) -> GateTask {
        GateTask::new(GateStart {
            clock: self.clock,
            dialect: self.dialect,
            instance: self.instance,
            probe: self.senders.probe.clone(),
            receiver,
            settings: self.settings,
            telemetry: self.senders.telemetry.clone(),
        })
    }

    fn probe(&self, receiver: mpsc::UnboundedReceiver<ProbeMessage>) -> Probe {
        Probe::new(ProbeStart {
            clock: self.clock,
            dialect: self.dialect,
            gate: self.senders.gate.clone(),
            receiver,
            settings: self.settings,
            telemetry: self.senders.telemetry.clone(),
        })
    }

    /// Starts the task that learns configuration and members from the source.
    fn spawn_control(&self, source: &Source, receiver: mpsc::UnboundedReceiver<ControlMessage>) {
        match *source {
            Source::Services { config, instances } => {
                let start = self.control(config, instances, receiver);
                monoio::spawn(control::run(start));
            }
            Source::Store(store) => {
                monoio::spawn(catalog::run(self.catalog(store, receiver)));
            }
        }
    }

    fn catalog(
        &self,
        store: SocketAddr,
        receiver: mpsc::UnboundedReceiver<ControlMessage>,
    ) -> CatalogStart {
        CatalogStart {
            clock: self.clock,
            domain: self.settings.domain.clone(),
            gate: self.senders.gate.clone(),
            own: self.settings.target.address,
            peer_port: self.settings.peer.listen.port(),
            peers: self.senders.peers.clone(),
            receiver,
            router: self.senders.router.clone(),
            seed: rand::rng().random(),
            store,
        }
    }

    fn control(
        &self,
        config: SocketAddr,
        instances: SocketAddr,
        receiver: mpsc::UnboundedReceiver<ControlMessage>,
    ) -> ControlStart {
        let peer = &self.settings.peer;
        ControlStart {
            clock: self.clock,
            config,
            gate: self.senders.gate.clone(),
            identity: Identity {
                domain: self.settings.domain.clone(),
                instance: self.instance,
                peer: peer.advertise.unwrap_or(peer.listen),
                target: self.settings.name.clone(),
            },
            instances,
            peers: self.senders.peers.clone(),
            receiver,
            router: self.senders.router.clone(),
            seed: rand::rng().random(),
            seeds: peer.seeds.clone(),
            sender: self.senders.control.clone(),
            settings: self.settings.control.clone(),
            started: unix_millis(),
        }
    }

    fn admin(&self) -> Admin {
        Admin {
            clock: self.clock,
            control: self.senders.control.clone(),
            gate: self.senders.gate.clone(),
            identity: admin::Identity {
                domain: self.settings.domain.clone(),
                instance: self.instance,
                name: self.settings.name.clone(),
            },
            peers: self.senders.peers.clone(),
            telemetry: self.senders.telemetry.clone(),
        }
    }
}

/// A started daemon.
#[derive(Debug)]
struct Daemon {
    announce: Duration,
    ingress: Ingress,
    senders: Senders,
    reload: Reload,
    signals: Signals,
    stop: oneshot::Sender<()>,
}

impl Daemon {
    /// Binds every socket, then starts the tasks.
    fn start(settings: &Settings, reload: Reload) -> Result<Self, Report<StartError>> {
        let source = settings.platform.source().ok_or(StartError::Source)?;
        let (senders, receivers) = channels();
        let instance = InstanceId(rand::rng().random());
        let parts = Parts {
            clock: Clock::start(),
            dialect: Dialect::of(&source),
            instance,
            senders,
            settings,
        };
        let (stop, stopped) = oneshot::channel();
        let signals = Signals::register().change_context(StartError::Runtime)?;
        let listener = bind(settings.admin.listen)?;
        let ready = settings.admin.ready.map(bind).transpose()?;
        let peers = parts.peers(receivers.peers)?;
        let ingress = parts.ingress(stopped)?;

        monoio::spawn(telemetry::run(receivers.telemetry, open_statsd(settings)));
        monoio::spawn(peers.run());
        monoio::spawn(parts.router(receivers.router).run());
        monoio::spawn(parts.gate(receivers.gate).run());
        monoio::spawn(parts.probe(receivers.probe).run());
        parts.spawn_control(&source, receivers.control);
        let admin = Rc::new(parts.admin());
        monoio::spawn(admin::run(listener, Rc::clone(&admin)));
        if let Some(listener) = ready {
            monoio::spawn(admin::run(listener, admin));
        }
        let name = settings.name.as_str();
        log::info!("daemon started", kv: { name, instance: });
        Ok(Self {
            announce: settings.caller.announce,
            ingress,
            senders: parts.senders,
            reload,
            signals,
            stop,
        })
    }

    async fn run(self) -> Result<(), Report<StartError>> {
        let (announce, mut signals) = (self.announce, self.signals);
        let ingress = self.ingress.run().fuse();
        pin_mut!(ingress);
        {
            let stop = wait_for_stop(&mut signals, &self.reload).fuse();
            pin_mut!(stop);
            select_biased! {
                () = stop => {}
                () = ingress => return Ok(()),
            }
        }
        log::info!("stopping: no new work is taken");
        let (drained, done) = oneshot::channel();
        let _ = self.senders.control.unbounded_send(ControlMessage::Leaving);
        let gate = self.senders.gate.clone();
        let stopping = async {
            // The target still runs, so it takes work until callers have learnt of the stop.
            monoio::time::sleep(announce).await;
            gate.send(GateMessage::Drain(drained));
            let _ = self.stop.send(());
            let _ = done.await;
        }
        .fuse();
        let drain = async { futures::join!(stopping, ingress) };
        // A second signal stops at once.
        let second = signals.stop().fuse();
        let limited = monoio::time::timeout(DRAIN_LIMIT, drain).fuse();
        pin_mut!(second, limited);
        select_biased! {
            _ = limited => {}
            () = second => {}
        }
        let (closed, done) = oneshot::channel();
        let _ = self
            .senders
            .peers
            .unbounded_send(PeersMessage::Close(closed));
        let _ = done.await;
        log::info!("stopped");
        Ok(())
    }
}

/// Reads the settings again each time the process is asked to, until it is asked to stop.
async fn wait_for_stop(signals: &mut Signals, reload: &Reload) {
    loop {
        match signals.next().await {
            Signal::Reload => reload.run(),
            Signal::Stop => return,
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).change_context(StartError::Bind(address))
}

/// Metrics are worth no failed start: without the socket they only appear in the status.
fn open_statsd(settings: &Settings) -> Option<Statsd> {
    let address = settings.metrics.statsd?;
    match Statsd::open(address, &settings.name) {
        Ok(statsd) => Some(statsd),
        Err(error) => {
            log::warn!("metrics are not sent", kv: { error: });
            None
        }
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}
