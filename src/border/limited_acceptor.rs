use {
    poem::{
        http::uri::Scheme,
        listener::Acceptor,
        web::{LocalAddr, RemoteAddr},
    },
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// Acceptor that keeps at most a given number of connections open.
///
/// Further connections wait in the kernel's backlog.
#[derive(Debug)]
pub struct LimitedAcceptor<A> {
    inner: A,
    permits: Arc<Semaphore>,
}

impl<A> LimitedAcceptor<A> {
    /// Wraps `inner`.
    pub fn new(inner: A, connections: usize) -> Self {
        Self {
            inner,
            permits: Arc::new(Semaphore::new(connections)),
        }
    }
}

impl<A> Acceptor for LimitedAcceptor<A>
where
    A: Acceptor,
{
    type Io = LimitedIo<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        let (inner, local, remote, scheme) = self.inner.accept().await?;
        Ok((
            LimitedIo {
                inner,
                ended: false,
                _permit: permit,
            },
            local,
            remote,
            scheme,
        ))
    }
}

/// A connection that counts against the limit while it is open.
///
/// Once the other end has closed, flushing fails. The server polls a connection again after it has
/// read the end, and without this error it would keep an answer that is silent at that moment.
#[derive(Debug)]
pub struct LimitedIo<I> {
    inner: I,
    ended: bool,
    _permit: OwnedSemaphorePermit,
}

impl<I> AsyncRead for LimitedIo<I>
where
    I: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining());
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let empty = room > 0 && buf.filled().len() == before;
        self.ended |= empty && matches!(read, Poll::Ready(Ok(())));
        read
    }
}

impl<I> AsyncWrite for LimitedIo<I>
where
    I: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
