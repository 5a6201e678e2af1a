use {
    super::{
        witness::{Answer, Ask, Kind, Witness},
        worker_answer::{EVENTS, event},
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

/// Time that the operator allows for an answer.
pub const ROUTE_TIME: Duration = Duration::from_secs(4);

/// Time after which a caller gives a request up, far beyond what is allowed.
const GIVE_UP: Duration = Duration::from_secs(12);

/// Longest pause between two requests of a caller.
const PAUSE_MS: u64 = 160;

/// One in so many streams is left by its caller.
const LEAVES: u64 = 8;

/// One caller, which keeps a connection to one daemon as long as it lasts.
#[derive(Debug)]
pub struct Caller {
    /// Number among the callers.
    pub number: usize,
    /// Daemon that it sends to.
    pub daemon: String,
    /// Where that daemon listens.
    pub address: SocketAddr,
    /// Who notes what it sees.
    pub witness: Witness,
    /// Whether it is to stop.
    pub stop: watch::Receiver<bool>,
}

impl Caller {
    /// Sends requests until told to stop; a connection is used until it ends.
    pub async fn run(self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (self.number as u64) << 20);
        let mut connection: Option<SendRequest<Empty<Bytes>>> = None;
        let mut count = 0;
        while !*self.stop.borrow() {
            sleep(Duration::from_millis(rng.random_range(20..PAUSE_MS))).await;
            let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
                Some(sender) => sender,
                None => match connect(self.address).await {
                    Some(sender) => sender,
                    None => continue,
                },
            };
            count += 1;
            let id = format!("r{}-{count}", self.number);
            let leaves = rng.random_range(0..LEAVES) == 0;
            let kind = match rng.random_range(0..4) {
                0 => Kind::Unsafe,
                1 => Kind::Safe,
                _ => Kind::Stream,
            };
            if self.send(&mut sender, &id, kind, leaves).await {
                connection = Some(sender);
            }
        }
    }

    /// Sends one request; whether the connection can be used again.
    async fn send(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        id: &str,
        kind: Kind,
        leaves: bool,
    ) -> bool {
        if sender.ready().await.is_err() {
            return false;
        }
        let (path, service) = match kind {
            Kind::Safe => ("/read/", "ledger"),
            Kind::Unsafe => ("/order/", "ledger"),
            Kind::Stream => ("/stream/", "models"),
        };
        let request = Request::builder()
            .uri(path)
            .header("host", "a.example")
            .header("request-id", id)
            .header("deadline-ms", ROUTE_TIME.as_millis().to_string())
            .header("model", "m")
            .header("token-counts", "100,48")
            .header("prompt-prefix", format!("{:x}:100", self.number))
            .body(Empty::new());
        let Ok(request) = request else {
            return false;
        };
        let sent = self.witness.now();
        self.witness.asked(
            id,
            Ask {
                kind,
                service,
                daemon: self.daemon.clone(),
                sent,
                left: None,
                answer: None,
            },
        );
        let exchange = async {
            let answer = sender.send_request(request).await.ok()?;
            if kind == Kind::Stream && leaves {
                return None;
            }
            Some(read(id, kind, answer).await)
        };
        let answer = match timeout(GIVE_UP, exchange).await {
            Ok(None) if kind == Kind::Stream && leaves => {
                self.witness.left(id);
                return false;
            }
            Ok(answer) => answer,
            // The request stays without an answer.
            Err(_) => return false,
        };
        let answer = answer.unwrap_or(Answer {
            at: Duration::ZERO,
            status: None,
            signed: false,
            wrong: None,
            whole: false,
        });
        let kept = answer.whole;
        let at = self.witness.now();
        self.witness.answered(id, Answer { at, ..answer });
        kept
    }
}

/// Opens a connection; nothing if that fails or takes too long.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
    let (sender, connection) = handshake(TokioIo::new(stream.ok()?.ok()?)).await.ok()?;
    tokio::spawn(async move {
        // How it ends shows in the requests that it carried.
        let _ = connection.await;
    });
    Some(sender)
}

/// Reads an answer to its end, and compares it with what the workers send.
async fn read(id: &str, kind: Kind, answer: Response<Incoming>) -> Answer {
    let status = answer.status();
    let stamp = answer.headers().get("server-stamp");
    let stamp = stamp
        .and_then(|stamp| stamp.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let signed = !stamp.is_empty();
    let foreign = signed && !stamp.ends_with(&format!(".{id}"));
    let mut body = Vec::new();
    let mut rest = answer.into_body();
    let whole = loop {
        match rest.frame().await {
            Some(Ok(frame)) => body.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let expected = match kind {
        Kind::Stream => (1..=EVENTS).map(|number| event(id, number)).collect(),
        Kind::Safe | Kind::Unsafe => format!("done {id}"),
    };
    let fits = if whole {
        body == expected.as_bytes()
    } else {
        expected.as_bytes().starts_with(&body)
    };
    let wrong = if foreign {
        Some(format!("stamp `{stamp}` is another request's"))
    } else if status.is_success() && (!signed || !fits) {
        Some(format!("body `{}`", String::from_utf8_lossy(&body)))
    } else {
        None
    };
    Answer {
        at: Duration::ZERO,
        status: Some(status.as_u16()),
        signed,
        wrong,
        whole,
    }
}
