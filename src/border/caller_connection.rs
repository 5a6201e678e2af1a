use {
    super::{CallerBody, CallerMemory, caller_body::BodyCharge, caller_memory::Inner},
    crate::{
        decide::{PROGRESS_BYTES, REQUEST_BYTES, is_nearly_full},
        key::ConnectionKey,
        port::Clock,
    },
    std::{
        io,
        task::{Context, Poll},
    },
};

/// Handle of a caller's open connection, which counts until the last handle is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    pub(super) memory: CallerMemory,
    pub(super) key: ConnectionKey,
}

impl Clone for CallerConnection {
    fn clone(&self) -> Self {
        self.memory.0.account.join(self.key);
        Self {
            memory: self.memory.clone(),
            key: self.key,
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let Inner {
            account,
            metrics,
            freed,
            ..
        } = &*self.memory.0;
        if account.leave(self.key) {
            metrics
                .connection_bytes
                .dec_by(account.bounds().connection_bytes as i64);
            freed.notify_waiters();
        }
    }
}

impl CallerConnection {
    /// Returns the handle of the connection `key`, which counts it already.
    pub(super) fn new(memory: CallerMemory, key: ConnectionKey) -> Self {
        Self { memory, key }
    }

    /// Returns the key of the connection.
    pub fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Records that the caller sent `bytes`.
    pub fn received(&self, bytes: usize) {
        let Inner { account, clock, .. } = &*self.memory.0;
        account.received(self.key, bytes);
        account.moved(self.key, bytes, PROGRESS_BYTES, clock.now());
    }

    /// Returns whether the connection is to be closed after its response, since few others are left for new
    /// callers.
    pub fn should_close(&self) -> bool {
        let account = &self.memory.0.account;
        is_nearly_full(account.bounds(), account.connections())
    }

    /// Records that the caller took `bytes` of a response; `None` if it has to read more first.
    pub fn sent(&self, bytes: Option<usize>) {
        let Inner { account, clock, .. } = &*self.memory.0;
        let now = clock.now();
        account.set_blocked(self.key, bytes.is_none(), now);
        if let Some(bytes) = bytes {
            account.moved(self.key, bytes, PROGRESS_BYTES, now);
        }
    }

    /// Completes when the connection has to be closed to make room.
    pub fn poll_evicted(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.memory.0.account.poll_evicted(self.key, cx)
    }

    /// Fails if the connection has to be closed to make room for others.
    pub fn check_evicted(&self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.poll_evicted(cx) {
            Poll::Ready(()) => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "closed to make room for other callers",
            )),
            Poll::Pending => Ok(()),
        }
    }

    /// Records a request whose body has not arrived; `None` if the connection carries another one, and there
    /// is no memory for both.
    pub fn begin_request(&self) -> Option<CallerWork> {
        let Inner { account, clock, .. } = &*self.memory.0;
        let shared = account.begin_body(self.key, clock.now());
        let mut work = CallerWork {
            connection: self.clone(),
            receiving: true,
            charge: BodyCharge::new(&self.memory),
        };
        if shared && !work.charge.try_grow(REQUEST_BYTES) {
            let message = "no memory for one more request of a connection; refusing it";
            self.memory.count_refused(message);
            return None;
        }
        Some(work)
    }
}

/// A request in progress on a connection; dropping it ends the request.
#[derive(Debug)]
pub struct CallerWork {
    connection: CallerConnection,
    receiving: bool,
    /// What the request takes beside others of its connection.
    charge: BodyCharge,
}

impl CallerWork {
    /// Records that the body has arrived, or will not be read.
    pub fn end_body(&mut self) {
        let CallerConnection { memory, key } = &self.connection;
        if self.receiving {
            self.receiving = false;
            memory.0.account.begin_work(*key);
            memory.0.account.end_body(*key);
        }
    }

    /// Returns a buffer for the body.
    ///
    /// `longest` is the length of the body as the caller states it, or else the limit for bodies.
    pub fn body(&self, longest: usize) -> CallerBody {
        CallerBody::new(&self.connection, longest)
    }
}

impl Drop for CallerWork {
    fn drop(&mut self) {
        let CallerConnection { memory, key } = &self.connection;
        let Inner { account, clock, .. } = &*memory.0;
        if self.receiving {
            account.end_body(*key);
        } else {
            account.end_work(*key, clock.now());
        }
    }
}
