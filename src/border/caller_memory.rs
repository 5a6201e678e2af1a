use {
    crate::{
        board::{CallerAccount, CallerBounds},
        decide::{
            CONNECTION_BYTES, PROGRESS_BYTES, SMALL_REQUEST_BYTES, STALLED_TIME, Shortage,
            TokenBucket, body_limit, gives_way, is_nearly_full,
        },
        key::ConnectionKey,
        port::{Clock, MonoClock},
    },
    bytes::{Bytes, BytesMut},
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{
        collections::VecDeque,
        fmt::{self, Debug, Formatter},
        io,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout, timeout_at},
    },
};

/// Longest wait for a connection that gives way to close, before another one is tried.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

/// Connections that give way for a new one before it is closed instead.
const OPEN_ATTEMPTS: usize = 3;

/// Shortest time that a request waits for memory before it is refused.
const MEMORY_WAIT: Duration = Duration::from_millis(250);

/// Range of the time that a request waits in addition, so that requests that wait for one another are not
/// refused all at once. The sum is below `STALLED_TIME`.
const MEMORY_WAIT_RANGE: Duration = Duration::from_millis(500);

/// Smallest buffer of a body, in bytes.
const MIN_BODY_BUFFER: usize = 512;

/// Size of the segments of a body that is not small, in bytes.
const SEGMENT_BYTES: usize = SMALL_REQUEST_BYTES;

/// Wait suggested to a caller that is refused for memory: by then a request without progress gives way.
pub const MEMORY_RETRY_WAIT: Duration = STALLED_TIME;

/// Label set of a metric with one label.
type Label = [(&'static str, &'static str); 1];

/// Memory of a process for its callers. Clones share the account.
#[derive(Clone)]
pub struct CallerMemory(Arc<Inner>);

struct Inner {
    account: CallerAccount,
    clock: MonoClock,
    /// Notified when a connection closes or bytes are released.
    freed: Notify,
    metrics: Metrics,
    log_lines: TokenBucket,
}

/// Metrics of the account.
struct Metrics {
    connection_bytes: Gauge,
    body_bytes: Gauge,
    closed: Counter,
    refused: Counter,
    evicted: Counter,
}

impl Metrics {
    fn new(registry: &mut Registry) -> Self {
        let bytes = Family::<Label, Gauge>::default();
        let ended = Family::<Label, Counter>::default();
        let metrics = Self {
            connection_bytes: bytes.get_or_create_owned(&[("kind", "connections")]),
            body_bytes: bytes.get_or_create_owned(&[("kind", "bodies")]),
            closed: ended.get_or_create_owned(&[("cause", "connections")]),
            refused: ended.get_or_create_owned(&[("cause", "memory")]),
            evicted: ended.get_or_create_owned(&[("cause", "progress")]),
        };
        registry.register(
            "caller_bytes",
            "Bytes held for callers, by kind; each connection counts with the size of its buffers",
            bytes,
        );
        registry.register(
            "caller_ended",
            "Connections closed and requests refused to bound what is held for callers, by cause",
            ended,
        );
        metrics
    }
}

impl Debug for CallerMemory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallerMemory")
            .field(&self.0.account.bounds())
            .finish()
    }
}

impl CallerMemory {
    /// Creates an account that holds nothing, and registers its metrics.
    pub fn new(bounds: CallerBounds, registry: &mut Registry) -> Self {
        Self(Arc::new(Inner {
            account: CallerAccount::new(bounds),
            clock: MonoClock::start(),
            freed: Notify::new(),
            metrics: Metrics::new(registry),
            log_lines: TokenBucket::new(1, 1),
        }))
    }

