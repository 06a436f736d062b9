//! Requests from peers: one task per connection, one per stream.

use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_wire::peer::{Request, decode_request, encode_reply};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};

use super::super::inbound::Inbound;
use super::super::link::{ExchangeReports, Exchanged};
use super::stream::{MessageWriter, read_message};

/// What the tasks of accepted connections need.
#[derive(Clone)]
pub(super) struct Accept {
    pub inbound: Inbound,
    pub exchanges: ExchangeReports,
}

impl Accept {
    /// Accepts connections until the endpoint closes.
    pub async fn run(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            monoio::spawn(self.clone().serve(incoming));
        }
    }

    async fn serve(self, incoming: Incoming) {
        // A peer without the fleet's key fails here.
        let Ok(connection) = incoming.await else {
            return;
        };
        self.serve_streams(&connection).await;
    }

    async fn serve_streams(&self, connection: &Connection) {
        while let Ok((send, recv)) = connection.accept_bi().await {
            monoio::spawn(self.clone().serve_stream(send, recv));
        }
    }

    async fn serve_stream(self, send: SendStream, mut recv: RecvStream) {
        let mut writer = MessageWriter::new(send);
        let Some(bytes) = read_message(&mut recv, self.inbound.limit).await else {
            return;
        };
        // A malformed request is answered by a reset, which the sender counts as lost.
        let Ok(request) = decode_request(&bytes) else {
            return;
        };
        let is_control = matches!(request, Request::StoreUpdate(_) | Request::Exchange(_));
        let reply = {
            let work = self.inbound.answer(request).fuse();
            let refused = writer.refused().fuse();
            pin_mut!(work, refused);
            select_biased! {
                reply = work => reply,
                () = refused => None,
            }
        };
        let Some(reply) = reply else { return };
        let message = encode_reply(&reply);
        if is_control {
            let _ = self.exchanges.unbounded_send(Exchanged {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        let _ = writer.write(&message).await;
    }
}
