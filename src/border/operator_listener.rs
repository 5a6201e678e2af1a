use {
    super::{LimitedAcceptor, NodelayAcceptor, Operator, operator_api::answer},
    crate::port::{Clock, Peer, Platform},
    poem::{
        EndpointExt, Server, endpoint,
        listener::{Acceptor, Listener, TcpListener},
    },
    std::{
        fmt::{self, Debug, Formatter},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Time without traffic after which a connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Longest time that open connections are kept after a stop.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// The listener for operators.
pub struct OperatorListener<S, P, C> {
    acceptor: LimitedAcceptor<NodelayAcceptor>,
    operator: Operator<S, P, C>,
}

impl<S, P, C> OperatorListener<S, P, C>
where
    S: Platform,
    P: Peer,
    C: Clock,
{
    /// Binds `address`.
    pub async fn bind(address: SocketAddr, operator: Operator<S, P, C>) -> io::Result<Self> {
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let limits = operator.limits;
        Ok(Self {
            acceptor: LimitedAcceptor::new(
                NodelayAcceptor::new(acceptor),
                limits.connections as usize,
                limits.header_time,
            ),
            operator,
        })
    }

    /// Address that is bound.
    pub fn address(&self) -> Option<SocketAddr> {
        let addresses = self.acceptor.local_addr();
        let address = addresses.first()?.as_socket_addr()?;
        Some(*address)
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, stop: CancellationToken) -> io::Result<()> {
        let operator = self.operator;
        let header_bytes = operator.limits.header_bytes as u32;
        let app = endpoint::make(move |request| {
            let operator = operator.clone();
            async move { answer(&operator, request).await }
        });
        Server::new_with_acceptor(self.acceptor)
            .idle_timeout(IDLE_TIME)
            .http2_max_header_list_size(header_bytes)
            .run_with_graceful_shutdown(
                app.map_to_response(),
                stop.cancelled_owned(),
                Some(CLOSE_TIME),
            )
            .await
    }
}

impl<S, P, C> Debug for OperatorListener<S, P, C> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorListener").finish_non_exhaustive()
    }
}
