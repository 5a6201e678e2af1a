use {
    super::{ForwardParts, ForwardShared},
    crate::{
        board::Tick,
        port::{CacheHandle, Upstream},
    },
    std::time::Duration,
};

/// KV cache of a computed prompt; dropping it unused frees the cache at its endpoint.
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
    /// Takes over the KV cache `handle`, computed just now.
    pub fn new(shared: &ForwardShared<P>, handle: CacheHandle) -> Self {
        Self {
            shared: shared.clone(),
            handle: Some(handle),
            since: shared.now(),
        }
    }

    /// Returns the handle to send with an attempt.
    pub fn handle(&self) -> Option<CacheHandle> {
        self.handle.clone()
    }

    /// Returns the time since the prompt was computed.
    pub fn age(&self) -> Duration {
        self.shared.now() - self.since
    }

    /// Records that a decode endpoint took the KV cache, so that it need not be freed.
    pub fn used(mut self) {
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
            if let Err(e) = shared.parts().upstream().free_cache(handle).await {
                log::debug!(address = address.as_str(); "KV cache not freed; it still takes up memory at the endpoint: {e}");
            }
        });
    }
}
