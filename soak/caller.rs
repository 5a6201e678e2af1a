use {
    super::{
        recorder::{CallerRequest, CallerResponse, Recorder, RouteKind},
        worker_response::{EVENTS, event},
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Empty},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time-out of the routes for calls, as the operator configures it.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time-out of the route for streams: more than a long stream takes with one pause of its engine.
pub const STREAM_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after which a caller gives up on a request; far above the time-outs, so that a late
/// response is still recorded.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);

/// Upper bound of the pause between two requests of a caller, exclusive.
const MAX_PAUSE_MS: u64 = 160;

/// The caller disconnects from one in this many streams.
const STREAMS_PER_DISCONNECT: u64 = 8;

/// A client that sends random requests to one daemon, over one connection for as long as it lasts.
#[derive(Debug)]
pub struct Caller {
    /// Index of the caller, counted over all daemons; part of its request ids.
    pub number: usize,
    /// Name of the daemon that it sends to.
    pub daemon: String,
    /// Address of that daemon's caller listener.
    pub address: SocketAddr,
    /// Where it records requests and responses.
    pub recorder: Recorder,
    /// Turns `true` when the caller must stop.
    pub stop: watch::Receiver<bool>,
}

impl Caller {
    /// Sends requests until `stop` is set, and reconnects after a failed or disconnected request.
    pub async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (self.number as u64) << 20);
        let mut connection: Option<SendRequest<Empty<Bytes>>> = None;
        let mut count = 0;
        while !*self.stop.borrow() {
            sleep(Duration::from_millis(rng.random_range(20..MAX_PAUSE_MS))).await;
            let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
                Some(sender) => sender,
                None => match connect(self.address).await {
                    Some(sender) => sender,
                    None => continue,
                },
            };
            count += 1;
            let id = format!("r{}-{count}", self.number);
            let disconnects = rng.random_range(0..STREAMS_PER_DISCONNECT) == 0;
            let kind = match rng.random_range(0..4) {
                0 => RouteKind::Unsafe,
                1 => RouteKind::Safe,
                _ => RouteKind::Stream,
            };
            if self.send(&mut sender, &id, kind, disconnects).await {
                connection = Some(sender);
            }
        }
    }

    /// Sends one request and records it; returns whether the connection can be used again.
    async fn send(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        id: &str,
        kind: RouteKind,
        disconnects: bool,
    ) -> bool {
        if sender.ready().await.is_err() {
            return false;
        }
        let (path, service) = match kind {
            RouteKind::Safe => ("/read/", "ledger"),
            RouteKind::Unsafe => ("/order/", "ledger"),
            RouteKind::Stream => ("/stream/", "models"),
        };
        let request = Request::builder()
            .uri(path)
            .header("host", "a.example")
            .header("request-id", id)
            .header("deadline-ms", kind.timeout().as_millis().to_string())
            .header("model", "m")
            .header("token-counts", "100,48")
            .header("prompt-prefix", format!("{:x}:100", self.number))
            .body(Empty::new());
        let Ok(request) = request else {
            return false;
        };
        let sent = self.recorder.now();
        self.recorder.record_request(
            id,
            CallerRequest {
                kind,
                service,
                daemon: self.daemon.clone(),
                sent,
                disconnected: None,
                response: None,
            },
        );
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            if kind == RouteKind::Stream && disconnects {
                return None;
            }
            Some(read_response(id, kind, response).await)
        };
        let response = match timeout(CALLER_TIMEOUT, exchange).await {
            Ok(None) if kind == RouteKind::Stream && disconnects => {
                self.recorder.record_disconnect(id);
                return false;
            }
            Ok(response) => response,
            // The request stays without a response in the history.
            Err(_) => return false,
        };
        let response = response.unwrap_or(CallerResponse {
            at: Duration::ZERO,
            status: None,
            stamped: false,
            mismatch: None,
            complete: false,
        });
        let reusable = response.complete;
        let at = self.recorder.now();
        self.recorder
            .record_response(id, CallerResponse { at, ..response });
        reusable
    }
}

impl RouteKind {
    /// Time-out of the routes of this kind.
    pub fn timeout(self) -> Duration {
        match self {
            Self::Safe | Self::Unsafe => CALL_TIMEOUT,
            Self::Stream => STREAM_TIMEOUT,
        }
    }
}

/// Opens an HTTP/1.1 connection; `None` if connecting fails or takes longer than 1 s.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
    let (sender, connection) = handshake(TokioIo::new(stream.ok()?.ok()?)).await.ok()?;
    tokio::spawn(async move {
        // A connection error shows in the responses to the requests on it.
        let _ = connection.await;
    });
    Some(sender)
}

/// Reads a response to its end and compares it with what a worker sends for the request `id`.
async fn read_response(id: &str, kind: RouteKind, response: Response<Incoming>) -> CallerResponse {
    let status = response.status();
    let stamp = response.headers().get("server-stamp");
    let stamp = stamp
        .and_then(|stamp| stamp.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let stamped = !stamp.is_empty();
    let foreign = stamped && !stamp.ends_with(&format!(".{id}"));
    let mut body = Vec::new();
    let mut frames = response.into_body();
    let complete = loop {
        match frames.frame().await {
            Some(Ok(frame)) => body.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let expected = match kind {
        RouteKind::Stream => (1..=EVENTS).map(|number| event(id, number)).collect(),
        RouteKind::Safe | RouteKind::Unsafe => format!("done {id}"),
    };
    let matches = if complete {
        body == expected.as_bytes()
    } else {
        expected.as_bytes().starts_with(&body)
    };
    let mismatch = if foreign {
        Some(format!("stamp `{stamp}` is another request's"))
    } else if status.is_success() && (!stamped || !matches) {
        Some(format!("body `{}`", String::from_utf8_lossy(&body)))
    } else {
        None
    };
    CallerResponse {
        at: Duration::ZERO,
        status: Some(status.as_u16()),
        stamped,
        mismatch,
        complete,
    }
}
