use {
    super::{
        CallerMemory, LimitedAcceptor, NodelayAcceptor, OperatorContext, listen,
        operator_api::handle,
    },
    crate::{
        board::CallerBounds,
        port::{Clock, Peer, Platform},
    },
    poem::{
        EndpointExt, Server, endpoint,
        listener::{Acceptor, TcpAcceptor},
    },
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
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that requests in progress may take to end after a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP listener for operators.
pub struct OperatorListener<S, P, C> {
    acceptor: LimitedAcceptor<NodelayAcceptor>,
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
        let acceptor = TcpAcceptor::from_tokio(listen(address, bounds.receive)?)?;
        let memory = CallerMemory::new(bounds, &mut Registry::default());
        Ok(Self {
            acceptor: LimitedAcceptor::new(
                NodelayAcceptor::new(acceptor),
                memory,
                limits.header_time,
                limits.header_bytes as usize,
            ),
            ctx,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> Option<SocketAddr> {
        let addresses = self.acceptor.local_addr();
        let address = addresses.first()?.as_socket_addr()?;
        Some(*address)
    }

    /// Serves until `stop` is cancelled, then waits 1 s for the requests in progress.
    ///
    /// Fails if the acceptor fails.
    pub async fn serve(self, stop: CancellationToken) -> io::Result<()> {
        let ctx = self.ctx;
        let header_bytes = ctx.limits.header_bytes as u32;
        let app = endpoint::make(move |request| {
            let ctx = ctx.clone();
            async move { handle(&ctx, request).await }
        });
        Server::new_with_acceptor(self.acceptor)
            .idle_timeout(IDLE_TIMEOUT)
            .http2_max_header_list_size(header_bytes)
            .run_with_graceful_shutdown(
                app.map_to_response(),
                stop.cancelled_owned(),
                Some(DRAIN_TIMEOUT),
            )
            .await
    }
}

impl<S, P, C> Debug for OperatorListener<S, P, C> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorListener").finish_non_exhaustive()
    }
}
