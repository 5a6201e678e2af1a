use {
    crate::port::{Clock, MemberEntry, ObjectStore, PlatformError},
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Delay before a failed registration is retried.
const REGISTER_DELAY: Duration = Duration::from_secs(2);

/// Number of attempts to register before giving up.
const REGISTER_ATTEMPTS: u32 = 30;

/// Keeps the entry of this daemon in the store.
#[derive(Debug)]
pub struct Registration<S, C> {
    /// Store of the entries.
    pub store: S,
    /// Source of time and sleep.
    pub clock: C,
    /// Entry of this daemon.
    pub own: MemberEntry,
    /// Notified when the entry is no longer listed.
    pub lapsed: Arc<Notify>,
}

impl<S, C> Registration<S, C>
where
    S: ObjectStore,
    C: Clock,
{
    /// Registers this daemon, and again whenever its entry is no longer listed; runs until the task is
    /// dropped.
    pub async fn run(self) {
        loop {
            self.register().await;
            self.lapsed.notified().await;
            log::warn!(member = self.own.name.as_str(); "the entry of this daemon is no longer listed; registering again");
        }
    }

    /// Writes the entry, replacing that of an earlier incarnation.
    ///
    /// Tries up to 30 times, 2 s apart, and logs each failure; after the last one the daemon stays
    /// unregistered.
    async fn register(&self) {
        let body = match serde_json::to_vec(&self.own) {
            Ok(body) => Bytes::from(body),
            Err(e) => {
                log::error!(
                    "daemon not registered, other daemons do not list it: its entry cannot be encoded: {e}"
                );
                return;
            }
        };
        for _ in 0..REGISTER_ATTEMPTS {
            match self.write(body.clone()).await {
                Ok(version) => {
                    log::info!(version; "registered");
                    return;
                }
                Err(e) => log::warn!(
                    "attempt to register this daemon failed, {REGISTER_ATTEMPTS} are made in all: {e}"
                ),
            }
            self.clock.sleep(REGISTER_DELAY).await;
        }
    }

    /// Creates the object or replaces it, and returns its new version.
    async fn write(&self, body: Bytes) -> Result<u64, PlatformError> {
        let name = &self.own.name;
        let version = match self.store.create(name, body.clone()).await {
            Err(PlatformError::Conflict { current, .. }) if current > 0 => current,
            Err(PlatformError::Conflict { .. }) => {
                let before = self.store.read(name).await?;
                before.map_or(0, |object| object.version)
            }
            other => return other,
        };
        self.store.update(name, version, body).await
    }
}
