//! Callers whose HTTP/2 connections carry many bodies that lack their end.

use {
    bytes::Bytes,
    h2::{SendStream, client},
    http::Request,
    std::{future::poll_fn, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinSet, time::timeout},
};

/// Number of connections, and of requests on each.
const CONNECTIONS: usize = 150;
const STREAMS: usize = 16;

/// Bytes that are sent of each body, as far as the process takes them.
const BODY_BYTES: usize = 512 << 10;

/// Time after which a caller stops sending.
const SEND_LIMIT: Duration = Duration::from_secs(4);

/// Callers with open connections.
pub struct Http2Senders {
    _callers: JoinSet<()>,
}

impl Http2Senders {
    /// Has callers that present `key` send to `address`; returns once they have sent what is taken.
    pub async fn start(address: SocketAddr, key: &str) -> Self {
        let mut callers = JoinSet::new();
        let mut sending = JoinSet::new();
        for _ in 0..CONNECTIONS {
            let key = key.to_owned();
            sending.spawn(async move { timeout(SEND_LIMIT, open(address, key)).await });
        }
        for opened in sending.join_all().await {
            // The process may refuse a connection.
            let Ok(Some((connection, streams))) = opened else {
                continue;
            };
            callers.spawn(hold(connection, streams));
        }
        Self { _callers: callers }
    }
}

/// A task that drives a connection.
type Driver = JoinSet<()>;

/// Sends requests without their ends on a new connection; returns what keeps them open.
async fn open(address: SocketAddr, key: String) -> Option<(Driver, Vec<SendStream<Bytes>>)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = client::handshake(stream).await.ok()?;
    let mut driver = JoinSet::new();
    driver.spawn(async move { connection.await.unwrap_or_default() });
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        sender = sender.ready().await.ok()?;
        let request = Request::post(format!("http://{address}/v1/services/stock/crowd"))
            .header("authorization", format!("Bearer {key}"))
            .body(())
            .unwrap();
        let (_, stream) = sender.send_request(request, false).ok()?;
        streams.push(stream);
    }
    // Each body in turn, as far as the windows allow it for a moment.
    for stream in &mut streams {
        let sent = send(stream);
        timeout(SEND_LIMIT / (2 * STREAMS as u32), sent)
            .await
            .unwrap_or_default();
    }
    Some((driver, streams))
}

/// Sends a body without its end; `None` if the process refuses it.
async fn send(stream: &mut SendStream<Bytes>) -> Option<()> {
    let mut left = BODY_BYTES;
    while left > 0 {
        stream.reserve_capacity(left);
        let room = poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        let part = room.min(left);
        stream
            .send_data(Bytes::from(vec![b'x'; part]), false)
            .ok()?;
        left -= part;
    }
    Some(())
}

/// Keeps a connection and its requests open.
async fn hold(mut driver: Driver, streams: Vec<SendStream<Bytes>>) {
    driver.join_next().await;
    drop(streams);
}
