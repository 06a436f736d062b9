//! Requests from peers over TCP: one task per connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use futures::{pin_mut, select_biased};
use hawthornwall_core::memory::Owner;
use hawthornwall_wire::peer::{Request, decode_request, reply_parts};
use monoio::net::{TcpListener, TcpStream};

use super::super::bodies::BodyGrant;
use super::super::inbound::Inbound;
use super::super::link::{ExchangeReports, ExchangeSize};
use super::conn::IDLE_TIMEOUT;
use super::frame::{Frame, FrameStream};
use crate::memory::{Lease, Serving};
use crate::open_count::OpenCount;

/// Time before the next accept if the connection limit is reached or accepting has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of open connections from peers. Further ones stay in the accept queue, so that their
/// requests fail as unreachable and are sent to other targets. If they were closed instead, it would be
/// unknown whether their requests have run.
const CONNECTION_LIMIT: usize = 1_000;
/// Time without a request after which a connection is closed, since the peer has failed without closing
/// it. It exceeds [`IDLE_TIMEOUT`], after which a running peer closes an idle connection.
const PEER_IDLE_TIMEOUT: Duration = IDLE_TIMEOUT.saturating_mul(3);

/// The state shared by the tasks of accepted connections.
#[derive(Clone, Debug)]
pub(super) struct Accept {
    pub exchange_reports: ExchangeReports,
    pub inbound: Inbound,
    pub open: Rc<OpenCount>,
    pub silence: Duration,
}

impl Accept {
    /// Accepts connections until `stop` resolves.
    pub async fn run(self, listener: TcpListener, stop: Shared<oneshot::Receiver<()>>) {
        let accepting = self.accept_all(&listener).fuse();
        let mut stop = stop;
        pin_mut!(accepting);
        select_biased! {
            _ = stop => {}
            () = accepting => {}
        }
    }

    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            if self.open.get() >= CONNECTION_LIMIT {
                monoio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
            // The room for a connection is reserved before it is accepted; see [`CONNECTION_LIMIT`].
            let Some(lease) = self.inbound.memory.open(Owner::Peer).await else {
                monoio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let accept = listener.accept().fuse();
            let evicted = lease.evicted().fuse();
            pin_mut!(accept, evicted);
            select_biased! {
                accepted = accept => match accepted {
                    Ok((tcp, _)) => self.spawn_serve(tcp, Rc::clone(&lease)),
                    // Usually the limit of open file descriptors is reached.
                    Err(_) => monoio::time::sleep(ACCEPT_BACKOFF).await,
                },
                () = evicted => {}
            }
        }
    }

    fn spawn_serve(&self, tcp: TcpStream, lease: Rc<Lease>) {
        let (accept, open) = (self.clone(), self.open.enter());
        monoio::spawn(async move {
            let stream = FrameStream::new(tcp, accept.inbound.limit, Rc::clone(&lease));
            let (serve, evicted) = (accept.serve(stream).fuse(), lease.evicted().fuse());
            pin_mut!(serve, evicted);
            select_biased! {
                () = serve => {}
                () = evicted => {}
            }
            drop(open);
        });
    }

    /// Handles requests until the connection closes.
    async fn serve(&self, mut stream: FrameStream) {
        // The grant of the body that follows on this connection. It ends once the body has been read or the
        // connection has closed.
        let mut grant = None;
        while let Ok(Ok(frame)) = monoio::time::timeout(PEER_IDLE_TIMEOUT, stream.read()).await {
            let served = match frame {
                Frame::Message(bytes) => {
                    drop(grant.take());
                    self.serve_request(&mut stream, &bytes, &mut grant).await
                }
                Frame::KeepAlive => stream.write_keep_alive(self.silence).await.ok(),
            };
            if served.is_none() {
                return;
            }
        }
    }

    /// Handles one request; `None` if the connection must be closed. A malformed request closes its
    /// connection, so that the sender counts it as lost.
    async fn serve_request(
        &self,
        stream: &mut FrameStream,
        bytes: &Bytes,
        grant: &mut Option<BodyGrant>,
    ) -> Option<()> {
        let request = decode_request(bytes).ok()?;
        let _pending = self.inbound.enter(&request);
        let _ = stream.hold(bytes.len(), Serving::Running).await;
        let is_control = matches!(request, Request::StoreUpdate(_) | Request::Exchange(_));
        let reply = match request {
            Request::OfferBody(id, offer) => {
                let admitted = self.inbound.admit_body(id, offer);
                let (reply, granted) = self.answer(stream, admitted).await?;
                *grant = granted;
                reply
            }
            Request::StoreUpdate(_)
            | Request::Exchange(_)
            | Request::IssueKey { .. }
            | Request::Run(..) => {
                let work = self.inbound.answer(request);
                self.answer(stream, work).await?
            }
        };
        let message = reply_parts(&reply);
        if is_control {
            let _ = self.exchange_reports.unbounded_send(ExchangeSize {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        if !stream
            .hold(bytes.len() + message.len(), Serving::Sending)
            .await
        {
            return None;
        }
        stream.write(&message, self.silence).await.ok()?;
        stream.hold(0, Serving::Nothing).await.then_some(())
    }

    /// Returns the result of `work`; `None` if the connection must be closed, since it failed, the peer closed it or
    /// violated the protocol, or the responsible task dropped the request. The work is then cancelled.
    async fn answer<T>(
        &self,
        stream: &mut FrameStream,
        work: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        let work = work.fuse();
        pin_mut!(work);
        loop {
            let frame = {
                let read = stream.read().fuse();
                pin_mut!(read);
                select_biased! {
                    reply = work => return reply,
                    frame = read => frame,
                }
            };
            match frame {
                Ok(Frame::KeepAlive) => stream.write_keep_alive(self.silence).await.ok()?,
                // A second request before the reply to the first one violates the protocol.
                Ok(Frame::Message(_)) | Err(_) => return None,
            }
        }
    }
}
