use {
    poem::listener::TcpAcceptor,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpSocket, lookup_host},
        time::sleep,
    },
};

/// Delay between attempts to open a listener again.
const REOPEN_DELAY: Duration = Duration::from_millis(5);

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// An address that stays taken while no listener is open on it.
///
/// Otherwise the system may give the port of a stand-in that is down to a stand-in of another site,
/// which then gets the calls meant for the first one.
#[derive(Debug)]
pub(super) struct HeldAddress {
    address: SocketAddr,
    /// Bound, but not listening: connections are refused.
    _socket: TcpSocket,
}

impl HeldAddress {
    /// Takes `address`; the system picks the port if that is 0.
    ///
    /// Fails if the address is not valid or in use.
    pub(super) async fn bind(address: &str) -> io::Result<Self> {
        let mut found = lookup_host(address).await?;
        let address = found
            .next()
            .ok_or_else(|| io::Error::other("the address has no IP address"))?;
        let socket = shared_socket(address)?;
        // A port that is named may have connections of an earlier process that have not timed out.
        socket.set_reuseaddr(address.port() != 0)?;
        socket.bind(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a listener; fails if one is open.
    pub(super) fn listen(&self) -> io::Result<TcpAcceptor> {
        let socket = shared_socket(self.address)?;
        socket.bind(self.address)?;
        TcpAcceptor::from_tokio(socket.listen(BACKLOG)?)
    }

    /// Opens a listener again; retries until the one before is closed.
    pub(super) async fn reopen(&self) -> TcpAcceptor {
        loop {
            match self.listen() {
                Ok(acceptor) => return acceptor,
                Err(_) => sleep(REOPEN_DELAY).await,
            }
        }
    }
}

/// Creates a socket that may share its address with the other sockets of this process.
fn shared_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseport(true)?;
    Ok(socket)
}
