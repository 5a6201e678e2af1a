use {
    super::{CallerConnection, CallerMemory, HeadTimer},
    crate::key::ConnectionKey,
    poem::{
        Addr,
        http::uri::Scheme,
        listener::Acceptor,
        web::{LocalAddr, RemoteAddr},
    },
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::sleep,
    },
};

/// Delay before the next accept after a failed one, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Most bytes that are read at once: the HTTP library grows the buffer of a connection as long as reads fill
/// it, up to 400 KiB.
const READ_BYTES: usize = 8 << 10;

/// Bytes that a head may have beyond its limit, for its request line and for the refusal to be sent.
const EXTRA_HEAD_BYTES: usize = 8 << 10;

/// Scheme of the remote address that holds the key of a connection.
const ADDRESS_SCHEME: &str = "connection";

/// Returns the key of the connection whose requests have the remote address `address`.
pub(super) fn connection_key(address: &RemoteAddr) -> Option<ConnectionKey> {
    match &address.0 {
        Addr::Custom(ADDRESS_SCHEME, key) => key.parse().ok(),
        _ => None,
    }
}

/// Acceptor that accounts for open connections, and closes a connection on which a request head takes
/// too long or is too large.
///
/// If too many are open, one without progress is closed, or else the new one. The remote address of a
/// connection is its key in the account.
#[derive(Debug)]
pub struct LimitedAcceptor<A> {
    inner: A,
    memory: CallerMemory,
    head_timeout: Duration,
    head_bytes: usize,
}

impl<A> LimitedAcceptor<A> {
    /// Wraps `inner`, whose connections are accounted for in `memory`; a request head must arrive
    /// within `head_timeout` of its first byte, and has at most `head_bytes`.
    pub fn new(inner: A, memory: CallerMemory, head_timeout: Duration, head_bytes: usize) -> Self {
        Self {
            inner,
            memory,
            head_timeout,
            head_bytes: head_bytes + EXTRA_HEAD_BYTES,
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
        loop {
            let (inner, local, _, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    return Err(error);
                }
            };
            let Some(connection) = self.memory.open().await else {
                continue;
            };
            let key = Addr::custom(ADDRESS_SCHEME, connection.key().to_string());
            let io = LimitedIo {
                inner,
                connection,
                read_closed: false,
                head: HeadTimer::new(self.head_timeout),
                head_bytes: 0,
                max_head_bytes: self.head_bytes,
                has_written: false,
            };
            return Ok((io, local, RemoteAddr(key), scheme));
        }
    }
}

/// Connection that is accounted for while it is open.
///
/// Flushing fails once the client has closed its side. The server polls a connection again after it
/// has read the end of the stream; without this error it would keep a response open that has
/// nothing to send at that moment.
#[derive(Debug)]
pub struct LimitedIo<I> {
    inner: I,
    connection: CallerConnection,
    read_closed: bool,
    head: HeadTimer,
    /// Bytes of the head that has begun.
    head_bytes: usize,
    max_head_bytes: usize,
    has_written: bool,
}

impl<I> LimitedIo<I> {
    /// Counts bytes of a head; fails if it has too many.
    fn count_head(&mut self, bytes: usize) -> io::Result<()> {
        if !self.head.is_in_head() {
            self.head_bytes = 0;
            return Ok(());
        }
        self.head_bytes += bytes;
        if self.head_bytes <= self.max_head_bytes {
            return Ok(());
        }
        let message = "request head is too large";
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
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
        self.connection.check_evicted(cx)?;
        let this = &mut *self;
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        match Pin::new(&mut this.inner).poll_read(cx, &mut part) {
            Poll::Ready(result) => {
                let bytes = part.filled();
                let count = bytes.len();
                this.read_closed |= room > 0 && count == 0 && result.is_ok();
                this.head.on_read(bytes, !this.has_written);
                buf.advance(count);
                if count > 0 {
                    this.connection.received(count);
                }
                Poll::Ready(result.and_then(|()| this.count_head(count)))
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
        self.connection.check_evicted(cx)?;
        let this = &mut *self;
        let written = Pin::new(&mut this.inner).poll_write(cx, buf);
        if written.is_pending() {
            this.connection.sent(None);
        }
        let written = ready!(written)?;
        this.connection.sent(Some(written));
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
