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

/// Answers the one call of one stream.
#[derive(Debug)]
pub(super) struct PeerStream<H> {
    handler: H,
    key: Arc<Secret>,
    read_time: Duration,
    traffic: PeerTraffic,
}

/// Status and explanation of a refused call.
type Refused = (StatusCode, String);

impl<H> PeerStream<H>
where
    H: PeerHandler,
{
    pub(super) fn new(
        handler: H,
        key: Arc<Secret>,
        read_time: Duration,
        traffic: PeerTraffic,
    ) -> Self {
        Self {
            handler,
            key,
            read_time,
            traffic,
        }
    }

    /// Reads the call, lets the handler answer and sends the reply.
    ///
    /// A reset of the stream drops the handler's future.
    pub(super) async fn run(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let call = match self.read(request).await {
            Ok(call) => call,
            Err((status, why)) => {
                self.traffic.refused.inc();
                send(&mut respond, status, Bytes::from(why));
                return;
            }
        };
        let reply = select! {
            reply = self.handler.handle(call) => reply,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        self.traffic.calls_in.inc();
        reply_with(&mut respond, &reply);
    }

    async fn read(&self, request: Request<RecvStream>) -> Result<PeerCall, Refused> {
        if !self.admits(request.headers()) {
            let why = String::from("the peer key is wrong");
            return Err((StatusCode::UNAUTHORIZED, why));
        }
        let body = match timeout(self.read_time, read_body(request.into_body())).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Err((status_of(&e), e.to_string())),
            Err(_) => {
                let why = String::from("the body did not arrive in time");
                return Err((StatusCode::REQUEST_TIMEOUT, why));
            }
        };
        decode(&body).map_err(|e| (StatusCode::BAD_REQUEST, e.to_string()))
    }

    fn admits(&self, headers: &HeaderMap) -> bool {
        headers
            .get(KEY_HEADER)
            .is_some_and(|key| key.as_bytes().ct_eq(self.key.0.as_bytes()).into())
    }
}

fn status_of(error: &BodyError) -> StatusCode {
    match error {
        BodyError::Size => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Stream(_) => StatusCode::BAD_REQUEST,
    }
}

fn reply_with(respond: &mut SendResponse<Bytes>, reply: &PeerReply) {
    match encode(reply) {
        Ok(body) => send(respond, StatusCode::OK, body),
        Err(e) => send(
            respond,
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(e.to_string()),
        ),
    }
}

/// Sends a response; an error means that the stream is gone, and with it whoever would read it.
fn send(respond: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    match respond.send_response(response, false) {
        Ok(mut stream) => drop(stream.send_data(body, true)),
        Err(_) => respond.send_reset(Reason::CANCEL),
    }
}
