use {
    crate::port::{Peer, PeerCall, PeerError, PeerReply},
    std::{
        collections::BTreeSet,
        future::pending,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Pairs of addresses that do not reach each other.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    pairs: Arc<Mutex<BTreeSet<(String, String)>>>,
}

impl Cuts {
    /// Stops calls from `from` to `to`; calls the other way still pass.
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().insert((String::from(from), String::from(to)));
    }

    /// Stops calls between each of `some` and each of `others`, both ways.
    pub fn split(&self, some: &[String], others: &[String]) {
        for one in some {
            for other in others {
                self.cut(one, other);
                self.cut(other, one);
            }
        }
    }

    /// Lets all calls pass again.
    pub fn heal(&self) {
        self.lock().clear();
    }

    fn stops(&self, from: &str, to: &str) -> bool {
        let pair = (String::from(from), String::from(to));
        self.lock().contains(&pair)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<(String, String)>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A peer whose calls along a cut pair of addresses never end, as when a switch drops packets.
#[derive(Clone, Debug)]
pub struct FaultyPeer<P> {
    /// Carries the calls that pass.
    pub inner: P,
    /// Address of the caller.
    pub from: String,
    /// Pairs that are cut.
    pub cuts: Cuts,
}

impl<P> Peer for FaultyPeer<P>
where
    P: Peer,
{
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        if self.cuts.stops(&self.from, address) {
            return pending().await;
        }
        let reply = self.inner.call(address, call).await;
        if self.cuts.stops(address, &self.from) {
            return pending().await;
        }
        reply
    }
}
