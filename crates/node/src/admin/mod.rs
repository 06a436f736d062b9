//! The operators' HTTP listener: `/status`, `/config`, `/metrics`, `/ready` and `/drain`.
//!
//! The task owns the listener; each connection is a task that owns its socket. They share no state with
//! other tasks: each page queries them by message, and shows null for a task that doesn't reply in time.

mod http;
mod pages;

use std::rc::Rc;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use monoio::net::{TcpListener, TcpStream};

use self::http::Connection;
use crate::clock::Clock;
use crate::memory::Memory;
use crate::messages::{ControlSender, GateSender, PeersSender};
use crate::telemetry::{Telemetry, log};

/// Most connections open at once. Operators' scripts need few; more would only use up file descriptors.
const CONNECTION_LIMIT: usize = 64;
/// Delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Identity of this daemon on the status page.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Failure domain of this instance.
    pub domain: String,
    /// Random id of this run of the daemon.
    pub instance: InstanceId,
    /// Name of the daemon's local target.
    pub name: String,
}

/// Data and senders that the connections use.
#[derive(Debug)]
pub struct Admin {
    /// Clock that started with the process, from which the uptime is computed.
    pub clock: Clock,
    /// Channel to the `control` task.
    pub control: ControlSender,
    /// Channel to the `gate` task.
    pub gate: GateSender,
    /// Names and id of this daemon, shown on the status page.
    pub identity: Identity,
    /// Budget of buffered bytes and connections.
    pub memory: Memory,
    /// Channel to the `peers` task.
    pub peers: PeersSender,
    /// Handle of the `telemetry` task.
    pub telemetry: Telemetry,
}

/// Accepts and serves connections until the task is dropped.
pub async fn run(listener: TcpListener, admin: Rc<Admin>) {
    loop {
        match listener.accept().await {
            // One reference belongs to this loop, each other one to an open connection.
            Ok(_) if Rc::strong_count(&admin) > CONNECTION_LIMIT => {
                log::warn!("operator connection refused", kv: { limit = CONNECTION_LIMIT });
            }
            Ok((stream, _)) => {
                monoio::spawn(serve(stream, Rc::clone(&admin)));
            }
            Err(error) => {
                log::warn!("accept failed on the operators' listener", kv: { error: });
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, admin: Rc<Admin>) {
    let mut connection = Connection::new(stream);
    loop {
        let (response, keep_alive) = match connection.next_request().await {
            Ok(Some(request)) => (pages::respond(&admin, &request).await, request.keep_alive),
            Ok(None) => return,
            Err(fault) => (pages::error_page(&fault), false),
        };
        if connection.respond(response, keep_alive).await.is_err() || !keep_alive {
            return;
        }
    }
}
