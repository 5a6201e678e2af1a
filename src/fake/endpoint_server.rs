use {
    super::{held_address::HeldAddress, nodelay_acceptor::NodelayAcceptor},
    poem::{IntoEndpoint, Server, listener::TcpAcceptor},
    std::time::Duration,
    tokio::sync::watch,
};

/// Serves `app` until aborted.
///
/// While `down` is true, the listener is closed and no connection is open.
pub(super) async fn serve<A, E>(
    address: HeldAddress,
    acceptor: TcpAcceptor,
    mut down: watch::Receiver<bool>,
    app: A,
) where
    A: Fn() -> E,
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let mut acceptor = Some(acceptor);
    loop {
        let open = match acceptor.take() {
            Some(open) => open,
            None => address.reopen().await,
        };
        let mut closed = down.clone();
        let stop = async move {
            let _ = closed.wait_for(|down| *down).await;
        };
        let server = Server::new_with_acceptor(NodelayAcceptor::new(open));
        let run = server.run_with_graceful_shutdown(app(), stop, Some(Duration::ZERO));
        if let Err(e) = run.await {
            log::error!("fake endpoint: HTTP server failed; it is started again: {e}");
        }
        if down.wait_for(|down| !*down).await.is_err() {
            return;
        }
    }
}
