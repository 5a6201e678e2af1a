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

/// Leases of orders at the platform, an object each; the version after a write is the fence.
#[derive(Clone, Debug)]
pub struct OrderClaims<P, C> {
    platform: P,
    clock: C,
    holder: String,
    term: Duration,
    writes: Arc<AtomicU64>,
    seen: Arc<Mutex<HashMap<String, (u64, Tick)>>>,
}

/// A lease that this host holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderClaim {
    /// Object.
    pub name: String,
    /// Fencing number: greater than that of every earlier holder.
    pub fence: u64,
    /// End of the lease by the clock of this process.
    pub until: Tick,
    body: ClaimBody,
}

/// Contents of the object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimBody {
    /// Host, incarnation and number of the write: makes a write known whose answer was lost.
    token: String,
    /// Revision of the sheet that the holder orders by.
    revision: u64,
    /// Term of the lease in milliseconds.
    term_ms: u64,
    /// Whether the holder has finished.
    free: bool,
}

impl<P, C> OrderClaims<P, C>
where
    P: ObjectStore,
    C: Clock,
{
    /// Creates the leases of `holder`, a text that no other process shares.
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

    /// Takes the lease `name` to order by `revision` of the sheet.
    ///
    /// A lease of another holder is waited out, counted from when its present version was first
    /// read here, which is after it was written; with `supersede` it is replaced at once, which is
    /// safe where the engine checks fences.
    pub async fn take(
        &self,
        name: &str,
        revision: u64,
        supersede: bool,
    ) -> Result<OrderClaim, OrderError> {
        let before = self.platform.read(name).await?;
        let version = before.as_ref().map(|object| object.version);
        if let Some(object) = &before {
            self.check(name, object.version, &object.body, revision, supersede)?;
        }
        let body = ClaimBody {
            token: self.token(),
            revision,
            term_ms: self.term.as_millis() as u64,
            free: false,
        };
        let until = self.clock.now() + self.term;
        let fence = self.write(name, version, &body).await?;
        Ok(OrderClaim {
            name: name.to_owned(),
            fence,
            until,
            body,
        })
    }

    /// Gives a lease back; a failure only makes others wait for its end.
    pub async fn release(&self, claim: &OrderClaim) {
        let body = ClaimBody {
            free: true,
            ..claim.body.clone()
        };
        let written = self
            .platform
            .update(&claim.name, claim.fence, encode(&body));
        if let Err(error) = written.await {
            log::debug!(name = claim.name.as_str(); "lease not given back: {error}");
        }
    }

    fn check(
        &self,
        name: &str,
        version: u64,
        body: &Bytes,
        revision: u64,
        supersede: bool,
    ) -> Result<(), OrderError> {
        let Ok(body) = serde_json::from_slice::<ClaimBody>(body) else {
            let reason = format!("`{name}` holds no lease");
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

    async fn write(
        &self,
        name: &str,
        version: Option<u64>,
        body: &ClaimBody,
    ) -> Result<u64, OrderError> {
        let bytes = encode(body);
        let written = match version {
            Some(version) => self.platform.update(name, version, bytes).await,
            None => self.platform.create(name, bytes).await,
        };
        match written {
            Ok(fence) => Ok(fence),
            Err(PlatformError::Conflict { .. }) => Err(OrderError::Held(name.to_owned())),
            Err(PlatformError::Unknown(_)) => self.recognise(name, body).await,
            Err(error) => Err(error.into()),
        }
    }

    /// Reads again after a lost answer.
    async fn recognise(&self, name: &str, body: &ClaimBody) -> Result<u64, OrderError> {
        let object = self.platform.read(name).await?;
        let own = object.filter(|object| object.body == encode(body));
        let own = own.ok_or_else(|| OrderError::Held(name.to_owned()))?;
        Ok(own.version)
    }

    fn token(&self) -> String {
        let write = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{write}", self.holder)
    }
}

fn encode(body: &ClaimBody) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}
