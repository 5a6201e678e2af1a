use {
    super::CallerConnection,
    crate::{
        board::{CallerAccount, CallerBounds},
        decide::{Shortage, TokenBucket, gives_way, is_nearly_full},
        key::ConnectionKey,
        port::{Clock, MonoClock},
    },
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{
        fmt::{self, Debug, Formatter},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Longest wait for a connection that gives way to close, before another one is tried.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

/// Connections that give way for a new one before it is closed instead.
const OPEN_ATTEMPTS: usize = 3;

/// Label set of a metric with one label.
type Label = [(&'static str, &'static str); 1];

/// Memory of a process for its callers. Clones share the account.
#[derive(Clone)]
pub struct CallerMemory(pub(super) Arc<Inner>);

/// What the handles of an account share.
pub(super) struct Inner {
    pub(super) account: CallerAccount,
    pub(super) clock: MonoClock,
    /// Notified when a connection closes or bytes are released.
    pub(super) freed: Notify,
    pub(super) metrics: Metrics,
    log_lines: TokenBucket,
}

/// Metrics of the account.
pub(super) struct Metrics {
    pub(super) connection_bytes: Gauge,
    pub(super) body_bytes: Gauge,
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
                    .inc_by(inner.account.bounds().connection_bytes as i64);
                if is_nearly_full(inner.account.bounds(), inner.account.connections()) {
                    self.give_way(Shortage::Connections);
                }
                return Some(CallerConnection::new(self.clone(), key));
            }
            if !self.give_way(Shortage::AllConnections) {
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
        let open = self.0.account.join(key);
        open.then(|| CallerConnection::new(self.clone(), key))
    }

    /// Has the connection longest without progress give way; returns whether there is one.
    pub(super) fn give_way(&self, shortage: Shortage) -> bool {
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

    /// Counts a request that is refused for memory, and logs `message`.
    pub(super) fn count_refused(&self, message: &str) {
        self.0.metrics.refused.inc();
        self.log(message);
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
