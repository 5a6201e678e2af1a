use {
    super::{
        CallerContext, LimitedAcceptor, Limits, NodelayAcceptor,
        caller_api::{completions, services},
        listen,
    },
    crate::request::Parts,
    poem::{
        EndpointExt, Route, Server, endpoint,
        listener::{Acceptor, TcpAcceptor},
    },
    std::{
        fmt::{self, Debug, Formatter},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Time without traffic after which a connection without a request in progress is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// HTTP listener for callers.
pub struct CallerListener<P>
where
    P: Parts,
{
    acceptor: LimitedAcceptor<NodelayAcceptor>,
    ctx: CallerContext<P>,
    limits: Limits,
}

impl<P> CallerListener<P>
where
    P: Parts,
{
    /// Binds `address`; fails if it is in use or not an address of this host.
    pub fn bind(address: SocketAddr, ctx: CallerContext<P>, limits: Limits) -> io::Result<Self> {
        let listener = listen(address, limits.caller_bounds().receive)?;
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        let acceptor = LimitedAcceptor::new(
            NodelayAcceptor::new(acceptor),
            ctx.memory().clone(),
            limits.header_time,
            limits.header_bytes as usize,
        );
        Ok(Self {
            acceptor,
            ctx,
            limits,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> Option<SocketAddr> {
        let addresses = self.acceptor.local_addr();
        addresses
            .first()
            .and_then(|address| address.as_socket_addr())
            .copied()
    }

    /// Serves until `stop` is cancelled, then waits up to `drain` for the requests in progress.
    ///
    /// Fails if the acceptor fails.
    pub async fn serve(self, stop: CancellationToken, drain: Duration) -> io::Result<()> {
        let completion_ctx = self.ctx.clone();
        let service_ctx = self.ctx;
        let app = Route::new()
            .at(
                "/v1/completions",
                endpoint::make(move |request| completions(completion_ctx.clone(), request)),
            )
            .at(
                "/v1/services/:kind/*path",
                endpoint::make(move |request| services(service_ctx.clone(), request)),
            )
            .map_to_response();
        Server::new_with_acceptor(self.acceptor)
            .idle_timeout(IDLE_TIMEOUT)
            .http2_max_header_list_size(self.limits.header_bytes as u32)
            .run_with_graceful_shutdown(app, stop.cancelled_owned(), Some(drain))
            .await
    }
}

impl<P> Debug for CallerListener<P>
where
    P: Parts,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerListener")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}
