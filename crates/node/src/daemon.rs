//! Start and graceful stop of all tasks of a daemon.
//!
//! Rules kept here:
//! - every listener is bound before the first task runs, so that a daemon starts whole or not at all;
//! - a planned stop refuses new work first, finishes what is in flight, and exits last.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures::channel::{mpsc, oneshot};
use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_core::ids::InstanceId;
use hawthornwall_settings::Settings;
use monoio::{LegacyDriver, RuntimeBuilder};
use rand::Rng;

use crate::clock::Clock;
use crate::control::{self, ControlStart};
use crate::gate::{GateStart, Gatekeeper};
use crate::ingress::{Ingress, IngressStart};
use crate::messages::{
    ControlMessage, ControlSender, GateMessage, GateSender, PeersMessage, PeersSender, RouterSender,
};
use crate::peers::{Peers, PeersStart};
use crate::router::{Router, RouterStart};
use crate::signals::StopSignals;
use crate::start::StartError;

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
    runtime.block_on(Daemon::start(settings)?.run())
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
