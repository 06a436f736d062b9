//! The task that owns one connection from a caller.
//!
//! Its receiving and its sending side run beside the part that decides, and exchange messages with it.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_core::pipeline::{Effect, Event, Pipeline, Position};
use http::Method;
use monoio::net::TcpStream;

use super::incoming::{CallerRequest, Incoming, Order, Receiver};
use super::listener::Backend;
use super::reply::{self, Reply};
use super::serve::{self, OpenedCall};
use super::stop::{ConnectionUse, Phase, Phases};
use crate::http::{HttpMessage, HttpStream, HttpWriter, ReadFault};
use crate::memory::{Lease, Serving};
use crate::telemetry::log;

/// Interim response for callers that send `Expect: 100-continue` before the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves the requests of a connection until it closes. While the daemon stops, requests in progress are
/// still answered.
pub(super) async fn run(
    tcp: TcpStream,
    backend: Backend,
    phases: Phases,
    usage: ConnectionUse,
    lease: Rc<Lease>,
) {
    let mut stream = HttpStream::leased(tcp, backend.limits.request(), &lease);
    let end = {
        let (incoming_sender, incoming) = mpsc::unbounded();
        let (orders, order_receiver) = mpsc::unbounded();
        let (outgoing, messages) = mpsc::unbounded();
        let (written_sender, written) = mpsc::unbounded();
        let receiver = Receiver {
            buffer: backend.pipeline.bytes,
            incoming: incoming_sender,
            lease: Rc::clone(&lease),
            limits: &backend.limits,
            orders: order_receiver,
            reader: &mut stream.reader,
        };
        let reading = receiver.run().fuse();
        let writing = write_all(&mut stream.writer, messages, written_sender).fuse();
        let (pipeline, effects) = match usage {
            ConnectionUse::Kept => Pipeline::start(backend.pipeline),
            ConnectionUse::Single => Pipeline::start_last(backend.pipeline),
        };
        let connection = Connection {
            answers: BTreeMap::new(),
            backend: &backend,
            calls: FuturesUnordered::new(),
            incoming,
            lease: &lease,
            methods: BTreeMap::new(),
            opened: BTreeMap::new(),
            orders,
            outgoing,
            pipeline,
            unopened: None,
            written,
        };
        let stop = match usage {
            ConnectionUse::Kept => phases.closing,
            ConnectionUse::Single => phases.ended,
        };
        let serving = connection.run(effects, stop).fuse();
        let evicted = lease.evicted().fuse();
        pin_mut!(serving, reading, writing, evicted);
        loop {
            select_biased! {
                () = evicted => break ConnectionEnd::Drop,
                end = serving => break end,
                () = reading => {}
                () = writing => {}
            }
        }
    };
    match end {
        ConnectionEnd::Close => stream.close().await,
        ConnectionEnd::Drop => {}
    }
}

/// Writes what it receives, one message after the other, and reports the end of each write.
async fn write_all(
    writer: &mut HttpWriter,
    mut messages: mpsc::UnboundedReceiver<HttpMessage>,
    written: mpsc::UnboundedSender<io::Result<()>>,
) {
    while let Some(message) = messages.next().await {
        let _ = written.unbounded_send(writer.write(message).await);
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// Close the connection gracefully, so that the last answer arrives.
    Close,
    /// Drop the connection, which has failed or been closed by the caller.
    Drop,
}

/// What has been read from the connection and isn't opened yet.
enum Unopened {
    /// The answer to a request that can't be read.
    Reply(Reply),
    Request(Box<CallerRequest>),
}

/// Progress of a call.
enum CallEvent<'a> {
    Answered(Position, Reply),
    Opened(Position, Box<OpenedCall<'a>>),
}

/// Input of one iteration of the connection's loop.
enum Input<'a> {
    Call(CallEvent<'a>),
    /// Nothing has been in flight for the idle time.
    Idle,
    Incoming(Incoming),
    Stop,
    Written(io::Result<()>),
}

/// The requests in flight on a connection, with the channels to its receiving and sending sides.
struct Connection<'a> {
    /// Answers that wait for the answers before them.
    answers: BTreeMap<Position, Reply>,
    backend: &'a Backend,
    calls: FuturesUnordered<LocalBoxFuture<'a, CallEvent<'a>>>,
    incoming: mpsc::UnboundedReceiver<Incoming>,
    lease: &'a Lease,
    /// Methods of the requests in flight.
    methods: BTreeMap<Position, Method>,
    /// Calls that wait until they may be passed on.
    opened: BTreeMap<Position, Box<OpenedCall<'a>>>,
    orders: mpsc::UnboundedSender<Order>,
    outgoing: mpsc::UnboundedSender<HttpMessage>,
    pipeline: Pipeline,
    unopened: Option<Unopened>,
    written: mpsc::UnboundedReceiver<io::Result<()>>,
}

impl<'a> Connection<'a> {
    /// Handles inputs until the connection ends. Dropping the future cancels the calls in flight.
    async fn run(mut self, effects: Vec<Effect>, stop: Phase) -> ConnectionEnd {
        let mut stop = stop.fuse();
        let mut effects = effects;
        loop {
            if !self.hold().await {
                return ConnectionEnd::Drop;
            }
            for effect in effects {
                if effect == Effect::Close {
                    return ConnectionEnd::Close;
                }
                self.perform(effect);
            }
            let idle = self.idle_time().fuse();
            pin_mut!(idle);
            let input = select_biased! {
                call = self.calls.select_next_some() => Input::Call(call),
                written = self.written.select_next_some() => Input::Written(written),
                incoming = self.incoming.select_next_some() => Input::Incoming(incoming),
                _ = stop => Input::Stop,
                () = idle => Input::Idle,
            };
            effects = match self.event(input) {
                Ok(event) => event.map_or_else(Vec::new, |event| self.pipeline.on(event)),
                Err(end) => return end,
            };
        }
    }

