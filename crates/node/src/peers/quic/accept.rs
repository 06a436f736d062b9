//! Requests from peers over QUIC: one task per connection and one per stream.

use std::time::Duration;

use futures::{FutureExt, pin_mut, select_biased};
use hawthornwall_wire::peer::{Request, decode_request, encode_reply};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};

use super::super::inbound::Inbound;
use super::super::link::{ExchangeReports, ExchangeSize};
use super::stream::{MessageWriter, read_message};

/// Time for which the acknowledgement of a reply is awaited. A peer that was killed acknowledges nothing, and must not
/// delay the end of a planned stop.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(2);

/// The state shared by the tasks of accepted connections.
#[derive(Clone)]
pub(super) struct Accept {
    pub inbound: Inbound,
    pub exchange_reports: ExchangeReports,
}

impl Accept {
    /// Accepts connections until the endpoint closes.
    pub async fn run(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            monoio::spawn(self.clone().serve(incoming));
        }
    }

    async fn serve(self, incoming: Incoming) {
        // The handshake fails here if the peer doesn't have the fleet key.
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
        // Dropping the writer resets the stream; the sender counts its malformed request as lost.
        let Ok(request) = decode_request(&bytes) else {
            return;
        };
        let _pending = self.inbound.enter(&request);
        let is_control = matches!(request, Request::StoreUpdate(_) | Request::Exchange(_));
        let reply = {
            let work = self.inbound.answer(request).fuse();
            let closed = writer.closed_by_receiver().fuse();
            pin_mut!(work, closed);
            select_biased! {
                reply = work => reply,
                () = closed => None,
            }
        };
        let Some(reply) = reply else { return };
        let message = encode_reply(&reply);
        if is_control {
            let _ = self.exchange_reports.unbounded_send(ExchangeSize {
                received: bytes.len(),
                sent: message.len(),
            });
        }
        if writer.write(&message).await.is_ok() {
            // What is not acknowledged is lost if the endpoint closes.
            let closed = writer.closed_by_receiver();
            let _ = monoio::time::timeout(ACKNOWLEDGE_LIMIT, closed).await;
        }
    }
}
