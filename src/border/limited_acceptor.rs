use {
    super::{CallerConnection, CallerMemory, CloseWait, HeadTimer, IdleTimer},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay before the next accept after a failed one, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Most bytes that are read at once: the HTTP library begins with a buffer of 8 KiB, and takes larger ones as
/// long as reads fill them.
const READ_BYTES: usize = 7 << 10;

/// Bytes that a head may have beyond its limit, for its request line and for the refusal to be sent.
const EXTRA_HEAD_BYTES: usize = 8 << 10;

/// Acceptor that accounts for open connections, and closes a connection on which a request head takes
/// too long or is too large.
///
/// If too many are open, one without progress is closed, or else the new one.
#[derive(Debug)]
pub struct LimitedAcceptor {
    listener: TcpListener,
    memory: CallerMemory,
    limits: IoLimits,
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct IoLimits {
    /// Time from the first byte of a request head in which the complete head must arrive.
    pub head_time: Duration,
    /// Maximum size of a head in bytes.
    pub head_bytes: usize,
    /// Longest wait for a caller to close a connection on which it has sent what was not read.
    pub close_time: Duration,
}

impl LimitedAcceptor {
    /// Wraps `listener`, whose connections are accounted for in `memory` and have `limits`.
    pub fn new(listener: TcpListener, memory: CallerMemory, limits: IoLimits) -> Self {
        Self {
            listener,
            memory,
            limits,
        }
    }

    /// Returns the listener.
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Returns the limits of its connections.
    pub fn limits(&self) -> IoLimits {
        self.limits
    }

    /// Returns the next connection; fails if the system has none to give at the moment.
    pub async fn accept(&self) -> io::Result<LimitedIo> {
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    return Err(error);
                }
            };
            // Without it, a streamed chunk waits for the delayed acknowledgement of the chunk before it, 40 ms.
            stream.set_nodelay(true)?;
            if let Some(connection) = self.memory.open().await {
                return Ok(LimitedIo::new(stream, connection, self.limits));
            }
        }
    }
}

/// Connection that is accounted for while it is open.
///
/// Flushing fails once the client has closed its side. The server polls a connection again after it
/// has read the end of the stream; without this error it would keep a response open that has
/// nothing to send at that moment.
#[derive(Debug)]
pub struct LimitedIo {
    stream: TcpStream,
    connection: CallerConnection,
    read_closed: bool,
    head: HeadTimer,
    /// Bytes of the head that has begun.
    head_bytes: usize,
    limits: IoLimits,
    has_written: bool,
    writing: Writing,
    idle: IdleTimer,
    closing: CloseWait,
}

/// Whether more of a response can be written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Writing {
    /// Nothing waits to be written.
    Ready,
    /// A part of a response waits until the caller has read more.
    Blocked,
    /// A part waits, and a read was put off until it is written.
    BlockedWithRead,
}

impl LimitedIo {
    fn new(stream: TcpStream, connection: CallerConnection, limits: IoLimits) -> Self {
        Self {
            stream,
            connection,
            read_closed: false,
            head: HeadTimer::new(limits.head_time),
            head_bytes: 0,
            limits,
            has_written: false,
            writing: Writing::Ready,
            idle: IdleTimer::start(),
            closing: CloseWait::default(),
        }
    }

    /// Returns the connection in the account.
    pub fn connection(&self) -> &CallerConnection {
        &self.connection
    }

    /// Returns the time without traffic.
    pub fn idle(&self) -> &IdleTimer {
        &self.idle
    }

    /// Records whether a part of a response has to wait; wakes the task for a read that was put off.
    fn record_write(&mut self, is_blocked: bool, cx: &Context<'_>) {
        let before = self.writing;
        if is_blocked {
            self.connection.sent(None);
            self.writing = before.max(Writing::Blocked);
        } else {
            self.writing = Writing::Ready;
        }
        if !is_blocked && before == Writing::BlockedWithRead {
            cx.waker().wake_by_ref();
        }
    }

    /// Counts bytes of a head; fails if it has too many.
    fn count_head(&mut self, bytes: usize) -> io::Result<()> {
        if !self.head.is_in_head() {
            self.head_bytes = 0;
            return Ok(());
        }
        self.head_bytes += bytes;
        if self.head_bytes <= self.limits.head_bytes + EXTRA_HEAD_BYTES {
            return Ok(());
        }
        let message = "request head is too large";
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}

impl AsyncRead for LimitedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check_evicted(cx)?;
        let this = &mut *self;
        if this.writing != Writing::Ready && !this.head.is_http2() {
            // Else the responses to requests in a row would pile up behind the one that waits.
            this.writing = Writing::BlockedWithRead;
            return Poll::Pending;
        }
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        match Pin::new(&mut this.stream).poll_read(cx, &mut part) {
            Poll::Ready(result) => {
                let bytes = part.filled();
                let count = bytes.len();
                this.read_closed |= room > 0 && count == 0 && result.is_ok();
                this.head.on_read(bytes, !this.has_written);
                buf.advance(count);
                if count > 0 {
                    this.idle.reset();
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

impl AsyncWrite for LimitedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check_evicted(cx)?;
        let this = &mut *self;
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_write(written.is_pending(), cx);
        let written = ready!(written)?;
        this.idle.reset();
        this.connection.sent(Some(written));
        this.head.on_written(&buf[..written]);
        this.has_written = true;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.read_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.closing.has_begun() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let limit = this.limits.close_time;
        this.closing.poll(&this.stream, &this.connection, limit, cx)
    }
}
