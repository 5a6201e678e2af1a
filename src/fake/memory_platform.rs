use {
    super::{
        PlatformSettings,
        platform_state::{Condition, PlatformState, Written},
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

/// The platform's stand-in without HTTP, for tests that pause the time.
#[derive(Clone)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
    away: Arc<watch::Sender<bool>>,
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
            away: Arc::new(watch::Sender::new(false)),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MemoryPlatform {
    /// Refuses all calls, or answers them again.
    pub fn set_away(&self, away: bool) {
        self.away.send_replace(away);
    }

    /// Loses everything that was written, as a restored empty backup would.
    pub fn reset(&self) {
        *self.lock() = PlatformState::new(&PlatformSettings::default());
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self) -> Result<(), PlatformError> {
        if *self.away.borrow() {
            return Err(PlatformError::Unavailable(String::from("away")));
        }
        Ok(())
    }

    fn write(&self, name: &str, condition: Condition, body: Bytes) -> Result<u64, PlatformError> {
        self.admit()?;
        let written = self.lock().write(name, condition, body);
        self.changes.send_modify(|count| *count += 1);
        match written {
            Written::Done(version) => Ok(version),
            Written::Lost => Err(PlatformError::Unknown(String::from("lost"))),
            Written::Conflict(current) => Err(PlatformError::Conflict {
                name: String::from(name),
                current,
            }),
        }
    }
}

impl ObjectStore for MemoryPlatform {
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.admit()?;
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
        self.admit()?;
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
                self.admit()?;
                if let Some(object) = self.lock().newer(name, after) {
                    return Ok(Some(object));
                }
                // The sender lives in `self`.
                let _ = changes.changed().await;
            }
        };
        timeout(wait, newer).await.unwrap_or(Ok(None))
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.admit()?;
        Ok(self.lock().hosts())
    }
}
