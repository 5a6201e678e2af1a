use {
    crate::border::NodelayAcceptor,
    poem::{
        IntoEndpoint, Server,
        listener::{Acceptor, Listener, TcpAcceptor, TcpListener},
    },
    std::{io, net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Delay between attempts to open the listener again.
const REBIND_DELAY: Duration = Duration::from_millis(5);

/// Opens a listener on `address` and returns the address that it was bound to.
///
/// Fails if the address is not valid or in use.
pub(super) async fn bind(address: &str) -> io::Result<(SocketAddr, TcpAcceptor)> {
    let acceptor = TcpListener::bind(address.to_owned())
        .into_acceptor()
        .await?;
    let local = acceptor.local_addr();
    let address = local.first().and_then(|local| local.as_socket_addr());
    let address =
        address.ok_or_else(|| io::Error::other("the listener reports no socket address"))?;
    Ok((*address, acceptor))
}

/// Serves `app` until aborted.
///
/// While `down` is true, the listener is closed and no connection is open.
pub(super) async fn serve<A, E>(
    address: SocketAddr,
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
            None => reopen(address).await,
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

/// Opens the listener again; retries until the address is free.
async fn reopen(address: SocketAddr) -> TcpAcceptor {
    loop {
        match TcpListener::bind(address).into_acceptor().await {
            Ok(acceptor) => return acceptor,
            Err(_) => sleep(REBIND_DELAY).await,
        }
    }
}
