use {
    super::{
        CallerContext, LimitedAcceptor, Limits,
        caller_api::{completions, services},
        http_server::HttpServer,
        listen,
    },
    crate::request::Parts,
    poem::{EndpointExt, Route, endpoint},
    std::{
        fmt::{self, Debug, Formatter},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Time without traffic after which a connection without a request in progress is closed.
const IDLE_TIME: Duration = Duration::from_mins(2);

/// HTTP listener for callers.
pub struct CallerListener<P>
where
    P: Parts,
{
    server: HttpServer,
    ctx: CallerContext<P>,
}

impl<P> CallerListener<P>
where
    P: Parts,
{
    /// Binds `address`; fails if it is in use or not an address of this host.
    pub fn bind(address: SocketAddr, ctx: CallerContext<P>, limits: Limits) -> io::Result<Self> {
        let listener = listen(address, limits.caller_bounds().receive)?;
        let acceptor = LimitedAcceptor::new(listener, ctx.memory().clone(), limits.io_limits());
        let server = HttpServer {
            acceptor,
            idle_time: IDLE_TIME,
        };
        Ok(Self { server, ctx })
    }

    /// Returns the bound address; fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.server.address()
    }

    /// Serves until `stop` is cancelled, then waits up to `drain` for the requests in progress.
    ///
    /// Fails if the operating system does not report the bound address.
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
        self.server.serve(app, stop, drain).await
    }
}

impl<P> Debug for CallerListener<P>
where
    P: Parts,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerListener")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}
