use {
    poem::{
        http::uri::Scheme,
        listener::{Acceptor, TcpAcceptor},
        web::{LocalAddr, RemoteAddr},
    },
    std::{
        fmt::{self, Debug, Formatter},
        io,
    },
    tokio::net::TcpStream,
};

/// Acceptor of TCP connections with `TCP_NODELAY` set.
///
/// Without this option a streamed chunk waits for the delayed acknowledgement of the chunk before
/// it, 40 ms.
pub(super) struct NodelayAcceptor {
    inner: TcpAcceptor,
}

impl NodelayAcceptor {
    /// Wraps `inner`, whose connections get the option when they are accepted.
    pub(super) fn new(inner: TcpAcceptor) -> Self {
        Self { inner }
    }
}

impl Debug for NodelayAcceptor {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodelayAcceptor").finish_non_exhaustive()
    }
}

impl Acceptor for NodelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.inner.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}
