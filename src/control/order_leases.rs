use {
    super::OrderError,
    crate::{
        board::Tick,
        port::{Clock, ObjectStore, PlatformError},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Leases that a host must hold to send orders, each stored as one platform object.
///
/// The version of the object after the write that acquired the lease is the fencing number.
#[derive(Clone, Debug)]
pub struct OrderLeases<P, C> {
    platform: P,
    clock: C,
    holder: String,
    term: Duration,
    /// Number of writes so far, which makes the token of each write unique.
    writes: Arc<AtomicU64>,
    /// Version of each lease of another holder, and when that version was first read.
    seen: Arc<Mutex<HashMap<String, (u64, Tick)>>>,
}

/// A lease that this host holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderLease {
    /// Name of the platform object.
    pub name: String,
    /// Fencing number, greater than that of every earlier holder.
    pub fence: u64,
    /// End of the lease, on the clock of this process.
    pub until: Tick,
    body: LeaseBody,
}

/// Contents of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct LeaseBody {
    /// Host, incarnation and number of the write; identifies a write whose response was lost.
    token: String,
    /// Revision of the sheet from which the holder derives its orders.
    revision: u64,
    /// Term of the lease in milliseconds.
    term_ms: u64,
    /// Whether the holder has released the lease.
    free: bool,
}

impl<P, C> OrderLeases<P, C>
where
    P: ObjectStore,
    C: Clock,
{
    /// Creates a client for the leases of `holder`, a text unique to this process; each lease lasts for
    /// `term`.
    pub fn new(platform: P, clock: C, holder: String, term: Duration) -> Self {
        Self {
            platform,
            clock,
            holder,
            term,
            writes: Arc::default(),
            seen: Arc::default(),
        }
    }

    /// Acquires the lease `name`, to send orders derived from `revision` of the sheet.
    ///
    /// A lease of another holder counts as expired once its term has passed since its current
    /// version was first read here. That read follows the write, so the term is never cut short. With
    /// `supersede` the lease is replaced at once, which is safe where the engine checks fencing
    /// numbers.
    ///
    /// Fails with `Held` while another host holds the lease, or may hold one that the store has lost, with
    /// `Stale` if that host uses a later revision, and with `Platform` if the platform fails.
    pub async fn acquire(
        &self,
        name: &str,
        revision: u64,
        supersede: bool,
    ) -> Result<OrderLease, OrderError> {
        let before = self.platform.read(name).await?;
        // A store that came back from a copy may have lost the lease of another holder.
        if self
            .platform
            .restored_ago()
            .is_some_and(|ago| ago < self.term)
        {
            return Err(OrderError::Held(name.to_owned()));
        }
        let version = before.as_ref().map(|object| object.version);
        if let Some(object) = &before {
            self.check(name, object.version, &object.body, revision, supersede)?;
        }
        let body = LeaseBody {
            token: self.token(),
            revision,
            term_ms: self.term.as_millis() as u64,
            free: false,
        };
        let until = self.clock.now() + self.term;
        let fence = self.write(name, version, &body).await?;
        Ok(OrderLease {
            name: name.to_owned(),
            fence,
            until,
            body,
        })
    }

    /// Releases a lease; if that fails, other hosts have to wait until it expires.
    pub async fn release(&self, lease: &OrderLease) {
        let body = LeaseBody {
            free: true,
            ..lease.body.clone()
        };
        let written = self
            .platform
            .update(&lease.name, lease.fence, encode(&body));
        if let Err(error) = written.await {
            log::debug!(name = lease.name.as_str(); "lease not released, it expires at the end of its term: {error}");
        }
    }

    /// Checks that the lease in `body` may be replaced.
    fn check(
        &self,
        name: &str,
        version: u64,
        body: &Bytes,
        revision: u64,
        supersede: bool,
    ) -> Result<(), OrderError> {
        let Ok(body) = serde_json::from_slice::<LeaseBody>(body) else {
            let reason = format!("`{name}` does not hold a lease");
            return Err(PlatformError::Rejected(reason).into());
        };
        if body.revision > revision {
            return Err(OrderError::Stale(body.revision));
        }
        if body.free || supersede {
            return Ok(());
        }
        let now = self.clock.now();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let first = seen.entry(name.to_owned()).or_insert((version, now));
        if first.0 != version {
            *first = (version, now);
        }
        if now.since(first.1) < Duration::from_millis(body.term_ms) {
            return Err(OrderError::Held(name.to_owned()));
        }
        Ok(())
    }

    /// Creates the object, or replaces its `version`; returns the new version.
    async fn write(
        &self,
        name: &str,
        version: Option<u64>,
        body: &LeaseBody,
    ) -> Result<u64, OrderError> {
        let bytes = encode(body);
        let written = match version {
            Some(version) => self.platform.update(name, version, bytes).await,
            None => self.platform.create(name, bytes).await,
        };
        match written {
            Ok(fence) => Ok(fence),
            Err(PlatformError::Conflict { .. }) => Err(OrderError::Held(name.to_owned())),
            Err(PlatformError::Unknown(_)) => self.resolve_write(name, body).await,
            Err(error) => Err(error.into()),
        }
    }

    /// Reads the object after a write whose outcome is unknown; returns its version if it is as
    /// written.
    async fn resolve_write(&self, name: &str, body: &LeaseBody) -> Result<u64, OrderError> {
        let object = self.platform.read(name).await?;
        let own = object.filter(|object| object.body == encode(body));
        let own = own.ok_or_else(|| OrderError::Held(name.to_owned()))?;
        Ok(own.version)
    }

    /// Returns a token that no other write has.
    fn token(&self) -> String {
        let write = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{write}", self.holder)
    }
}

fn encode(body: &LeaseBody) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}
