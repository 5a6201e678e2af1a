use {
    super::{PeerTraffic, counted_stream::CountedStream},
    bytes::Bytes,
    futures_util::FutureExt,
    h2::{
        Ping, PingPong,
        client::{Builder, Connection, SendRequest},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        select,
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
};

/// Time limit of a TCP connect with its HTTP/2 handshake.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Shortest and longest pause after a failed connect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Pause between two checks that the connection still carries data.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Time limit for the answer to a check.
const PING_LIMIT: Duration = Duration::from_secs(5);

/// Checks without a call in between after which the connection is closed.
const IDLE_CHECKS: u32 = 6;

type Carrier = Connection<CountedStream, Bytes>;

/// State of the connection to one peer.
#[derive(Clone, Debug)]
pub(super) enum LinkState {
    /// Not connected; the next call starts a connect.
    Closed,
    /// Connected.
    Up(SendRequest<Bytes>),
    /// The last connect failed and the pause after it has not passed.
    Down(String),
}

/// The kept connection to one peer, shared by the calls to it.
#[derive(Debug)]
pub(super) struct Link {
    demand: Notify,
    calls: AtomicU64,
    flying: AtomicUsize,
    state: watch::Receiver<LinkState>,
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct Flight<'a>(&'a Link);

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.flying.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Link {
    /// Creates a link and the task body that keeps its connection.
    pub(super) fn new(address: &str, seed: u64, traffic: PeerTraffic) -> (Arc<Self>, Keeper) {
        let (sender, state) = watch::channel(LinkState::Closed);
        let link = Arc::new(Self {
            demand: Notify::new(),
            calls: AtomicU64::new(0),
            flying: AtomicUsize::new(0),
            state,
        });
        let keeper = Keeper {
            address: String::from(address),
            link: Arc::clone(&link),
            random: StdRng::seed_from_u64(seed),
            state: sender,
            traffic,
        };
        (link, keeper)
    }

    /// Marks a call as in flight.
    pub(super) fn fly(&self) -> Flight<'_> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        self.flying.fetch_add(1, Ordering::AcqRel);
        Flight(self)
    }

    /// Waits for a connection; `None` when the link was retired and a new one must be made.
    pub(super) async fn connected(&self) -> Option<Result<SendRequest<Bytes>, String>> {
        let mut state = self.state.clone();
        loop {
            match &*state.borrow_and_update() {
                LinkState::Up(sender) => return Some(Ok(sender.clone())),
                LinkState::Down(why) => return Some(Err(why.clone())),
                LinkState::Closed => self.demand.notify_one(),
            }
            state.changed().await.ok()?;
        }
    }
}

/// Makes the connection on demand, watches it and gives it up when it is idle.
#[derive(Debug)]
pub(super) struct Keeper {
    address: String,
    link: Arc<Link>,
    random: StdRng,
    state: watch::Sender<LinkState>,
    traffic: PeerTraffic,
}

impl Keeper {
    /// Runs until the link has been idle.
    pub(super) async fn run(mut self) {
        let mut pause = BACKOFF.0;
        let idle = PING_INTERVAL * IDLE_CHECKS;
        while timeout(idle, self.link.demand.notified()).await.is_ok() {
            match timeout(CONNECT_LIMIT, self.connect()).await {
                Ok(Ok((sender, connection))) => {
                    pause = BACKOFF.0;
                    self.hold(sender, connection).await;
                }
                Ok(Err(e)) => pause = self.rest(pause, e.to_string()).await,
                Err(_) => pause = self.rest(pause, String::from("connect timed out")).await,
            }
        }
    }

    async fn connect(&self) -> io::Result<(SendRequest<Bytes>, Carrier)> {
        let stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        let io = CountedStream::new(stream, self.traffic.clone());
        let mut builder = Builder::new();
        builder.enable_push(false);
        let connected = builder.handshake(io).await.map_err(io::Error::other)?;
        self.traffic.connects.inc();
        Ok(connected)
    }

    /// Drives the connection until it ends, is idle or no longer answers.
    async fn hold(&self, sender: SendRequest<Bytes>, mut connection: Carrier) {
        let ping = connection.ping_pong();
        self.state.send_replace(LinkState::Up(sender));
        select! {
            _ = connection => {}
            () = supervise(&self.link, ping) => {}
        }
        self.close();
    }

    async fn rest(&mut self, pause: Duration, why: String) -> Duration {
        self.state.send_replace(LinkState::Down(why));
        sleep(pause.mul_f64(self.random.random_range(0.5..1.0))).await;
        self.close();
        (pause * 2).min(BACKOFF.1)
    }

    /// Forgets demand from before, so that only a new call starts a connect.
    fn close(&self) {
        let _ = self.link.demand.notified().now_or_never();
        self.state.send_replace(LinkState::Closed);
    }
}

/// Returns when the connection is idle or no longer answers.
async fn supervise(link: &Link, ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return;
    };
    let mut idle = 0;
    let mut seen = 0;
    while idle < IDLE_CHECKS {
        sleep(PING_INTERVAL).await;
        let calls = link.calls.load(Ordering::Acquire);
        let flying = link.flying.load(Ordering::Acquire);
        idle = if calls == seen && flying == 0 {
            idle + 1
        } else {
            0
        };
        seen = calls;
        let answer = timeout(PING_LIMIT, ping.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
