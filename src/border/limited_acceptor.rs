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

/// Acceptor that limits the number of open connections, and closes a connection on which a request
/// head takes too long.
///
/// Connections beyond the limit wait in the kernel's backlog.
#[derive(Debug)]
pub struct LimitedAcceptor<A> {
    inner: A,
    permits: Arc<Semaphore>,
    head_timeout: Duration,
}

impl<A> LimitedAcceptor<A> {
    /// Wraps `inner` with a maximum of `connections` open at once; a request head must arrive
    /// within `head_timeout` of its first byte.
    pub fn new(inner: A, connections: usize, head_timeout: Duration) -> Self {
        Self {
            inner,
            head_timeout,
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
                read_closed: false,
                head: HeadTimer::new(self.head_timeout),
                has_written: false,
                _permit: permit,
            },
            local,
            remote,
            scheme,
        ))
    }
}

/// Connection that counts against the limit of its acceptor while it is open.
///
/// Flushing fails once the client has closed its side. The server polls a connection again after it
/// has read the end of the stream; without this error it would keep a response open that has
/// nothing to send at that moment.
#[derive(Debug)]
pub struct LimitedIo<I> {
    inner: I,
    read_closed: bool,
    head: HeadTimer,
    has_written: bool,
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
                this.read_closed |= room > 0 && bytes.is_empty() && result.is_ok();
                this.head.on_read(bytes, !this.has_written);
                Poll::Ready(result)
            }
            Poll::Pending => {
                ready!(this.head.poll_expired(cx));
                let message = "request head did not arrive in time";
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
        this.head.on_written(&buf[..written]);
        this.has_written = true;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.read_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
