use {
    std::sync::{Mutex, PoisonError},
    tokio::time::{Duration, Instant, sleep_until},
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
        sleep_until(end).await;
    }

    fn reserve(&self, tokens: u32) -> Instant {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        *free = Instant::now().max(*free) + self.token_time * tokens;
        *free
    }
}
