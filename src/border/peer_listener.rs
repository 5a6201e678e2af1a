use {
    super::{PeerLimits, PeerTraffic, counted_stream::CountedStream, peer_stream::PeerStream},
    crate::{board::Secret, port::PeerHandler},
    bytes::Bytes,
    h2::server::{Builder, Connection},
    std::{future::pending, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::Semaphore,
        task::JoinSet,
        time::{Instant, sleep, sleep_until, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// HTTP/2 listener for other daemons; passes their calls to a handler.
#[derive(Debug)]
pub struct PeerListener<H> {
    listener: TcpListener,
    ctx: ConnectionContext<H>,
}

/// What every connection needs; clones share the key and the counters.
#[derive(Clone, Debug)]
struct ConnectionContext<H> {
    handler: H,
    key: Arc<Secret>,
    limits: PeerLimits,
    traffic: PeerTraffic,
}

impl<H> PeerListener<H>
where
    H: PeerHandler,
{
    /// Binds `address`; calls that present `key` go to `handler`.
    ///
    /// Fails if the address is invalid or in use.
    pub async fn bind(address: &str, key: Secret, handler: H) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self::new(listener, key, handler))
    }

    /// Uses a listener that is bound already; calls that present `key` go to `handler`.
    ///
    /// The handler can thus know the address before it is created.
    pub fn new(listener: TcpListener, key: Secret, handler: H) -> Self {
        let ctx = ConnectionContext {
            handler,
            key: Arc::new(key),
            limits: PeerLimits::default(),
            traffic: PeerTraffic::default(),
        };
        Self { listener, ctx }
    }

    /// Replaces the default limits.
    #[must_use]
    pub fn limits(mut self, limits: PeerLimits) -> Self {
        self.ctx.limits = limits;
        self
    }

    /// Replaces the counters, which are otherwise not registered anywhere.
    #[must_use]
    pub fn traffic(mut self, traffic: PeerTraffic) -> Self {
        self.ctx.traffic = traffic;
        self
    }

    /// Returns the bound address; fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then waits for open streams, at most for
    /// `PeerLimits::drain_timeout`.
    pub async fn serve(self, stop: CancellationToken) {
        let permits = Arc::new(Semaphore::new(self.ctx.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next(), if !connections.is_empty() => continue,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Accepting fails without free file descriptors; connections that end release some.
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                continue;
            };
            let ctx = self.ctx.clone();
            let stop = stop.clone();
            connections.spawn(async move {
                ctx.serve_connection(stream, stop).await;
                drop(permit);
            });
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

impl<H> ConnectionContext<H>
where
    H: PeerHandler,
{
    /// Performs the HTTP/2 handshake within `PeerLimits::read_timeout` and serves the connection.
    async fn serve_connection(self, stream: TcpStream, stop: CancellationToken) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let io = CountedStream::new(stream, self.traffic.clone());
        let mut builder = Builder::new();
        builder
            .max_concurrent_streams(self.limits.streams)
            .max_header_list_size(self.limits.header_bytes);
        let handshake = builder.handshake(io);
        let Ok(Ok(connection)) = timeout(self.limits.read_timeout, handshake).await else {
            return;
        };
        self.serve_streams(connection, stop).await;
    }

    /// Accepts streams until the connection ends, is idle or is stopped.
    ///
    /// The futures of its handlers are dropped when the connection ends.
    async fn serve_streams(
        self,
        mut connection: Connection<CountedStream, Bytes>,
        stop: CancellationToken,
    ) {
        let mut streams = JoinSet::new();
        let mut idle = Some(Instant::now() + self.limits.idle_timeout);
        let mut deadline = None;
        loop {
            select! {
                accepted = connection.accept() => {
                    let Some(Ok((request, respond))) = accepted else {
                        return;
                    };
                    let stream = PeerStream::new(
                        self.handler.clone(),
                        Arc::clone(&self.key),
                        self.limits.read_timeout,
                        self.traffic.clone(),
                    );
                    streams.spawn(stream.run(request, respond));
                    idle = None;
                }
                Some(_) = streams.join_next(), if !streams.is_empty() => {
                    if streams.is_empty() {
                        idle = Some(Instant::now() + self.limits.idle_timeout);
                    }
                }
                () = stop.cancelled(), if deadline.is_none() => {
                    connection.graceful_shutdown();
                    deadline = Some(Instant::now() + self.limits.drain_timeout);
                }
                () = wait_until(idle), if deadline.is_none() => {
                    connection.graceful_shutdown();
                    deadline = Some(Instant::now() + self.limits.read_timeout);
                }
                () = wait_until(deadline) => return,
            }
        }
    }
}

/// Waits until `instant`; for ever if it is `None`.
async fn wait_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => pending().await,
    }
}
