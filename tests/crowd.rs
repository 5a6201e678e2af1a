//! Callers that send requests which do not end, and the checks of the process that serves them.

use {
    super::process::Process,
    bytes::Bytes,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Mutex, MutexGuard},
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// Number of callers of a crowd.
pub const CALLERS: usize = 48;

/// Longest body that the listeners take in these tests.
pub const BODY_BYTES: usize = 4 << 20;

/// Most memory that the process may have resident, in MiB. The crowds leave 192 MiB of bodies, or more in
/// chunks of one byte.
const MAX_MB: u64 = 128;

/// Time after which a caller gives up sending, and an ordinary request counts as unanswered.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Size of one write of a body that is sent piece by piece.
const PIECE_BYTES: usize = 16 << 10;

/// Chunks of one byte in a body of such chunks.
const SMALL_CHUNKS: usize = 100_000;

/// Size of a header that nearly fills the limit of a head, in bytes.
const LARGE_HEADER: usize = 14_000;

/// Requests that a caller sends in a row on one connection.
const ROW: usize = 4_000;

/// Interval in which a process that has read what it was sent uses less than `BUSY_TICKS`.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const BUSY_TICKS: u64 = 8;

/// What one caller of a crowd sends before it stops, with its connection left open and nothing read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sending {
    /// A body that is sent at once and lacks its last byte.
    Whole,
    /// A body that is sent piece by piece and lacks its last byte.
    Pieces,
    /// A body in large chunks that lacks its end.
    LargeChunks,
    /// A body in chunks of one byte that lacks its end.
    SmallChunks,
    /// A body whose announced length is far over the limit.
    Announced,
    /// A chunked body that goes on far over the limit.
    Endless,
    /// Nothing.
    Nothing,
    /// Half a head.
    HalfHead,
    /// A complete body.
    Complete,
    /// A complete body in large chunks.
    Chunked,
    /// A large head, and a body that lacks its last byte.
    LargeHead,
    /// A chunked body whose trailers lack their end.
    Trailers,
    /// Many complete requests in a row.
    Row,
}

impl Sending {
    /// Returns what is sent: a request, or a part of one, that begins with `head`. The longest body that
    /// the listener takes has `body` bytes.
    fn bytes(self, head: &str, body: usize) -> Vec<u8> {
        if self == Self::Nothing {
            return Vec::new();
        }
        if self == Self::Row {
            return format!("{head}Content-Length: 0\r\n\r\n")
                .repeat(ROW)
                .into_bytes();
        }
        [head.as_bytes(), &self.rest(body)].concat()
    }

    /// Returns what is sent as text.
    pub fn request(self, head: &str, body: usize) -> String {
        String::from_utf8(self.bytes(head, body)).unwrap()
    }

    /// Returns what follows the common part of the head.
    fn rest(self, body: usize) -> Vec<u8> {
        let announced = |length: usize, sent: usize| {
            let mut bytes = format!("Content-Length: {length}\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + sent, b'x');
            bytes
        };
        let chunked = |chunk: usize, count: usize| {
            let mut bytes = b"Transfer-Encoding: chunked\r\n\r\n".to_vec();
            let text = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            bytes.extend(text.repeat(count).into_bytes());
            bytes
        };
        match self {
            Self::Whole | Self::Pieces => announced(body, body - 1),
            Self::Complete => announced(body, body),
            Self::LargeChunks => chunked(64 << 10, body / (64 << 10)),
            Self::Chunked => [Self::LargeChunks.rest(body), b"0\r\n\r\n".to_vec()].concat(),
            Self::SmallChunks => chunked(1, SMALL_CHUNKS),
            Self::Announced => announced(1 << 30, body - 1),
            Self::Endless => chunked(64 << 10, 4 * body / (64 << 10)),
            Self::LargeHead => {
                let header = format!("X-Large: {}\r\n", "x".repeat(LARGE_HEADER));
                [header.into_bytes(), announced(body, body - 1)].concat()
            }
            Self::Trailers => {
                let trailers = "0\r\n".to_owned() + &"X-Trailer: x\r\n".repeat(body / 14);
                [chunked(1, 1), trailers.into_bytes()].concat()
            }
            Self::Nothing | Self::HalfHead | Self::Row => Vec::new(),
        }
    }

    /// Sends `bytes` to `address` for at most `limit`; returns the open connection.
    async fn send(self, address: SocketAddr, bytes: Bytes, limit: Duration) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let pieces = match self {
            Self::Whole | Self::Announced => bytes.len(),
            _ => PIECE_BYTES,
        };
        let sending = async {
            for piece in bytes.chunks(pieces) {
                // The process may refuse the rest.
                if stream.write_all(piece).await.is_err() {
                    return;
                }
            }
        };
        // A process that does not read the rest may leave it unread.
        let _ = timeout(limit, sending).await;
        Some(stream)
    }
}

/// Requests of a crowd.
#[derive(Clone, Copy, Debug)]
pub struct Requests<'a> {
    /// Start of a head, up to the headers of the body.
    pub head: &'a str,
    /// What the callers send, each one of these in turn.
    pub kinds: &'a [Sending],
    /// Number of callers.
    pub callers: usize,
    /// Longest body that the listener takes, in bytes.
    pub body: usize,
    /// Time after which a caller gives up sending.
    pub limit: Duration,
}

/// Callers with open connections.
pub struct Crowd {
    _open: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Has callers send `requests` to `address` at once.
    pub async fn send(address: SocketAddr, requests: Requests<'_>) -> Self {
        let Requests {
            head,
            kinds,
            callers,
            body,
            limit,
        } = requests;
        // The callers of a kind share what they send.
        let kinds: Vec<_> = kinds
            .iter()
            .map(|kind| (*kind, Bytes::from(kind.bytes(head, body))))
            .collect();
        let mut sending = JoinSet::new();
        for (kind, bytes) in kinds.iter().cycle().take(callers) {
            sending.spawn(kind.send(address, bytes.clone(), limit));
        }
        Self {
            _open: sending.join_all().await,
        }
    }
}

/// Waits until `process` has read what the crowd sent, as far as it does: until it is nearly idle.
pub async fn settle(process: &Process) {
    let start = Instant::now();
    let mut used = process.processor_ticks();
    while start.elapsed() < LIMIT {
        sleep(SETTLE_TIME).await;
        let before = used;
        used = process.processor_ticks();
        if used - before < BUSY_TICKS {
            return;
        }
    }
}

/// Returns the guard of the test that runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

/// Sends the request `text` with `Connection: close` to `address`; returns the status line of its
/// response, or what happened instead.
pub async fn ordinary(address: SocketAddr, text: &str) -> String {
    let call = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        std::io::Result::Ok(String::from_utf8_lossy(&response).into_owned())
    };
    match timeout(LIMIT, call).await {
        Ok(Ok(response)) => response.lines().next().unwrap_or("closed").to_owned(),
        Ok(Err(error)) => error.kind().to_string(),
        Err(_) => "no response".to_owned(),
    }
}

/// Asserts that `process` runs, within its memory and `descriptors`, and answered with `answer`.
pub fn assert_unharmed(process: &mut Process, descriptors: usize, answer: &str) {
    let running = process.is_running();
    let (peak, open) = (process.peak_mb(), process.descriptors());
    println!("running {running}, peak {peak} MiB, descriptors {open}, answer {answer}");
    assert!(running, "the process exited");
    assert!(peak <= MAX_MB, "{peak} MiB resident, bound {MAX_MB}");
    assert!(
        open <= descriptors,
        "{open} descriptors open, bound {descriptors}"
    );
    assert_eq!(answer, "HTTP/1.1 200 OK");
}
