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

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections of other daemons and answers their calls.
#[derive(Debug)]
pub struct PeerListener<H> {
    listener: TcpListener,
    serving: Serving<H>,
}

/// What every connection needs.
#[derive(Clone, Debug)]
struct Serving<H> {
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
    pub async fn bind(address: &str, key: Secret, handler: H) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self::new(listener, key, handler))
    }

    /// Serves an open listener, whose address the handler may already know.
    pub fn new(listener: TcpListener, key: Secret, handler: H) -> Self {
        let serving = Serving {
            handler,
            key: Arc::new(key),
            limits: PeerLimits::default(),
            traffic: PeerTraffic::default(),
        };
        Self { listener, serving }
    }

    /// Replaces the limits.
    #[must_use]
    pub fn limits(mut self, limits: PeerLimits) -> Self {
        self.serving.limits = limits;
        self
    }

    /// Replaces the counters.
    #[must_use]
    pub fn traffic(mut self, traffic: PeerTraffic) -> Self {
        self.serving.traffic = traffic;
        self
    }

    /// Address that the listener is bound to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop`, then lets open streams end within `PeerLimits::stop_time`.
    pub async fn serve(self, stop: CancellationToken) {
        let places = Arc::new(Semaphore::new(self.serving.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = select! {
                () = stop.cancelled() => break,
                Some(_) = connections.join_next(), if !connections.is_empty() => continue,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Out of file descriptors: connections that end make room.
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                continue;
            };
            let serving = self.serving.clone();
            let stop = stop.clone();
            connections.spawn(async move {
                serving.connection(stream, stop).await;
                drop(place);
            });
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

impl<H> Serving<H>
where
    H: PeerHandler,
{
    async fn connection(self, stream: TcpStream, stop: CancellationToken) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let io = CountedStream::new(stream, self.traffic.clone());
        let mut builder = Builder::new();
        builder
            .max_concurrent_streams(self.limits.streams)
            .max_header_list_size(self.limits.header_bytes);
        let handshake = builder.handshake(io);
        let Ok(Ok(connection)) = timeout(self.limits.read_time, handshake).await else {
            return;
        };
        self.streams(connection, stop).await;
    }

    /// Accepts streams; when the connection ends, the handlers of its streams are dropped.
    async fn streams(
        self,
        mut connection: Connection<CountedStream, Bytes>,
        stop: CancellationToken,
    ) {
        let mut streams = JoinSet::new();
        let mut idle = Some(Instant::now() + self.limits.idle_time);
        let mut end = None;
        loop {
            select! {
                accepted = connection.accept() => {
                    let Some(Ok((request, respond))) = accepted else {
                        return;
                    };
                    let stream = PeerStream::new(
                        self.handler.clone(),
                        Arc::clone(&self.key),
                        self.limits.read_time,
                        self.traffic.clone(),
                    );
                    streams.spawn(stream.run(request, respond));
                    idle = None;
                }
                Some(_) = streams.join_next(), if !streams.is_empty() => {
                    if streams.is_empty() {
                        idle = Some(Instant::now() + self.limits.idle_time);
                    }
                }
                () = stop.cancelled(), if end.is_none() => {
                    connection.graceful_shutdown();
                    end = Some(Instant::now() + self.limits.stop_time);
                }
                () = reached(idle), if end.is_none() => {
                    connection.graceful_shutdown();
                    end = Some(Instant::now() + self.limits.read_time);
                }
                () = reached(end) => return,
            }
        }
    }
}

async fn reached(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => pending().await,
    }
}
