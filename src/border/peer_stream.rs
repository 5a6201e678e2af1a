use {
    super::{
        PeerTraffic,
        peer_body::{BodyError, read_body},
        peer_client::KEY_HEADER,
        peer_wire::{decode, encode},
    },
    crate::{
        board::Secret,
        port::{PeerCall, PeerHandler, PeerReply},
    },
    bytes::Bytes,
    h2::{Reason, RecvStream, server::SendResponse},
    http::{HeaderMap, Request, Response, StatusCode},
    std::{future::poll_fn, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{select, time::timeout},
};

/// Handler of one stream, which carries one call.
#[derive(Debug)]
pub(super) struct PeerStream<H> {
    handler: H,
    key: Arc<Secret>,
    read_timeout: Duration,
    traffic: PeerTraffic,
}

/// HTTP status and explanation of a refused call.
type Rejection = (StatusCode, String);

impl<H> PeerStream<H>
where
    H: PeerHandler,
{
    /// Creates the handler of a stream; the body must arrive within `read_timeout`.
    pub(super) fn new(
        handler: H,
        key: Arc<Secret>,
        read_timeout: Duration,
        traffic: PeerTraffic,
    ) -> Self {
        Self {
            handler,
            key,
            read_timeout,
            traffic,
        }
    }

    /// Reads the call, passes it to the handler and sends the reply, or the reason of a refusal.
    ///
    /// If the peer resets the stream, the future of the handler is dropped.
    pub(super) async fn run(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let call = match self.read(request).await {
            Ok(call) => call,
            Err((status, reason)) => {
                self.traffic.refused.inc();
                send(&mut respond, status, Bytes::from(reason));
                return;
            }
        };
        let reply = select! {
            reply = self.handler.handle(call) => reply,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        self.traffic.calls_in.inc();
        send_reply(&mut respond, &reply);
    }

    /// Reads the call; fails if the key is wrong or the body too long, late or malformed.
    async fn read(&self, request: Request<RecvStream>) -> Result<PeerCall, Rejection> {
        if !self.is_authorized(request.headers()) {
            let reason =
                String::from("the peer key is wrong; set the same `keys.peers` on all daemons");
            return Err((StatusCode::UNAUTHORIZED, reason));
        }
        let body = match timeout(self.read_timeout, read_body(request.into_body())).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Err((status_of(&e), e.to_string())),
            Err(_) => {
                let reason = String::from("the body did not arrive in time");
                return Err((StatusCode::REQUEST_TIMEOUT, reason));
            }
        };
        decode(&body).map_err(|e| (StatusCode::BAD_REQUEST, e.to_string()))
    }

    /// Returns whether the headers present the peer key; compares in constant time.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        headers
            .get(KEY_HEADER)
            .is_some_and(|key| key.as_bytes().ct_eq(self.key.0.as_bytes()).into())
    }
}

/// HTTP status for a body that could not be read.
fn status_of(error: &BodyError) -> StatusCode {
    match error {
        BodyError::Size => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Stream(_) => StatusCode::BAD_REQUEST,
    }
}

/// Encodes and sends a reply; a reply that cannot be encoded becomes status 500.
fn send_reply(respond: &mut SendResponse<Bytes>, reply: &PeerReply) {
    match encode(reply) {
        Ok(body) => send(respond, StatusCode::OK, body),
        Err(e) => send(
            respond,
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(e.to_string()),
        ),
    }
}

/// Sends a response.
///
/// Errors are ignored: they mean that the stream was reset, so that nobody waits for the response.
fn send(respond: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    match respond.send_response(response, false) {
        Ok(mut stream) => drop(stream.send_data(body, true)),
        Err(_) => respond.send_reset(Reason::CANCEL),
    }
}
