//! The receiving side of a caller's connection: reads one request for each order.
//!
//! Invariant: a request is read only on an order, so that the pipeline's bounds hold. In between, bytes are
//! buffered up to a limit, and a caller that closes the connection is noticed.

use std::rc::Rc;
use std::time::Instant;

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use hawthornwall_wire::head::Framing;
use hawthornwall_wire::peer::HttpRequest;
use http::header::EXPECT;
use http::request::Parts as RequestHead;
use http::{Method, Version};

use super::limits::CallerLimits;
use crate::http::{HttpReader, ReadFault, from_request_head, request_keeps_open};
use crate::memory::Lease;

/// What the connection's task asks its reader to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Order {
    /// Read the body for which the caller got an interim response.
    Continue,
    /// End the read in progress, unless a part of a request has arrived.
    End,
    /// Read the next request.
    Next,
}

/// What the reader tells its connection's task.
#[derive(Debug)]
pub(super) enum Incoming {
    /// The caller has closed the connection, or it has failed.
    Closed,
    /// The read has ended between two requests, as ordered.
    Ended,
    /// The caller waits for an interim response before it sends a body.
    Expects,
    /// A request can't be read. Nothing further is read, since the start of the next one is unknown.
    Fault(ReadFault),
    /// The next request.
    Request(Box<CallerRequest>),
}

/// A complete request as a caller sent it.
#[derive(Debug)]
pub(super) struct CallerRequest {
    /// When its last byte arrived.
    pub arrived: Instant,
    /// Whether the caller asks to close the connection after the answer.
    pub close: bool,
    pub http: HttpRequest,
    pub method: Method,
}

impl CallerRequest {
    /// Length of the body and of the largest parts of the head, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.http.headers.iter();
        let headers: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
        self.http.body.len() + self.http.path.len() + headers
    }
}

/// The receiving side of a connection and its channels.
#[derive(Debug)]
pub(super) struct Receiver<'a> {
    pub lease: Rc<Lease>,
    pub limits: &'a CallerLimits,
    /// Number of bytes that are buffered between two orders.
    pub buffer: usize,
    pub incoming: mpsc::UnboundedSender<Incoming>,
    pub orders: mpsc::UnboundedReceiver<Order>,
    pub reader: &'a mut HttpReader,
}

impl Receiver<'_> {
    /// Carries out orders until the caller closes the connection or the sender of orders is dropped.
    pub async fn run(mut self) {
        loop {
            let order = {
                let order = self.orders.next().fuse();
                let closed = self.reader.closed(self.buffer).fuse();
                pin_mut!(order, closed);
                select_biased! {
                    order = order => order,
                    () = closed => break,
                }
            };
            let incoming = match order {
                None => return,
                // The request of these orders has been read in the meantime.
                Some(Order::Continue | Order::End) => continue,
                Some(Order::Next) => match self.read().await {
                    Ok(Some(request)) => {
                        self.lease.deliver(request.bytes());
                        Incoming::Request(Box::new(request))
                    }
                    Ok(None) => Incoming::Ended,
                    Err(ReadFault::Closed | ReadFault::Incomplete | ReadFault::Io(_)) => break,
                    Err(fault) => {
                        self.reader.clear().await;
                        Incoming::Fault(fault)
                    }
                },
            };
            let _ = self.incoming.unbounded_send(incoming);
        }
        let _ = self.incoming.unbounded_send(Incoming::Closed);
    }

    /// Reads the next request; `None` if the read ended before its first byte.
    async fn read(&mut self) -> Result<Option<CallerRequest>, ReadFault> {
        if !self.await_request().await? {
            return Ok(None);
        }
        // Limits may have changed since the last request on the connection.
        self.reader.set_limits(self.limits.request());
        let (head, framing) = self.read_head().await?;
        if expects_continue(&head, framing, self.reader) {
            let _ = self.incoming.unbounded_send(Incoming::Expects);
            self.await_continue().await;
        }
        let body = self.reader.read_body(framing).await?;
        Ok(Some(CallerRequest {
            arrived: self.reader.last_arrival().unwrap_or_else(Instant::now),
            close: !request_keeps_open(&head),
            method: head.method.clone(),
            http: from_request_head(&head, body),
        }))
    }

    async fn read_head(&mut self) -> Result<(RequestHead, Framing), ReadFault> {
        let head = self.reader.read_request_head();
        match self.limits.head_time() {
            Some(limit) => match monoio::time::timeout(limit, head).await {
                Ok(head) => head,
                Err(_) => Err(ReadFault::Idle),
            },
            None => head.await,
        }
    }

    /// Waits for the first bytes of the next request; false if the read has been ended.
    async fn await_request(&mut self) -> Result<bool, ReadFault> {
        loop {
            let bytes = self.reader.readable_or_closed().fuse();
            let order = self.orders.next().fuse();
            pin_mut!(bytes, order);
            select_biased! {
                () = bytes => break,
                order = order => match order {
                    Some(Order::End) | None => return Ok(false),
                    Some(Order::Continue | Order::Next) => {}
                },
            }
        }
        if self.reader.has_buffered() {
            Ok(true)
        } else {
            Err(ReadFault::Closed)
        }
    }

    /// Waits until the interim response has been sent, or the caller sends the body without it.
    async fn await_continue(&mut self) {
        loop {
            let bytes = self.reader.readable_or_closed().fuse();
            let order = self.orders.next().fuse();
            pin_mut!(bytes, order);
            select_biased! {
                () = bytes => return,
                order = order => match order {
                    Some(Order::Continue) | None => return,
                    Some(Order::End | Order::Next) => {}
                },
            }
        }
    }
}

/// Whether the caller waits for an interim response. A body that is too long is not asked for.
fn expects_continue(head: &RequestHead, framing: Framing, reader: &HttpReader) -> bool {
    let expects = head.version == Version::HTTP_11
        && head
            .headers
            .get(EXPECT)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let fits = !matches!(framing, Framing::Length(length) if length > reader.body_limit());
    expects && fits && framing != Framing::None && !reader.has_buffered()
}
