use {
    super::HeadTimer,
    poem::{
        http::uri::Scheme,
        listener::Acceptor,
        web::{LocalAddr, RemoteAddr},
    },
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// Acceptor that keeps at most a given number of connections open, and closes those on which a
/// request head takes too long.
///
/// Further connections wait in the kernel's backlog.
#[derive(Debug)]
pub struct LimitedAcceptor<A> {
    inner: A,
    permits: Arc<Semaphore>,
    head_time: Duration,
}

impl<A> LimitedAcceptor<A> {
    /// Wraps `inner`; a request head must arrive within `head_time` of its first byte.
    pub fn new(inner: A, connections: usize, head_time: Duration) -> Self {
        Self {
            inner,
            head_time,
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
                head: HeadTimer::new(self.head_time),
                answered: false,
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
    head: HeadTimer,
    answered: bool,
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
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_read(cx, buf) {
            Poll::Ready(result) => {
                let bytes = &buf.filled()[before..];
                this.ended |= room > 0 && bytes.is_empty() && result.is_ok();
                this.head.read(bytes, !this.answered);
                Poll::Ready(result)
            }
            Poll::Pending => {
                ready!(this.head.poll_expired(cx));
                let message = "a request head did not arrive in time";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
            }
        }
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
        let this = &mut *self;
        let written = ready!(Pin::new(&mut this.inner).poll_write(cx, buf))?;
        this.head.wrote(&buf[..written]);
        this.answered = true;
        Poll::Ready(Ok(written))
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
