use {
    std::sync::{Mutex, PoisonError},
    tokio::{
        task::yield_now,
        time::{Duration, Instant, sleep_until},
    },
};

/// Tokens of KV cache that are sent at once; transfers share a link part by part.
pub(super) const PART_TOKENS: u32 = 64;

/// Link of limited rate, shared by all transfers of one engine in one direction.
#[derive(Debug)]
pub(super) struct Link {
    token_time: Duration,
    free: Mutex<Instant>,
}

impl Link {
    pub(super) fn new(token_time: Duration) -> Self {
        Self {
            token_time,
            free: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `tokens` more have passed the link.
    pub(super) async fn pass(&self, tokens: u32) {
        let end = self.reserve(tokens);
        wait_until(end).await;
    }

    fn reserve(&self, tokens: u32) -> Instant {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        *free = Instant::now().max(*free) + self.token_time * tokens;
        *free
    }
}

/// Sleeps until `due`; what is already due costs no tick of the timer.
pub(super) async fn wait_until(due: Instant) {
    if due <= Instant::now() {
        yield_now().await;
    } else {
        sleep_until(due).await;
    }
}
