//! Callers that go on sending bodies slowly, one after the other on a connection that stays open.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::sleep,
    },
};

/// Number of callers, more than a small host has connections.
const CALLERS: usize = 400;

/// Size of a body, and of the pieces that it is sent in.
const BODY_BYTES: usize = 16_000;
const PIECE_BYTES: usize = 2_300;

/// Pause after a piece.
const PAUSE: Duration = Duration::from_millis(450);

/// Time in which the callers connect; none of their first bodies is complete by then.
const START_TIME: Duration = Duration::from_secs(2);

/// Callers that go on sending until this is dropped.
pub struct SlowSenders {
    _callers: JoinSet<()>,
}

impl SlowSenders {
    /// Has callers send to `address`, each request after the start `head` of a head; returns while they do.
    pub async fn start(address: SocketAddr, head: &str) -> Self {
        let mut callers = JoinSet::new();
        let request = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
        for _ in 0..CALLERS {
            let request = request.clone();
            callers.spawn(async move {
                // A caller whose connection is closed does not come again.
                send(address, request).await.unwrap_or_default();
            });
        }
        sleep(START_TIME).await;
        Self { _callers: callers }
    }
}

/// Sends one request after the other, and reads the responses.
async fn send(address: SocketAddr, request: String) -> Option<()> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut response = vec![0; 4_096];
    loop {
        stream.write_all(request.as_bytes()).await.ok()?;
        for piece in vec![b'x'; BODY_BYTES].chunks(PIECE_BYTES) {
            stream.write_all(piece).await.ok()?;
            sleep(PAUSE).await;
        }
        let read = stream.read(&mut response).await.ok()?;
        if read == 0 {
            return None;
        }
    }
}
