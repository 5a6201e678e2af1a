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

/// Time-out of opening a TCP connection including the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum and maximum pause after a failed connection attempt.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Interval of the pings that check the connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Time-out of a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of pings in a row without a call in between after which the connection is closed.
const MAX_IDLE_PINGS: u32 = 6;

/// HTTP/2 connection to a peer, whose traffic is counted.
type PeerConnection = Connection<CountedStream, Bytes>;

/// State of the connection to one peer.
#[derive(Clone, Debug)]
pub(super) enum LinkState {
    /// Not connected; the next call makes the task connect.
    Closed,
    /// Connected; holds the handle that opens streams.
    Connected(SendRequest<Bytes>),
    /// The last connection attempt failed, with this reason, and the pause after it is not over.
    Failed(String),
}

/// Persistent connection to one peer, shared by the calls to it.
#[derive(Debug)]
pub(super) struct PeerLink {
    /// Notified by a call that needs a connection.
    demand: Notify,
    /// Number of calls started so far.
    started: AtomicU64,
    /// Number of calls in flight.
    in_flight: AtomicUsize,
    state: watch::Receiver<LinkState>,
}

/// Guard that counts a call as in flight; dropping it ends the call.
#[derive(Debug)]
pub(super) struct InFlight<'a>(&'a PeerLink);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl PeerLink {
    /// Creates a link to `address` and the task that maintains its connection, which must be run.
    ///
    /// `seed` randomizes the pauses between connection attempts.
    pub(super) fn new(address: &str, seed: u64, traffic: PeerTraffic) -> (Arc<Self>, LinkTask) {
        let (sender, state) = watch::channel(LinkState::Closed);
        let link = Arc::new(Self {
            demand: Notify::new(),
            started: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            state,
        });
        let task = LinkTask {
            address: String::from(address),
            link: Arc::clone(&link),
            random: StdRng::seed_from_u64(seed),
            state: sender,
            traffic,
        };
        (link, task)
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(super) fn start_call(&self) -> InFlight<'_> {
        self.started.fetch_add(1, Ordering::AcqRel);
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self)
    }

    /// Waits for a connection and returns the handle that opens streams, or the reason of the last
    /// failed connection attempt.
    ///
    /// Returns `None` if the task has ended and a new link must be created.
    pub(super) async fn connected(&self) -> Option<Result<SendRequest<Bytes>, String>> {
        let mut state = self.state.clone();
        loop {
            match &*state.borrow_and_update() {
                LinkState::Connected(sender) => return Some(Ok(sender.clone())),
                LinkState::Failed(reason) => return Some(Err(reason.clone())),
                LinkState::Closed => self.demand.notify_one(),
            }
            state.changed().await.ok()?;
        }
    }
}

/// Task that opens the connection of a link on demand, monitors it and closes it when it is idle.
#[derive(Debug)]
pub(super) struct LinkTask {
    address: String,
    link: Arc<PeerLink>,
    random: StdRng,
    state: watch::Sender<LinkState>,
    traffic: PeerTraffic,
}

impl LinkTask {
    /// Runs until no call has needed a connection for 60 s.
    pub(super) async fn run(mut self) {
        let mut pause = BACKOFF_RANGE.0;
        let idle = PING_INTERVAL * MAX_IDLE_PINGS;
        while timeout(idle, self.link.demand.notified()).await.is_ok() {
            match timeout(CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok((sender, connection))) => {
                    pause = BACKOFF_RANGE.0;
                    self.drive(sender, connection).await;
                }
                Ok(Err(e)) => pause = self.backoff(pause, e.to_string()).await,
                Err(_) => pause = self.backoff(pause, String::from("connect timed out")).await,
            }
        }
    }

    /// Opens a connection with `TCP_NODELAY` and without server push.
    async fn connect(&self) -> io::Result<(SendRequest<Bytes>, PeerConnection)> {
        let stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        let io = CountedStream::new(stream, self.traffic.clone());
        let mut builder = Builder::new();
        builder.enable_push(false);
        let connected = builder.handshake(io).await.map_err(io::Error::other)?;
        self.traffic.connects.inc();
        Ok(connected)
    }

    /// Drives the connection until it ends, is idle or does not respond to a ping.
    async fn drive(&self, sender: SendRequest<Bytes>, mut connection: PeerConnection) {
        let ping = connection.ping_pong();
        self.state.send_replace(LinkState::Connected(sender));
        select! {
            _ = connection => {}
            () = monitor(&self.link, ping) => {}
        }
        self.disconnect();
    }

    /// Fails calls with `reason` for a random part of `pause`, and returns the next pause: twice as
    /// long, within `BACKOFF_RANGE`.
    async fn backoff(&mut self, pause: Duration, reason: String) -> Duration {
        self.state.send_replace(LinkState::Failed(reason));
        sleep(pause.mul_f64(self.random.random_range(0.5..1.0))).await;
        self.disconnect();
        (pause * 2).min(BACKOFF_RANGE.1)
    }

    /// Marks the link as not connected; discards earlier demand, so that only a new call makes the
    /// task connect.
    fn disconnect(&self) {
        let _ = self.link.demand.notified().now_or_never();
        self.state.send_replace(LinkState::Closed);
    }
}

/// Returns when the connection is idle or does not respond to a ping.
async fn monitor(link: &PeerLink, ping: Option<PingPong>) {
    let Some(mut ping) = ping else {
        return;
    };
    let mut idle = 0;
    let mut last_started = 0;
    while idle < MAX_IDLE_PINGS {
        sleep(PING_INTERVAL).await;
        let started = link.started.load(Ordering::Acquire);
        let in_flight = link.in_flight.load(Ordering::Acquire);
        idle = if started == last_started && in_flight == 0 {
            idle + 1
        } else {
            0
        };
        last_started = started;
        let response = timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await;
        if !matches!(response, Ok(Ok(_))) {
            return;
        }
    }
}
