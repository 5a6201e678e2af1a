use {
    super::{
        PlatformSettings,
        platform_state::{Condition, PlatformState, WriteOutcome},
    },
    crate::port::{HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    bytes::Bytes,
    std::{
        fmt::{self, Debug, Formatter},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Fake platform in memory, without HTTP, for tests that run on paused time.
///
/// Clones share the same state.
#[derive(Clone)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
    unavailable: Arc<watch::Sender<bool>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Debug for MemoryPlatform {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryPlatform").finish_non_exhaustive()
    }
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        let state = PlatformState::new(&PlatformSettings::default());
        Self {
            state: Arc::new(Mutex::new(state)),
            unavailable: Arc::new(watch::Sender::new(false)),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MemoryPlatform {
    /// Sets whether all calls are refused as unavailable.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.send_replace(unavailable);
    }

    /// Removes all objects, as the restore of an empty backup would.
    pub fn reset(&self) {
        *self.lock() = PlatformState::new(&PlatformSettings::default());
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails while the platform is unavailable.
    fn check_available(&self) -> Result<(), PlatformError> {
        if *self.unavailable.borrow() {
            return Err(PlatformError::Unavailable(String::from("away")));
        }
        Ok(())
    }

    /// Writes an object under a condition, wakes all watches and returns the new version.
    fn write(&self, name: &str, condition: Condition, body: Bytes) -> Result<u64, PlatformError> {
        self.check_available()?;
        let outcome = self.lock().write(name, condition, body);
        self.changes.send_modify(|count| *count += 1);
        match outcome {
            WriteOutcome::Done(version) => Ok(version),
            WriteOutcome::Lost => Err(PlatformError::Unknown(String::from("lost"))),
            WriteOutcome::Conflict(current) => Err(PlatformError::Conflict {
                name: String::from(name),
                current,
            }),
        }
    }
}

impl ObjectStore for MemoryPlatform {
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.check_available()?;
        Ok(self.lock().read(name))
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<u64, PlatformError> {
        self.write(name, Condition::Absent, body)
    }

    async fn update(&self, name: &str, expected: u64, body: Bytes) -> Result<u64, PlatformError> {
        self.write(name, Condition::Version(expected), body)
    }
}

impl Platform for MemoryPlatform {
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectName>, PlatformError> {
        self.check_available()?;
        Ok(self.lock().list(prefix))
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let mut changes = self.changes.subscribe();
        let newer = async {
            loop {
                self.check_available()?;
                if let Some(object) = self.lock().newer(name, after) {
                    return Ok(Some(object));
                }
                // Cannot fail: `self` holds the sender.
                let _ = changes.changed().await;
            }
        };
        timeout(wait, newer).await.unwrap_or(Ok(None))
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.check_available()?;
        Ok(self.lock().hosts())
    }
}