    /// Accounts for the requests in flight and their answers; false if there is no memory for them.
    async fn hold(&self) -> bool {
        let serving = if self.pipeline.is_writing() {
            Serving::Sending
        } else if self.pipeline.in_flight() > 0 {
            Serving::Running
        } else {
            Serving::Nothing
        };
        self.lease.hold(self.pipeline.bytes(), serving).await
    }

    /// The event of an input, if it is one for the pipeline.
    fn event(&mut self, input: Input<'a>) -> Result<Option<Event>, ConnectionEnd> {
        let event = match input {
            Input::Call(CallEvent::Answered(at, reply)) => self.answered(at, reply),
            Input::Call(CallEvent::Opened(at, call)) => {
                let repeats = call.repeats();
                // A discarded request has no method any more.
                if self.methods.contains_key(&at) {
                    self.opened.insert(at, call);
                }
                Event::Opened(at, repeats)
            }
            Input::Idle => {
                self.order(Order::End);
                return Ok(None);
            }
            Input::Incoming(Incoming::Closed) | Input::Written(Err(_)) => {
                return Err(ConnectionEnd::Drop);
            }
            Input::Incoming(Incoming::Ended) => Event::ReadEnded,
            Input::Incoming(Incoming::Expects) => Event::ExpectsContinue,
            Input::Incoming(Incoming::Fault(fault)) => self.faulty(&fault),
            Input::Incoming(Incoming::Request(request)) => {
                let (bytes, close) = (request.bytes(), request.close);
                self.lease.accept(bytes);
                self.unopened = Some(Unopened::Request(request));
                Event::Read { bytes, close }
            }
            Input::Stop => Event::Stop,
            Input::Written(Ok(())) => Event::Written,
        };
        Ok(Some(event))
    }

    /// Completes after the idle time; never while a request is in flight.
    fn idle_time(&self) -> impl Future<Output = ()> + use<> {
        let idle = (self.pipeline.in_flight() == 0).then(|| self.backend.limits.idle());
        async move {
            match idle {
                Some(idle) => monoio::time::sleep(idle).await,
                None => std::future::pending().await,
            }
        }
    }

    fn answered(&mut self, at: Position, reply: Reply) -> Event {
        let bytes = reply.body_length();
        self.answers.insert(at, reply);
        Event::Answered { at, bytes }
    }

    /// Some faults have an answer; after the others the connection closes without one.
    fn faulty(&mut self, fault: &ReadFault) -> Event {
        let Some(mut reply) = reply::for_read_fault(fault) else {
            return Event::ReadEnded;
        };
        let backend = self.backend;
        reply.set_retry_after(|refusal| backend.return_delay(refusal), backend.dialect);
        let bytes = reply.body_length();
        self.unopened = Some(Unopened::Reply(reply));
        Event::Read { bytes, close: true }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Close => {}
            Effect::Continue => {
                self.send(HttpMessage::without_body(CONTINUE));
                self.order(Order::Continue);
            }
            Effect::Discard(at) => self.discard(at),
            Effect::EndRead => self.order(Order::End),
            Effect::Open(at) => self.open(at),
            Effect::Read => self.order(Order::Next),
            Effect::Start(at) => self.start(at),
            Effect::Write { close, at } => self.write(at, close),
        }
    }

    fn order(&self, order: Order) {
        let _ = self.orders.unbounded_send(order);
    }

    fn send(&self, message: HttpMessage) {
        let _ = self.outgoing.unbounded_send(message);
    }

    fn discard(&mut self, at: Position) {
        self.answers.remove(&at);
        self.methods.remove(&at);
        self.opened.remove(&at);
        log::info!("dropped a request as not read: the answer before it closes the connection");
    }

    fn open(&mut self, at: Position) {
        let backend = self.backend;
        match self.unopened.take() {
            Some(Unopened::Request(request)) => {
                let CallerRequest {
                    arrived,
                    http,
                    method,
                    ..
                } = *request;
                self.methods.insert(at, method);
                let arrived = backend.clock.at(arrived);
                let open = async move {
                    match serve::open(backend, http, arrived).await {
                        Ok(call) => CallEvent::Opened(at, Box::new(call)),
                        Err(reply) => CallEvent::Answered(at, reply),
                    }
                };
                self.calls.push(open.boxed_local());
            }
            Some(Unopened::Reply(reply)) => {
                self.methods.insert(at, Method::GET);
                let answered = CallEvent::Answered(at, reply);
                self.calls.push(std::future::ready(answered).boxed_local());
            }
            None => unreachable!("a request is opened only when it has been read"),
        }
    }

    fn start(&mut self, at: Position) {
        if let Some(call) = self.opened.remove(&at) {
            let answer = async move { CallEvent::Answered(at, call.run().await) };
            self.calls.push(answer.boxed_local());
        }
    }

    fn write(&mut self, at: Position, close: bool) {
        let reply = self.answers.remove(&at);
        let method = self.methods.remove(&at);
        if let (Some(reply), Some(method)) = (reply, method) {
            self.send(reply.encode(&method, close));
        }
    }
}