    /// Accounts for a new connection; `None` if it has to be closed, since too many are open and none of
    /// them gives way.
    pub async fn open(&self) -> Option<CallerConnection> {
        let inner = &self.0;
        for _ in 0..OPEN_ATTEMPTS {
            let freed = inner.freed.notified();
            if let Some(key) = inner.account.open(inner.clock.now()) {
                inner
                    .metrics
                    .connection_bytes
                    .inc_by(CONNECTION_BYTES as i64);
                if is_nearly_full(inner.account.bounds(), inner.account.connections()) {
                    self.give_way(Shortage::Connections);
                }
                return Some(CallerConnection {
                    memory: self.clone(),
                    key,
                });
            }
            if !self.give_way(Shortage::Connections) {
                break;
            }
            let _ = timeout(CLOSE_WAIT, freed).await;
        }
        inner.metrics.closed.inc();
        self.log("too many connections of callers; closing a new one");
        None
    }

    /// Returns the open connection `key`.
    pub fn connection(&self, key: ConnectionKey) -> Option<CallerConnection> {
        self.0.account.join(key).then(|| CallerConnection {
            memory: self.clone(),
            key,
        })
    }

    /// Has the connection longest without progress give way; returns whether there is one.
    fn give_way(&self, shortage: Shortage) -> bool {
        let inner = &self.0;
        let now = inner.clock.now();
        let Some(standing) = gives_way(inner.account.standings(), shortage, now) else {
            return false;
        };
        inner.account.evict(standing.key);
        inner.metrics.evicted.inc();
        self.log("closing the connection of a caller without progress");
        true
    }

    /// Writes a line about a shortage, unless there was one within the last second.
    fn log(&self, message: &str) {
        let Inner {
            account,
            clock,
            log_lines,
            ..
        } = &*self.0;
        if !log_lines.try_take(clock.now(), 0) {
            return;
        }
        let bounds = account.bounds();
        log::warn!(
            connections = account.connections(),
            max_connections = bounds.connections,
            body_bytes = account.body_bytes(),
            max_body_bytes = bounds.body_bytes;
            "{message}"
        );
    }
}

/// Handle of a caller's open connection, which counts until the last handle is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    memory: CallerMemory,
    key: ConnectionKey,
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
            metrics.connection_bytes.dec_by(CONNECTION_BYTES as i64);
            freed.notify_waiters();
        }
    }
}

impl CallerConnection {
    /// Returns the key of the connection.
    pub fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Records that the caller sent `bytes`.
    pub fn received(&self, bytes: usize) {
        let Inner { account, clock, .. } = &*self.memory.0;
        account.moved(self.key, bytes, PROGRESS_BYTES, clock.now());
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

    /// Records a request whose body has not arrived.
    pub fn begin_request(&self) -> CallerWork {
        let Inner { account, clock, .. } = &*self.memory.0;
        account.begin_body(self.key, clock.now());
        CallerWork {
            connection: self.clone(),
            receiving: true,
        }
    }
}

/// A request in progress on a connection; dropping it ends the request.
#[derive(Debug)]
pub struct CallerWork {
    connection: CallerConnection,
    receiving: bool,
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
        CallerBody {
            segments: VecDeque::new(),
            size: 0,
            longest,
            charge: BodyCharge {
                memory: self.connection.memory.clone(),
                bytes: 0,
            },
            wait: memory_wait(self.connection.key),
        }
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

/// Returns the time that a request of `key` waits for memory.
fn memory_wait(key: ConnectionKey) -> Duration {
    // Spreads neighbouring keys over the range.
    let part = key
        .index
        .wrapping_mul(0x9e37_79b9)
        .wrapping_add(key.generation)
        >> 24;
    MEMORY_WAIT + MEMORY_WAIT_RANGE * part / 256
}

/// Body of a request that is being read, in memory that is charged to the account before it is used.
///
/// It is kept in segments of one size. Buffers that double leave freed ones of every size with the allocator,
/// and a large buffer whose pages are not written yet can take huge pages: both took twice the bytes of the
/// bodies.
#[derive(Debug)]
pub struct CallerBody {
    segments: VecDeque<BytesMut>,
    size: usize,
    longest: usize,
    charge: BodyCharge,
    wait: Duration,
}

/// Bytes charged for a body, released when it is dropped.
#[derive(Debug)]
struct BodyCharge {
    memory: CallerMemory,
    bytes: usize,
}

impl CallerBody {
    /// Returns the number of bytes read.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Appends `data`; returns `false` if there is no memory for it, and the body is to be dropped.
    ///
    /// Waits a moment for memory if the account is full and a request without progress gives way.
    pub async fn extend(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            let last = self.segments.back();
            let room = last.map_or(0, |last| last.capacity() - last.len());
            if room == 0 && !self.add_room(data.len()).await {
                return false;
            }
            let Some(last) = self.segments.back_mut() else {
                return false;
            };
            let part = data.len().min(last.capacity() - last.len());
            last.extend_from_slice(&data[..part]);
            self.size += part;
            data = &data[part..];
        }
        true
    }

