use crate::{
    control::SuspectHandle,
    port::{Claimer, Clock, Engine, GrantQueue, Peer, Service},
};

/// The implementations of the ports that the request path uses.
///
/// One associated type per port avoids dynamic dispatch and long lists of generic parameters.
pub trait Parts: Clone + Send + Sync + 'static {
    /// Source of monotonic and wall-clock time.
    type Clock: Clock;
    /// Client of the model engines.
    type Engine: Engine;
    /// Client of the plain services.
    type Service: Service;
    /// Queues of the endpoints that this host owns.
    type Queue: GrantQueue;
    /// Client of the other daemons.
    type Peer: Peer;
    /// Claims on idempotency keys of at-most-once requests.
    type Claimer: Claimer;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the client of the model engines.
    fn engine(&self) -> &Self::Engine;

    /// Returns the client of the plain services.
    fn service(&self) -> &Self::Service;

    /// Returns the queues of this host.
    fn queue(&self) -> &Self::Queue;

    /// Returns the client of the other daemons.
    fn peer(&self) -> &Self::Peer;

    /// Returns the claims on idempotency keys.
    fn claimer(&self) -> &Self::Claimer;

    /// Returns the handle that crashes are reported to.
    fn suspicions(&self) -> &SuspectHandle;
}
