use {crate::board::Tick, std::sync::Arc, tokio::sync::watch};

/// What the feeds of a daemon know together about its own path to the store; clones share it.
///
/// An answer to one feed proves the path whole for all of them. A failure of one says something about
/// the others only if its call began so long after that answer that it cannot have been lost on a
/// connection from before.
#[derive(Clone, Debug)]
pub struct StorePath {
    /// First answer of the store that no later failure contradicts; `None` if there is none.
    whole: Arc<watch::Sender<Option<Tick>>>,
}

impl Default for StorePath {
    fn default() -> Self {
        Self {
            whole: Arc::new(watch::channel(None).0),
        }
    }
}

impl StorePath {
    /// Records that the store itself answered a call at `now`.
    pub(super) fn answered(&self, now: Tick) {
        self.whole.send_if_modified(|whole| {
            let restored = whole.is_none();
            whole.get_or_insert(now);
            restored
        });
    }

    /// Records that the store itself is known not to have answered at `failed`.
    pub(super) fn failed(&self, failed: Tick) {
        self.whole.send_if_modified(|whole| {
            *whole = whole.filter(|since| *since > failed);
            false
        });
    }

    /// Returns since when the path is known to be whole; `None` if it is not.
    pub(super) fn whole_since(&self) -> Option<Tick> {
        *self.whole.borrow()
    }

    /// Waits until the path is known to have become whole after `tick`.
    pub(super) async fn restored_after(&self, tick: Tick) {
        let mut whole = self.whole.subscribe();
        // The sender is kept by `self`, so this ends with the condition only.
        let _ = whole
            .wait_for(|since| since.is_some_and(|since| since > tick))
            .await;
    }
}
