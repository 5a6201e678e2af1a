use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{CacheHandle, Upstream},
    },
    std::time::Duration,
};

/// A computed prompt that waits to be taken. Dropping it frees it at its endpoint.
#[derive(Debug)]
pub struct CacheHold<P>
where
    P: ForwardParts,
{
    shared: ForwardShared<P>,
    handle: Option<CacheHandle>,
    since: Tick,
}

impl<P> CacheHold<P>
where
    P: ForwardParts,
{
    /// Takes charge of `handle`.
    pub fn new(shared: &ForwardShared<P>, handle: CacheHandle) -> Self {
        Self {
            shared: shared.clone(),
            handle: Some(handle),
            since: shared.now(),
        }
    }

    /// The handle, to be sent with an attempt.
    pub fn handle(&self) -> Option<CacheHandle> {
        self.handle.clone()
    }

    /// Time since the prompt was computed.
    pub fn age(&self) -> Duration {
        self.shared.now() - self.since
    }

    /// Notes that the prompt was taken.
    pub fn taken(mut self) {
        self.handle = None;
    }
}

impl<P> Drop for CacheHold<P>
where
    P: ForwardParts,
{
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let shared = self.shared.clone();
        self.shared.spawn(async move {
            let address = handle.address.clone();
            if let Err(e) = shared.parts().upstream().free(handle).await {
                log::debug!(address = address.as_str(); "a KV cache was not freed: {e}");
            }
        });
    }
}
