use {
    crate::port::{Peer, PeerCall, PeerError, PeerHandler, PeerReply},
    std::{
        collections::HashMap,
        fmt::{self, Debug, Formatter},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::task::JoinSet,
};

/// Peer calls between daemons of one process, without a network.
///
/// Clones share the same handlers.
pub struct PeerNetwork<H> {
    handlers: Arc<Mutex<HashMap<String, H>>>,
}

impl<H> Clone for PeerNetwork<H> {
    fn clone(&self) -> Self {
        Self {
            handlers: Arc::clone(&self.handlers),
        }
    }
}

impl<H> Debug for PeerNetwork<H> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerNetwork").finish_non_exhaustive()
    }
}

impl<H> Default for PeerNetwork<H> {
    fn default() -> Self {
        Self {
            handlers: Arc::default(),
        }
    }
}

impl<H> PeerNetwork<H> {
    /// Registers `handler` for calls to `address`, in place of an earlier one.
    pub fn join(&self, address: &str, handler: H) {
        self.lock().insert(String::from(address), handler);
    }

    /// Removes the handler of `address`; later calls to it fail as not sent.
    pub fn leave(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, H>> {
        self.handlers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<H> Peer for PeerNetwork<H>
where
    H: PeerHandler,
{
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        let handler = self.lock().get(address).cloned();
        let Some(handler) = handler else {
            return Err(PeerError::Unsent(String::from(
                "no handler is registered for the address",
            )));
        };
        // Runs in a task of its own, which is aborted when the call is dropped.
        let mut task = JoinSet::new();
        task.spawn(async move { handler.handle(call).await });
        match task.join_next().await {
            Some(Ok(reply)) => Ok(reply),
            _ => Err(PeerError::Lost(String::from(
                "the handler of the call panicked",
            ))),
        }
    }
}
