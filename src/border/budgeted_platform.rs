use {
    super::CallCounters,
    crate::{
        decide::{CallClass, TokenBucket},
        port::{Clock, HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

/// The platform within the daemon's budget of calls.
///
/// All handles made from one another share the budget; each has the class of its calls. A call
/// without a token fails with `Budget` and is not sent.
#[derive(Clone, Debug)]
pub struct BudgetedPlatform<P, C> {
    platform: P,
    clock: C,
    class: CallClass,
    budget: Arc<Budget>,
}

#[derive(Debug)]
struct Budget {
    bucket: TokenBucket,
    calls: u32,
    counters: CallCounters,
}

impl<P, C> BudgetedPlatform<P, C>
where
    P: Platform,
    C: Clock,
{
    /// Wraps `platform`; up to `calls` calls a second are sent, and as many at once after a pause.
    pub fn new(platform: P, clock: C, calls: u32, counters: CallCounters) -> Self {
        let bucket = TokenBucket::new(calls, calls);
        Self {
            platform,
            clock,
            class: CallClass::Status,
            budget: Arc::new(Budget {
                bucket,
                calls,
                counters,
            }),
        }
    }

    /// Returns a handle for calls of `class`.
    #[must_use]
    pub fn with_class(&self, class: CallClass) -> Self {
        Self {
            class,
            ..self.clone()
        }
    }

    /// Calls that the budget has left.
    pub fn left(&self) -> u32 {
        self.budget.bucket.left(self.clock.now())
    }

    fn spend(&self) -> Result<(), PlatformError> {
        let Budget {
            bucket,
            calls,
            counters,
        } = &*self.budget;
        if bucket.try_take(self.clock.now(), self.class.reserve(*calls)) {
            counters.sent(self.class);
            return Ok(());
        }
        counters.withheld(self.class);
        Err(PlatformError::Budget)
    }
}

impl<P, C> ObjectStore for BudgetedPlatform<P, C>
where
    P: Platform,
    C: Clock,
{
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.spend()?;
        self.platform.read(name).await
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<u64, PlatformError> {
        self.spend()?;
        self.platform.create(name, body).await
    }

    async fn update(&self, name: &str, expected: u64, body: Bytes) -> Result<u64, PlatformError> {
        self.spend()?;
        self.platform.update(name, expected, body).await
    }
}

impl<P, C> Platform for BudgetedPlatform<P, C>
where
    P: Platform,
    C: Clock,
{
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectName>, PlatformError> {
        self.spend()?;
        self.platform.list(prefix).await
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.spend()?;
        self.platform.watch(name, after, wait).await
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.spend()?;
        self.platform.hosts().await
    }
}
