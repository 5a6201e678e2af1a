use {
    super::CallCounters,
    crate::{
        decide::{CallClass, TokenBucket},
        port::{Clock, HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

/// Platform client that limits the rate of the daemon's calls.
///
/// All clones and the handles of `with_class` share one token bucket; each handle has the class of
/// its calls. A call that gets no token fails with `PlatformError::Budget` and is not sent.
#[derive(Clone, Debug)]
pub struct BudgetedPlatform<P, C> {
    platform: P,
    clock: C,
    class: CallClass,
    budget: Arc<Budget>,
}

/// Budget that all handles share.
#[derive(Debug)]
struct Budget {
    bucket: TokenBucket,
    /// Calls per second, and the maximum burst.
    calls: u32,
    counters: CallCounters,
}

impl<P, C> BudgetedPlatform<P, C>
where
    P: Platform,
    C: Clock,
{
    /// Wraps `platform` with a budget of `calls` per second, which is also the maximum burst.
    ///
    /// Calls have the class `Status` until `with_class` selects another one.
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

    /// Returns a handle that shares the budget and whose calls have the class `class`.
    #[must_use]
    pub fn with_class(&self, class: CallClass) -> Self {
        Self {
            class,
            ..self.clone()
        }
    }

    /// Returns the number of calls that could be sent now, without regard to the reserves of
    /// classes.
    pub fn remaining(&self) -> u32 {
        self.budget.bucket.left(self.clock.now())
    }

    /// Takes a token and counts the call, or fails with `PlatformError::Budget`.
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
