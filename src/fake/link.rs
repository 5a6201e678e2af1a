use {
    std::sync::{Mutex, PoisonError},
    tokio::{
        task::yield_now,
        time::{Duration, Instant, sleep_until},
    },
};

/// Unit of transmission in tokens of KV cache; transfers share a link by taking turns with parts of
/// this size.
pub(super) const PART_TOKENS: u32 = 64;

/// Simulated link of limited rate, shared by all transfers of one engine in one direction.
#[derive(Debug)]
pub(super) struct Link {
    /// Time to transmit one token of KV cache.
    token_time: Duration,
    /// Time at which all reserved transmissions have ended.
    free_at: Mutex<Instant>,
}

impl Link {
    pub(super) fn new(token_time: Duration) -> Self {
        Self {
            token_time,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the link has transmitted `tokens` more.
    pub(super) async fn transmit(&self, tokens: u32) {
        let end = self.reserve(tokens);
        wait_until(end).await;
    }

    /// Reserves the link for `tokens` and returns the time at which they are transmitted.
    fn reserve(&self, tokens: u32) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = Instant::now().max(*free_at) + self.token_time * tokens;
        *free_at
    }
}

/// Sleeps until `due`. If that is past it only yields, as a sleep would last until the next tick of
/// the timer.
pub(super) async fn wait_until(due: Instant) {
    if due <= Instant::now() {
        yield_now().await;
    } else {
        sleep_until(due).await;
    }
}
