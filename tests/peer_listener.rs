//! Calls between daemons over HTTP/2: replies, refusals, resets and lost connections.

use {
    bytes::Bytes,
    http::Request,
    insta::assert_debug_snapshot,
    lentillead::{
        board::Secret,
        border::{
            PeerClient, PeerListener, PeerTraffic,
            peer_wire::{MAX_MESSAGE_BYTES, encode},
        },
        port::{Peer, PeerCall, PeerHandler, PeerReply},
    },
    std::{future::pending, sync::Arc},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
    tokio_util::sync::CancellationToken,
};

const KEY: &str = "peer-key";

/// Replies to `Status`; any other call never completes, and its future notifies when it starts
/// and when it is dropped.
#[derive(Clone, Debug, Default)]
struct Echo {
    started: Arc<Notify>,
    dropped: Arc<Notify>,
}

struct DropNotifier(Arc<Notify>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl PeerHandler for Echo {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        if call == PeerCall::Status {
            return PeerReply::Status(String::from("well"));
        }
        let _notifier = DropNotifier(Arc::clone(&self.dropped));
        self.started.notify_one();
        pending().await
    }
}

async fn listen(echo: Echo) -> (String, CancellationToken) {
    let key = Secret(String::from(KEY));
    let listener = PeerListener::bind("127.0.0.1:0", key, echo).await.unwrap();
    let address = listener.address().unwrap().to_string();
    let stop = CancellationToken::new();
    tokio::spawn(listener.serve(stop.clone()));
    (address, stop)
}

fn client(key: &str) -> PeerClient {
    let key = Secret(String::from(key));
    PeerClient::new(&key, 1, PeerTraffic::default()).unwrap()
}

/// Sends a body without the checks of `PeerClient`; returns the status and the response text up to
/// its first colon.
async fn post(address: &str, body: Bytes) -> (u16, String) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let request = Request::post(format!("http://{address}/")).header("x-peer-key", KEY);
    let request = request.body(()).unwrap();
    let (response, mut send) = sender.send_request(request, false).unwrap();
    send.send_data(body, true).unwrap();
    let response = response.await.unwrap();
    let status = response.status().as_u16();
    let text = response.into_body().data().await.unwrap().unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let (kind, _) = text.split_once(':').unwrap_or((&text, ""));
    (status, String::from(kind))
}

#[tokio::test]
async fn calls_are_answered_or_refused() {
    let (address, _stop) = listen(Echo::default()).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unused = closed.local_addr().unwrap().to_string();
    drop(closed);
    let unsent = client(KEY).call(&unused, PeerCall::Status).await;
    let mut status = encode(&PeerCall::Status).unwrap().to_vec();
    let mut long = status.clone();
    long.push(0);
    let cases = (
        client(KEY).call(&address, PeerCall::Status).await,
        client("other-key").call(&address, PeerCall::Status).await,
        unsent
            .unwrap_err()
            .to_string()
            .split(':')
            .next()
            .map(String::from),
        post(&address, Bytes::new()).await,
        post(&address, Bytes::from(vec![1; MAX_MESSAGE_BYTES + 1])).await,
        post(&address, Bytes::from(long)).await,
        post(&address, Bytes::from(vec![2, 250])).await,
        {
            status[0] = 9;
            post(&address, Bytes::from(status)).await
        },
    );
    assert_debug_snapshot!("peer_calls", cases);
}

#[tokio::test]
async fn a_reset_stream_drops_its_handler() {
    let echo = Echo::default();
    let (address, _stop) = listen(echo.clone()).await;
    let client = client(KEY);
    let call = tokio::spawn(async move {
        let call = PeerCall::Sheet { since: 0 };
        client.call(&address, call).await
    });
    echo.started.notified().await;
    call.abort();
    echo.dropped.notified().await;
}

#[tokio::test]
async fn a_connection_closed_after_the_request_reports_a_lost_reply() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(stream).await.unwrap();
        connection.accept().await.unwrap().unwrap();
    });
    let reply = client(KEY).call(&address, PeerCall::Status).await;
    let kind = reply.unwrap_err().to_string();
    assert!(kind.starts_with("the peer's reply was lost"), "{kind}");
}
