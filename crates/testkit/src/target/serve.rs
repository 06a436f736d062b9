//! Starts a target: its executor, work port and control port.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;

use super::behaviour::Behaviour;
use super::connection::{Context, serve_work};
use super::executor::Executor;
use super::messages::Message;
use super::scheduler::Scheduler;
use crate::arguments::{ArgumentError, Arguments};
use crate::history::Writer;
use crate::http1::{Coding, Connection, answer, listen};
use crate::timer::Timer;

/// Command line options of `target-fake`.
pub const OPTIONS: [&str; 6] = ["name", "listen", "control", "history", "seed", "behaviour"];

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct Options {
    /// Initial behaviour; requests to the control port change it.
    pub behaviour: Behaviour,
    /// Address of the control port, which takes `/control`, `/stall` and `/stats`.
    pub control: SocketAddr,
    /// File to which the target appends its events; none are recorded without it.
    pub history: Option<PathBuf>,
    /// Address of the work port, which also answers `/health` and `/load`.
    pub listen: SocketAddr,
    /// Name of the target in answer bodies and in the history.
    pub name: String,
    /// Seed of service times, shedding and stalls.
    pub seed: u64,
}

impl Options {
    /// Parses the command line. `--behaviour` is a JSON object with the fields that differ from
    /// [`Behaviour::default`].
    ///
    /// # Errors
    ///
    /// Returns an error if a required option is missing or a value is invalid.
    pub fn from_arguments(arguments: &Arguments) -> Result<Self, ArgumentError> {
        let changes: Option<String> = arguments.optional("behaviour")?;
        let changes = changes.unwrap_or_else(|| "{}".to_owned());
        let behaviour = Behaviour::default().with(changes.as_bytes());
        Ok(Self {
            behaviour: behaviour.map_err(|e| ArgumentError::Syntax(format!("--behaviour: {e}")))?,
            control: arguments.required("control")?,
            history: arguments.optional("history")?,
            listen: arguments.required("listen")?,
            name: arguments.required("name")?,
            seed: arguments.optional("seed")?.unwrap_or(1),
        })
    }
}

/// Starts the target and returns the addresses of its work and control ports. It must be called
/// inside the runtime.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the history can't be opened.
pub fn serve(options: &Options) -> std::io::Result<(SocketAddr, SocketAddr)> {
    let history = Writer::open(options.history.as_deref(), &options.name)?;
    let scheduler = Scheduler::new(options.behaviour.clone(), options.seed, Instant::now());
    let (executor, receiver) = mpsc::unbounded();
    let timer = Timer::start()?;
    monoio::spawn(Executor::new(scheduler, history).run(receiver, timer.clone()));
    let context = Context {
        executor: executor.clone(),
        name: options.name.clone(),
        timer,
    };
    let ids = Rc::new(Cell::new(0));
    let work = listen(options.listen, move |connection| {
        let (context, ids) = (context.clone(), Rc::clone(&ids));
        let next_id = move || ids.replace(ids.get() + 1);
        async move {
            serve_work(connection, context, next_id).await;
        }
    })?;
    let control = listen(options.control, move |connection| {
        serve_control(connection, executor.clone())
    })?;
    Ok((work, control))
}

async fn serve_control(mut connection: Connection, executor: mpsc::UnboundedSender<Message>) {
    while let Ok(Some(request)) = connection.read_request().await {
        let Some(answer) = control(&request, &executor).await else {
            return;
        };
        if connection.reply(&answer, Coding::Fixed).await.is_err() {
            return;
        }
    }
}

async fn control(
    request: &Request<Bytes>,
    executor: &mpsc::UnboundedSender<Message>,
) -> Option<Response<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/control") => {
            let (reply, result) = oneshot::channel();
            let changes = request.body().to_vec();
            executor
                .unbounded_send(Message::Control(changes, reply))
                .ok()?;
            match result.await.ok()? {
                Ok(behaviour) => json(&behaviour),
                Err(e) => Some(answer(StatusCode::BAD_REQUEST, e)),
            }
        }
        (&Method::POST, "/stall") => {
            let ms = std::str::from_utf8(request.body()).ok()?.parse().ok();
            let Some(ms) = ms else {
                return Some(answer(StatusCode::BAD_REQUEST, "a number of milliseconds"));
            };
            let stall = Message::Stall(Duration::from_millis(ms));
            executor.unbounded_send(stall).ok()?;
            json(&ms)
        }
        (&Method::GET, "/control") => {
            let (reply, behaviour) = oneshot::channel();
            executor.unbounded_send(Message::Behaviour(reply)).ok()?;
            json(&behaviour.await.ok()?)
        }
        (&Method::GET, "/stats") => {
            let (reply, counts) = oneshot::channel();
            executor.unbounded_send(Message::Counts(reply)).ok()?;
            json(&counts.await.ok()?)
        }
        _ => Some(answer(StatusCode::NOT_FOUND, "")),
    }
}

fn json<T: Serialize>(value: &T) -> Option<Response<Bytes>> {
    let text = serde_json::to_vec(value).ok()?;
    Some(answer(StatusCode::OK, text))
}
