use {
    super::CallerConnection,
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        pin::{Pin, pin},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::Interest,
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Wait of a connection that was shut down for its caller to close it too.
///
/// To close it while bytes of the caller are unread would reset it, with what the caller has not received of
/// the response yet.
#[derive(Debug, Default)]
pub struct CloseWait {
    limit: Option<Pin<Box<Sleep>>>,
}

impl CloseWait {
    /// Returns whether the wait has begun.
    pub fn has_begun(&self) -> bool {
        self.limit.is_some()
    }

    /// Waits until no bytes of the caller are left unread on `stream`, or until it has closed its side; ends
    /// after `limit`, or when `connection` has to give way.
    pub fn poll(
        &mut self,
        stream: &TcpStream,
        connection: &CallerConnection,
        limit: Duration,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        if connection.poll_evicted(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let limit = self.limit.get_or_insert_with(|| Box::pin(sleep(limit)));
        if limit.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            if stream.poll_read_ready(cx)?.is_pending() {
                return if has_unread(stream)? {
                    Poll::Pending
                } else {
                    Poll::Ready(Ok(()))
                };
            }
            let ready = pin!(stream.ready(Interest::READABLE)).poll(cx)?;
            if matches!(ready, Poll::Ready(ready) if ready.is_read_closed()) {
                return Poll::Ready(Ok(()));
            }
            // Has the runtime report the next change, as the bytes stay unread.
            let unchanged = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _ = stream.try_io(Interest::READABLE, unchanged);
        }
    }
}

/// Returns whether bytes of the caller were not read.
fn has_unread(stream: &TcpStream) -> io::Result<bool> {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(bytes) => Ok(bytes > 0),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(e),
    }
}
