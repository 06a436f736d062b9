//! Start and graceful stop of all tasks of a daemon.
//!
//! Rules kept here:
//! - all listeners are bound before the first task starts, so that a daemon never runs with only some of
//!   them;
//! - a planned stop first refuses new work, then finishes the requests in flight, and then exits; only an interrupt
//!   (`SIGINT`) during the stop ends it sooner.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_core::ids::InstanceId;
use hawthornwall_core::members::Identity;
use hawthornwall_core::memory::BufferLimits;
use hawthornwall_core::stop::StopPlan;
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
use crate::memory::{Memory, MemoryTask};
use crate::messages::{
    ControlMessage, ControlSender, GateMessage, GateSender, IngressMessage, IngressSender,
    PeersMessage, PeersSender, ProbeMessage, ProbeSender, RouterMessage, RouterSender,
};
use crate::peers::{Peers, PeersStart};
use crate::probe::{PROBE_TIMEOUT, Probe, ProbeStart};
use crate::reload::Reload;
use crate::router::{Router, RouterStart};
use crate::signals::{Signal, Signals};
use crate::start::StartError;
use crate::telemetry::trace::Tracer;
use crate::telemetry::{self, Statsd, Telemetry, TelemetryMessage, log};

/// Most events that one poll of the operating system returns.
const EVENTS_PER_POLL: u32 = 1024;
/// Bytes of a peer message beyond the head and body of a request. A configuration document may take a
/// megabyte.
const MESSAGE_OVERHEAD: usize = 1 << 20;

/// Runs a daemon until a signal stops it.
///
/// # Errors
///
/// If the settings name no complete source of configuration, a listener can't be bound, or the event loop
/// can't be created.
pub fn run(settings: &Settings, reload: Reload) -> Result<(), Report<StartError>> {
    // The default driver uses io_uring, which isn't permitted on the instances.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .with_entries(EVENTS_PER_POLL)
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
    ingress: IngressSender,
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
    ingress: mpsc::UnboundedReceiver<IngressMessage>,
    peers: mpsc::UnboundedReceiver<PeersMessage>,
    probe: mpsc::UnboundedReceiver<ProbeMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
    telemetry: mpsc::UnboundedReceiver<TelemetryMessage>,
}

fn channels() -> (Senders, Receivers) {
    let (control, control_receiver) = mpsc::unbounded();
    let (gate, gate_receiver) = mpsc::unbounded();
    let (ingress, ingress_receiver) = mpsc::unbounded();
    let (peers, peers_receiver) = mpsc::unbounded();
    let (probe, probe_receiver) = mpsc::unbounded();
    let (router, router_receiver) = mpsc::unbounded();
    let (telemetry, telemetry_receiver) = Telemetry::channel();
    let senders = Senders {
        control,
        gate: GateSender::new(gate),
        ingress,
        peers,
        probe,
        router,
        telemetry,
    };
    let receivers = Receivers {
        control: control_receiver,
        gate: gate_receiver,
        ingress: ingress_receiver,
        peers: peers_receiver,
        probe: probe_receiver,
        router: router_receiver,
        telemetry: telemetry_receiver,
    };
    (senders, receivers)
}

/// The values from which the tasks are constructed.
struct Parts<'a> {
    clock: Clock,
    dialect: Dialect,
    instance: InstanceId,
    senders: Senders,
    memory: Memory,
    settings: &'a Settings,
}

impl Parts<'_> {
    fn peers(
        &self,
        receiver: mpsc::UnboundedReceiver<PeersMessage>,
    ) -> Result<Peers, Report<StartError>> {
        let caller = &self.settings.caller;
        Peers::start(PeersStart {
            clock: self.clock,
            control: self.senders.control.clone(),
            gate: self.senders.gate.clone(),
            limit: self.settings.body_limit() + caller.head_limit + MESSAGE_OVERHEAD,
            link_mbps: self.settings.machine.link_mbps,
            memory: self.memory.clone(),
            receiver,
            router: self.senders.router.clone(),
            settings: &self.settings.peer,
            telemetry: self.senders.telemetry.clone(),
        })
    }

    /// Length of the longest message that the budget of buffered bytes allows one connection, in bytes.
    fn longest_message(&self) -> usize {
        let machine = &self.settings.machine;
        BufferLimits::for_machine(machine.memory_mib, machine.files).longest_message()
    }

    fn ingress(
        &self,
        stop: oneshot::Receiver<StopPlan>,
        drained: oneshot::Receiver<()>,
        receiver: mpsc::UnboundedReceiver<IngressMessage>,
    ) -> Result<Ingress, Report<StartError>> {
        Ingress::start(IngressStart {
            body_limit: self.settings.body_limit().min(self.longest_message()),
            clock: self.clock,
            dialect: self.dialect,
            drained,
            gate: self.senders.gate.clone(),
            memory: self.memory.clone(),
            link_mbps: self.settings.machine.link_mbps,
            peers: self.senders.peers.clone(),
            receiver,
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
            hedge_percent: self.settings.routing.hedge_percent,
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
            memory: self.memory.clone(),
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
            timeout: PROBE_TIMEOUT,
        })
    }

    /// Starts the task that reads configuration and members from the source.
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
            ingress: self.senders.ingress.clone(),
            own_target: self.settings.target.address,
            peer_port: self.settings.peer.listen.port(),
            peers: self.senders.peers.clone(),
            receiver,
            router: self.senders.router.clone(),
            seed: rand::rng().random(),
            store,
            telemetry: self.senders.telemetry.clone(),
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
            memory: self.memory.clone(),
            peers: self.senders.peers.clone(),
            telemetry: self.senders.telemetry.clone(),
        }
    }
}

