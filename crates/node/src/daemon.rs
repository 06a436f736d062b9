//! Start and graceful stop of all tasks of a daemon.
//!
//! Rules kept here:
//! - every listener is bound before the first task runs, so that a daemon starts whole or not at all;
//! - a planned stop refuses new work first, finishes what is in flight, and exits last.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_core::ids::InstanceId;
use hawthornwall_core::members::Identity;
use hawthornwall_settings::Settings;
use monoio::net::{ListenerOpts, TcpListener};
use monoio::{LegacyDriver, RuntimeBuilder};
use rand::Rng;

use crate::admin::{self, Admin};
use crate::clock::Clock;
use crate::control::{self, ControlStart};
use crate::gate::{GateStart, Gatekeeper};
use crate::ingress::{Ingress, IngressStart};
use crate::messages::{
    ControlMessage, ControlSender, GateMessage, GateSender, PeersMessage, PeersSender,
};
use crate::peers::{Peers, PeersStart};
use crate::probe::{Probe, ProbeStart};
use crate::router::{Router, RouterStart};
use crate::signals::StopSignals;
use crate::start::StartError;
use crate::telemetry::trace::Tracer;
use crate::telemetry::{self, Statsd, Telemetry, log};

/// Events that one turn of the loop takes from the operating system.
const EVENTS: u32 = 1024;
/// Bytes of a peer message beyond the bodies and heads that it carries; a configuration document may
/// take a megabyte.
const MESSAGE_OVERHEAD: usize = 1 << 20;
/// Time between announcing the stop and refusing connections, so that peers and callers learn of it
/// while they are still answered.
const ANNOUNCE: Duration = Duration::from_secs(1);
/// Longest wait for work in flight at a planned stop.
const DRAIN_LIMIT: Duration = Duration::from_mins(10);

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// If a listener can't be bound or the event loop can't be made.
pub fn run(settings: &Settings) -> Result<(), Report<StartError>> {
    // The default driver would be io_uring, which the instances don't allow.
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .with_entries(EVENTS)
        .enable_timer()
        .build()
        .change_context(StartError::Runtime)?;
    runtime.block_on(async { Daemon::start(settings)?.run().await })
}

/// The tasks' senders and what the stop needs.
#[derive(Debug)]
struct Daemon {
    control: ControlSender,
    gate: GateSender,
    ingress: Ingress,
    peers: PeersSender,
    signals: StopSignals,
    stop: oneshot::Sender<()>,
}

impl Daemon {
    /// Binds every socket, then starts the tasks.
    fn start(settings: &Settings) -> Result<Self, Report<StartError>> {
        let clock = Clock::start();
        let instance = InstanceId(rand::rng().random());
        let signals = StopSignals::register().change_context(StartError::Runtime)?;
        let admin_listener = bind_admin(settings)?;
        let (telemetry, events) = Telemetry::channel();
        let (control, control_receiver) = mpsc::unbounded();
        let (gate, gate_receiver) = mpsc::unbounded();
        let gate = GateSender::new(gate);
        let (router, router_receiver) = mpsc::unbounded();
        let (peers, peers_receiver) = mpsc::unbounded();
        let (probe, probe_receiver) = mpsc::unbounded();
        let (stop, stopped) = oneshot::channel();

        let peers_task = Peers::start(PeersStart {
            control: control.clone(),
            gate: gate.clone(),
            limit: settings.caller.body_limit + settings.caller.head_limit + MESSAGE_OVERHEAD,
            receiver: peers_receiver,
            settings: &settings.peer,
        })?;
        let ingress = Ingress::start(IngressStart {
            clock,
            gate: gate.clone(),
            peers: peers.clone(),
            router: router.clone(),
            seed: rand::rng().random(),
            settings: &settings.caller,
            stop: stopped,
            telemetry: telemetry.clone(),
            tracer: Tracer::new(settings.trace.share),
        })?;
        let router_task = Router::new(RouterStart {
            clock,
            domain: &settings.domain,
            name: &settings.name,
            policy: settings.routing.policy,
            receiver: router_receiver,
            seed: rand::rng().random(),
            sender: router.clone(),
            service_limit: settings.caller.service_limit,
        });
        let gate_task = Gatekeeper::new(GateStart {
            clock,
            instance,
            probe,
            receiver: gate_receiver,
            settings,
            telemetry: telemetry.clone(),
        });
        let probe_task = Probe::new(ProbeStart {
            clock,
            gate: gate.clone(),
            receiver: probe_receiver,
            settings,
            telemetry: telemetry.clone(),
        });
        let identity = Identity {
            domain: settings.domain.clone(),
            instance,
            peer: settings.peer.advertise.unwrap_or(settings.peer.listen),
            target: settings.name.clone(),
        };
        let control_start = ControlStart {
            clock,
            gate: gate.clone(),
            identity,
            peers: peers.clone(),
            platform: settings.platform.clone(),
            receiver: control_receiver,
            router,
            seed: rand::rng().random(),
            seeds: settings.peer.seeds.clone(),
            sender: control.clone(),
            settings: settings.control.clone(),
            started: unix_millis(),
        };
        let admin = Admin {
            clock,
            control: control.clone(),
            gate: gate.clone(),
            identity: admin::Identity {
                domain: settings.domain.clone(),
                instance,
                name: settings.name.clone(),
            },
            peers: peers.clone(),
            telemetry,
        };
        monoio::spawn(telemetry::run(events, open_statsd(settings)));
        monoio::spawn(peers_task.run());
        monoio::spawn(router_task.run());
        monoio::spawn(gate_task.run());
        monoio::spawn(probe_task.run());
        monoio::spawn(control::run(control_start));
        monoio::spawn(admin::run(admin_listener, admin));
        let name = settings.name.as_str();
        log::info!("daemon started", kv: { name, instance: });
        Ok(Self {
            control,
            gate,
            ingress,
            peers,
            signals,
            stop,
        })
    }

    async fn run(self) -> Result<(), Report<StartError>> {
        let mut signals = self.signals;
        let ingress = self.ingress.run().fuse();
        pin_mut!(ingress);
        {
            let signal = signals.next().fuse();
            pin_mut!(signal);
            select_biased! {
                () = signal => {}
                () = ingress => return Ok(()),
            }
        }
        let (drained, done) = oneshot::channel();
        let _ = self.control.unbounded_send(ControlMessage::Leaving);
        self.gate.send(GateMessage::Drain(drained));
        let stopping = async {
            monoio::time::sleep(ANNOUNCE).await;
            let _ = self.stop.send(());
            let _ = done.await;
        }
        .fuse();
        let drain = async { futures::join!(stopping, ingress) };
        // A second signal stops at once.
        let second = signals.next().fuse();
        let limited = monoio::time::timeout(DRAIN_LIMIT, drain).fuse();
        pin_mut!(second, limited);
        select_biased! {
            _ = limited => {}
            () = second => {}
        }
        let (closed, done) = oneshot::channel();
        let _ = self.peers.unbounded_send(PeersMessage::Close(closed));
        let _ = done.await;
        Ok(())
    }
}

fn bind_admin(settings: &Settings) -> Result<TcpListener, Report<StartError>> {
    let address = settings.admin.listen;
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
