//! The operators' listener: `GET /status`, `GET /config`, `POST /drain`.
//!
//! The task owns the listener; each connection is a task that owns its socket. They hold no state of
//! other tasks: everything shown is asked for by message, and a task that doesn't reply in time
//! appears as null.

mod http;
mod pages;

use std::rc::Rc;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use monoio::net::{TcpListener, TcpStream};

use self::http::Connection;
use crate::clock::Clock;
use crate::messages::{ControlSender, GateSender, PeersSender};
use crate::telemetry::{Telemetry, log};

/// Open connections. Operators' scripts need few; more would only tie up descriptors.
const CONNECTIONS: usize = 64;
/// Pause after a failed accept, which usually means that no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Who this daemon is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Failure domain.
    pub domain: String,
    /// This run of the daemon.
    pub instance: InstanceId,
    /// Name of the target beside the daemon.
    pub name: String,
}

/// What the task asks and tells.
#[derive(Debug)]
pub struct Admin {
    /// Clock that started with the process, for its age.
    pub clock: Clock,
    /// The `control` task.
    pub control: ControlSender,
    /// The `gate` task.
    pub gate: GateSender,
    /// Who this daemon is.
    pub identity: Identity,
    /// The `peers` task.
    pub peers: PeersSender,
    /// The `telemetry` task.
    pub telemetry: Telemetry,
}

/// Serves operators until the task is dropped.
pub async fn run(listener: TcpListener, admin: Rc<Admin>) {
    loop {
        match listener.accept().await {
            // Each connection holds a reference beside the one of this loop.
            Ok(_) if Rc::strong_count(&admin) > CONNECTIONS => {
                log::warn!("operator connection refused", kv: { limit = CONNECTIONS });
            }
            Ok((stream, _)) => {
                monoio::spawn(serve(stream, Rc::clone(&admin)));
            }
            Err(error) => {
                log::warn!("accept failed on the operators' listener", kv: { error: });
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, admin: Rc<Admin>) {
    let mut connection = Connection::new(stream);
    loop {
        let (response, keep_alive) = match connection.request().await {
            Ok(Some(request)) => (pages::respond(&admin, &request).await, request.keep_alive),
            Ok(None) => return,
            Err(fault) => (pages::fault_page(&fault), false),
        };
        if connection.respond(response, keep_alive).await.is_err() || !keep_alive {
            return;
        }
    }
}