    /// Makes room for at least one more byte, as far as possible for `bytes`; returns `false` if there is no
    /// memory for it.
    async fn add_room(&mut self, bytes: usize) -> bool {
        let needed = self.size + bytes;
        let small = needed <= SEGMENT_BYTES;
        let capacity = if small {
            let capacity = needed.next_power_of_two().max(MIN_BODY_BUFFER);
            capacity.min(self.longest.max(needed))
        } else {
            SEGMENT_BYTES
        };
        let wanted = if small {
            capacity - self.charge.bytes
        } else {
            capacity
        };
        if !self.charge.grow(wanted, self.wait).await {
            return false;
        }
        let mut segment = BytesMut::with_capacity(capacity);
        if small && let Some(first) = self.segments.pop_front() {
            segment.extend_from_slice(&first);
        }
        self.segments.push_back(segment);
        true
    }

    /// Returns the contents, which keep their charge until they are dropped; `None` if there is no memory to
    /// put them together.
    pub async fn freeze(mut self) -> Option<Bytes> {
        if self.segments.len() > 1 {
            // The copy releases each segment before the next one.
            if !self.charge.grow(SEGMENT_BYTES, self.wait).await {
                return None;
            }
            let mut whole = BytesMut::with_capacity(self.size);
            while let Some(segment) = self.segments.pop_front() {
                whole.extend_from_slice(&segment);
            }
            self.segments.push_back(whole);
            self.charge
                .release(self.charge.bytes.saturating_sub(self.size));
        }
        let Some(bytes) = self.segments.pop_front() else {
            return Some(Bytes::new());
        };
        Some(Bytes::from_owner(ChargedBody {
            bytes,
            _charge: self.charge,
        }))
    }
}

impl BodyCharge {
    /// Charges for `bytes` more, waiting up to `wait`; returns whether they are charged.
    async fn grow(&mut self, bytes: usize, wait: Duration) -> bool {
        let inner = &self.memory.0;
        let limit = body_limit(inner.account.bounds(), self.bytes + bytes);
        let deadline = Instant::now() + wait;
        loop {
            let freed = inner.freed.notified();
            if inner.account.charge(bytes, limit) {
                inner.metrics.body_bytes.inc_by(bytes as i64);
                self.bytes += bytes;
                return true;
            }
            self.memory.give_way(Shortage::Memory);
            if timeout_at(deadline, freed).await.is_err() {
                inner.metrics.refused.inc();
                self.memory
                    .log("no memory for the body of a request; refusing it");
                return false;
            }
        }
    }
}

impl BodyCharge {
    /// Releases `bytes` of the charge.
    fn release(&mut self, bytes: usize) {
        let inner = &self.memory.0;
        self.bytes -= bytes;
        inner.account.release(bytes);
        inner.metrics.body_bytes.dec_by(bytes as i64);
        inner.freed.notify_waiters();
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Complete body of a request with its charge.
struct ChargedBody {
    bytes: BytesMut,
    _charge: BodyCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