/// A daemon whose tasks have been started.
#[derive(Debug)]
struct Daemon {
    clock: Clock,
    /// Tells the `ingress` task that the target has been drained.
    drained: oneshot::Sender<()>,
    ingress: Ingress,
    senders: Senders,
    reload: Reload,
    signals: Signals,
    /// Ends the `ingress` task.
    stop: oneshot::Sender<StopPlan>,
}

impl Daemon {
    /// Binds all sockets, then starts the tasks.
    fn start(settings: &Settings, reload: Reload) -> Result<Self, Report<StartError>> {
        let source = settings.platform.source().ok_or(StartError::Source)?;
        let (senders, receivers) = channels();
        let instance = InstanceId(rand::rng().random());
        let clock = Clock::start();
        let memory = start_memory(settings, clock, &senders.telemetry);
        let parts = Parts {
            clock,
            dialect: Dialect::of(&source),
            instance,
            memory,
            senders,
            settings,
        };
        let (stop, stopped) = oneshot::channel();
        let (drained, target_drained) = oneshot::channel();
        let signals = Signals::register().change_context(StartError::Runtime)?;
        let listener = bind(settings.admin.listen)?;
        let ready = settings.admin.ready.map(bind).transpose()?;
        let peers = parts.peers(receivers.peers)?;
        let ingress = parts.ingress(stopped, target_drained, receivers.ingress)?;

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
            clock: parts.clock,
            drained,
            ingress,
            senders: parts.senders,
            reload,
            signals,
            stop,
        })
    }

    async fn run(self) -> Result<(), Report<StartError>> {
        let mut signals = self.signals;
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
        let caller = &self.reload.current.caller;
        let plan = StopPlan::new(self.clock.now(), caller.grace, caller.announce);
        let drain_ms = self.clock.until(plan.drain_at()).as_millis() as u64;
        let answer_ms = self.clock.until(plan.answer_by()).as_millis() as u64;
        log::info!("stopping; new work is refused once the stop has been announced", kv: { drain_ms, answer_ms });
        let _ = self.senders.control.unbounded_send(ControlMessage::Leaving);
        let _ = self.stop.send(plan);
        self.senders.gate.send(GateMessage::Stop(plan));
        let gate = self.senders.gate.clone();
        let drained = self.drained;
        let stopping = async {
            // The target still runs, so that this daemon accepts work until the stop has been announced to
            // callers.
            monoio::time::sleep(self.clock.until(plan.drain_at())).await;
            let (reply, done) = oneshot::channel();
            gate.send(GateMessage::Drain(reply));
            let _ = done.await;
            let _ = drained.send(());
        }
        .fuse();
        let peers = self.senders.peers.clone();
        let drain = async {
            futures::join!(stopping, ingress);
            // The target has finished, but its answers may still be on their way to other daemons.
            let (finished, done) = oneshot::channel();
            let _ = peers.unbounded_send(PeersMessage::Finish(finished));
            let _ = done.await;
        };
        let interrupted = wait_for_interrupt(&mut signals, &self.reload).fuse();
        let limited = monoio::time::timeout(self.clock.until(plan.end()), drain).fuse();
        pin_mut!(interrupted, limited);
        select_biased! {
            _ = limited => {}
            () = interrupted => log::warn!("interrupted during the stop; requests in flight are cut"),
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

/// Starts the task that limits buffered bytes and connections, if the settings state what the machine has.
fn start_memory(settings: &Settings, clock: Clock, telemetry: &Telemetry) -> Memory {
    let machine = &settings.machine;
    if machine.memory_mib.is_none() && machine.files.is_none() {
        return Memory::default();
    }
    let limits = BufferLimits::for_machine(machine.memory_mib, machine.files);
    let BufferLimits {
        connections, total, ..
    } = limits;
    log::info!("limits of the machine", kv: { buffered = total, connections });
    let (sender, receiver) = mpsc::unbounded();
    let task = MemoryTask::new(limits, clock, receiver, telemetry.clone());
    monoio::spawn(task.run());
    Memory::limited(sender)
}

/// Rereads the settings on each reload signal; ends on a signal to stop.
async fn wait_for_stop(signals: &mut Signals, reload: &Reload) {
    loop {
        match signals.next().await {
            Signal::Reload => reload.run(),
            Signal::Interrupt | Signal::Terminate => return,
        }
    }
}

/// Handles signals during a stop; ends on an interrupt. Planned stops of one instance may overlap, each with its own
/// `SIGTERM`: the first one has set the schedule, and the others must not cut the requests that it finishes.
async fn wait_for_interrupt(signals: &mut Signals, reload: &Reload) {
    loop {
        match signals.next().await {
            Signal::Interrupt => return,
            Signal::Reload => reload.run(),
            Signal::Terminate => log::info!("already stopping; the stop goes on as scheduled"),
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).change_context(StartError::Bind(address))
}

/// Opens the statsd client, if one is configured. A failure doesn't prevent the start, as the counters are
/// also on the status page.
fn open_statsd(settings: &Settings) -> Option<Statsd> {
    let address = settings.metrics.statsd?;
    match Statsd::open(address, &settings.name) {
        Ok(statsd) => Some(statsd),
        Err(error) => {
            log::warn!("can't open the statsd socket; no metrics are sent", kv: { error: });
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
