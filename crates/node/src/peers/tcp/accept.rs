//! Requests from peers: one task per connection.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{FutureExt, Shared};
use futures::{pin_mut, select_biased};
use hawthornwall_wire::peer::{Reply, Request, decode_request, encode_reply};
use monoio::net::{TcpListener, TcpStream};

use super::super::inbound::Inbound;
use super::super::link::{ExchangeReports, Exchanged};
use super::conn::IDLE_TIMEOUT;
use super::frame::{Frame, FrameStream};
use crate::open_count::OpenCount;

/// Pause before another connection is accepted where too many are open or accepting has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections of peers that may be open. More wait to be accepted: their requests are then sent
/// elsewhere as unreachable, where a closed connection would leave open whether they have run.
const CONNECTION_LIMIT: usize = 1_000;
/// Time without a request after which a peer has gone without closing its connection.
const GONE_TIMEOUT: Duration = IDLE_TIMEOUT.saturating_mul(3);

/// What the tasks of accepted connections need.
#[derive(Clone, Debug)]
pub(super) struct Accept {
    pub exchanges: ExchangeReports,
    pub inbound: Inbound,
    pub open: Rc<OpenCount>,
    pub silence: Duration,
}

impl Accept {
    /// Accepts connections until told to stop.
    pub async fn run(self, listener: TcpListener, stop: Shared<oneshot::Receiver<()>>) {
        loop {
            if self.open.get() >= CONNECTION_LIMIT {
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            let accept = listener.accept().fuse();
            let mut stop = stop.clone();
            pin_mut!(accept);
            select_biased! {
                accepted = accept => match accepted {
                    Ok((tcp, _)) => self.admit(tcp),
                    // Most often a lack of descriptors.
                    Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
                },
                _ = stop => return,
            }
        }
    }

    fn admit(&self, tcp: TcpStream) {
        let (accept, open) = (self.clone(), self.open.enter());
        monoio::spawn(async move {
            let stream = FrameStream::new(tcp, accept.inbound.limit);
            accept.serve(stream).await;
            drop(open);
        });
    }

    /// Serves requests until the connection closes.
    async fn serve(&self, mut stream: FrameStream) {
        while let Ok(Ok(frame)) = monoio::time::timeout(GONE_TIMEOUT, stream.read()).await {
            let served = match frame {
                Frame::Message(bytes) => self.serve_request(&mut stream, &bytes).await,
                Frame::SignOfLife => stream.write_sign_of_life(self.silence).await.ok(),
            };
            if served.is_none() {
                return;
            }
        }
    }

    /// Serves one request; `None` if the connection is of no more use. A malformed request ends its
    /// connection, so that the sender counts it as lost.
    async fn serve_request(&self, stream: &mut FrameStream, bytes: &[u8]) -> Option<()> {
        let request = decode_request(bytes).ok()?;
        let is_control = matches!(request, Request::StoreUpdate(_) | Request::Exchange(_));
        let reply = self.answer(stream, request).await?;
        let message = encode_reply(&reply);
        if is_control {
            let _ = self.exchanges.unbounded_send(Exchanged {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        stream.write(&message, self.silence).await.ok()
    }

    /// The reply, or `None` once the peer has closed the connection, which cancels the work.
    async fn answer(&self, stream: &mut FrameStream, request: Request) -> Option<Reply> {
        let work = self.inbound.answer(request).fuse();
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
                Ok(Frame::SignOfLife) => stream.write_sign_of_life(self.silence).await.ok()?,
                // A peer sends no request before it has the reply to the last one.
                Ok(Frame::Message(_)) | Err(_) => return None,
            }
        }
    }
}
