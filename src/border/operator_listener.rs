use {
    super::{
        CallerMemory, LimitedAcceptor, OperatorContext, http_server::HttpServer, listen,
        operator_api::handle,
    },
    crate::{
        board::CallerBounds,
        port::{Clock, Peer, Platform},
    },
    poem::{EndpointExt, endpoint},
    prometheus_client::registry::Registry,
    std::{
        fmt::{self, Debug, Formatter},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Most connections of operators; a few tools and scrapes are expected.
const MAX_CONNECTIONS: usize = 256;
/// Time without traffic after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Time that requests in progress may take to end after a stop.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// HTTP listener for operators.
pub struct OperatorListener<S, P, C> {
    server: HttpServer,
    ctx: OperatorContext<S, P, C>,
}

impl<S, P, C> OperatorListener<S, P, C>
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    /// Binds `address`; fails if it is in use or not an address of this host.
    pub fn bind(address: SocketAddr, ctx: OperatorContext<S, P, C>) -> io::Result<Self> {
        let limits = ctx.limits;
        let bounds = CallerBounds {
            connections: MAX_CONNECTIONS.min(limits.connections as usize),
            ..limits.caller_bounds()
        };
        let memory = CallerMemory::new(bounds, &mut Registry::default());
        let listener = listen(address, bounds.receive)?;
        let server = HttpServer {
            acceptor: LimitedAcceptor::new(listener, memory, limits.io_limits()),
            idle_time: IDLE_TIME,
        };
        Ok(Self { server, ctx })
    }

    /// Returns the bound address; fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.server.address()
    }

    /// Serves until `stop` is cancelled, then waits 1 s for the requests in progress.
    ///
    /// Fails if the operating system does not report the bound address.
    pub async fn serve(self, stop: CancellationToken) -> io::Result<()> {
        let ctx = self.ctx;
        let app = endpoint::make(move |request| {
            let ctx = ctx.clone();
            async move { handle(&ctx, request).await }
        });
        let server = self.server;
        server.serve(app.map_to_response(), stop, DRAIN_TIME).await
    }
}

impl<S, P, C> Debug for OperatorListener<S, P, C> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorListener").finish_non_exhaustive()
    }
}
