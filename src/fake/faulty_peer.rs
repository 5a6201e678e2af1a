use {
    crate::port::{Peer, PeerCall, PeerError, PeerReply},
    std::{
        collections::BTreeSet,
        future::pending,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Pairs of addresses whose calls are blocked; clones share the same pairs.
#[derive(Clone, Debug, Default)]
pub struct NetworkPartition {
    pairs: Arc<Mutex<BTreeSet<(String, String)>>>,
}

impl NetworkPartition {
    /// Blocks calls from `from` to `to`; calls the other way still pass.
    pub fn block(&self, from: &str, to: &str) {
        self.lock().insert((String::from(from), String::from(to)));
    }

    /// Blocks calls between each of `group` and each of `others`, in both directions.
    pub fn split(&self, group: &[String], others: &[String]) {
        for address in group {
            for other in others {
                self.block(address, other);
                self.block(other, address);
            }
        }
    }

    /// Unblocks all calls. Calls that were already blocked stay pending.
    pub fn heal(&self) {
        self.lock().clear();
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        let pair = (String::from(from), String::from(to));
        self.lock().contains(&pair)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Peer client whose calls between blocked addresses never complete, as if packets were dropped.
#[derive(Clone, Debug)]
pub struct FaultyPeer<P> {
    /// Client that makes the calls that are not blocked.
    pub inner: P,
    /// Address of the daemon that makes the calls.
    pub from: String,
    /// Blocked pairs of addresses.
    pub partition: NetworkPartition,
}

impl<P> Peer for FaultyPeer<P>
where
    P: Peer,
{
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        if self.partition.is_blocked(&self.from, address) {
            return pending().await;
        }
        let reply = self.inner.call(address, call).await;
        if self.partition.is_blocked(address, &self.from) {
            return pending().await;
        }
        reply
    }
}
