use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Time for which a connection had no traffic. Clones share it.
#[derive(Clone, Debug)]
pub struct IdleTimer {
    start: Instant,
    /// Time of the last traffic, in milliseconds since the start.
    last: Arc<AtomicU64>,
}

impl IdleTimer {
    /// Begins to measure now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            last: Arc::default(),
        }
    }

    /// Records traffic.
    pub fn reset(&self) {
        let now = self.start.elapsed().as_millis() as u64;
        self.last.store(now, Ordering::Relaxed);
    }

    /// Waits until there was no traffic for `limit`.
    pub async fn wait(&self, limit: Duration) {
        loop {
            let last = Duration::from_millis(self.last.load(Ordering::Relaxed));
            let end = self.start + last + limit;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}
