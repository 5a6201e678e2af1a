use {
    super::{CallerConnection, IdleTimer, LimitedAcceptor, LimitedIo, announce_close},
    crate::key::ConnectionKey,
    bytes::Bytes,
    http::{Request, Version, uri::Scheme},
    http_body_util::combinators::BoxBody,
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    poem::{
        Addr, Endpoint, Response,
        web::{LocalAddr, RemoteAddr},
    },
    std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::time::timeout,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Scheme of the remote address of a request, which holds the key of its connection.
const ADDRESS_SCHEME: &str = "connection";

/// Bytes that the buffers of an HTTP/1 connection may have beyond a head.
const EXTRA_BUFFER_BYTES: usize = 16 << 10;

/// Bytes that a caller may send ahead on an HTTP/2 connection, and that may wait to be sent to it; a part of
/// what is accounted for each connection.
const HTTP2_BYTES: usize = 64 << 10;

/// Most requests in progress on an HTTP/2 connection.
const HTTP2_REQUESTS: u32 = 64;

/// Most requests of an HTTP/2 connection that its caller cancels before they are taken.
const HTTP2_CANCELLED: usize = 20;

/// HTTP server whose connections have buffers of bounded sizes.
#[derive(Debug)]
pub(super) struct HttpServer {
    /// Source of its connections.
    pub acceptor: LimitedAcceptor,
    /// Time without traffic after which a connection without a request in progress is closed.
    pub idle_time: Duration,
}

/// What each connection of a server needs.
struct Connections<E> {
    app: Arc<E>,
    header_bytes: usize,
    idle_time: Duration,
    local: LocalAddr,
    /// Ends connections once their requests are complete.
    stop: CancellationToken,
    /// Ends connections at once.
    abort: CancellationToken,
}

/// Returns the key of the connection whose requests have the remote address `address`.
pub(super) fn connection_key(address: &RemoteAddr) -> Option<ConnectionKey> {
    match &address.0 {
        Addr::Custom(ADDRESS_SCHEME, key) => key.parse().ok(),
        _ => None,
    }
}

impl HttpServer {
    /// Returns the bound address; fails if the operating system does not report it.
    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        self.acceptor.listener().local_addr()
    }

    /// Serves `app` until `stop` is cancelled, then waits up to `drain` for the requests in progress.
    ///
    /// Dropping the future closes every connection. Fails if the operating system does not report the
    /// address of the listener.
    pub(super) async fn serve<E>(
        self,
        app: E,
        stop: CancellationToken,
        drain: Duration,
    ) -> io::Result<()>
    where
        E: Endpoint<Output = Response> + 'static,
    {
        let local = self.address()?;
        let abort = CancellationToken::new();
        let _abort_in_the_end = abort.clone().drop_guard();
        let connections = Arc::new(Connections {
            app: Arc::new(app),
            header_bytes: self.acceptor.limits().head_bytes,
            idle_time: self.idle_time,
            local: LocalAddr(local.into()),
            stop: stop.clone(),
            abort,
        });
        let running = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.acceptor.accept() => accepted,
            };
            match accepted {
                Ok(io) => drop(running.spawn(Arc::clone(&connections).serve(io))),
                Err(e) => log::warn!("accepting a connection failed; retrying: {e}"),
            }
        }
        drop(self.acceptor);
        running.close();
        if timeout(drain, running.wait()).await.is_err() {
            log::info!(running = running.len(); "requests still running; closing their connections");
        }
        Ok(())
    }
}

impl<E> Connections<E>
where
    E: Endpoint<Output = Response> + 'static,
{
    /// Serves the requests of a connection until it ends.
    async fn serve(self: Arc<Self>, io: LimitedIo) {
        tokio::select! {
            () = self.serve_requests(io) => {}
            () = self.abort.cancelled() => {}
        }
    }

    async fn serve_requests(&self, io: LimitedIo) {
        let idle = io.idle().clone();
        let caller = io.connection().clone();
        let service = service_fn(|request| {
            respond(
                Arc::clone(&self.app),
                request,
                self.local.clone(),
                caller.clone(),
            )
        });
        let builder = self.builder();
        let mut connection = pin!(builder.serve_connection(TokioIo::new(io), service));
        let ended = tokio::select! {
            ended = &mut connection => ended,
            () = self.finished(&idle) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = ended {
            log::debug!("connection ended with an error: {e}");
        }
    }

    /// Waits until a connection is to be closed once its requests are complete.
    async fn finished(&self, idle: &IdleTimer) {
        tokio::select! {
            () = idle.wait(self.idle_time) => {}
            () = self.stop.cancelled() => {}
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .max_buf_size(self.header_bytes + EXTRA_BUFFER_BYTES);
        builder
            .http2()
            .initial_connection_window_size(HTTP2_BYTES as u32)
            .initial_stream_window_size(HTTP2_BYTES as u32)
            .max_send_buf_size(HTTP2_BYTES)
            .max_concurrent_streams(HTTP2_REQUESTS)
            .max_pending_accept_reset_streams(HTTP2_CANCELLED)
            .max_header_list_size(self.header_bytes as u32);
        builder
    }
}

/// Has `app` handle one request of `caller`, which was sent to the address `local`.
async fn respond<E>(
    app: Arc<E>,
    request: Request<Incoming>,
    local: LocalAddr,
    caller: CallerConnection,
) -> Result<http::Response<BoxBody<Bytes, io::Error>>, Infallible>
where
    E: Endpoint<Output = Response>,
{
    let remote = RemoteAddr(Addr::custom(ADDRESS_SCHEME, caller.key().to_string()));
    let is_http2 = request.version() == Version::HTTP_2;
    let mut response = app
        .get_response((request, local, remote, Scheme::HTTP).into())
        .await;
    if !is_http2 && caller.should_close() {
        announce_close(response.headers_mut());
    }
    Ok(response.into())
}
