use crate::{
    control::Suspicions,
    port::{Claimer, Clock, Engine, Line, Peer, Service},
};

/// The implementations that the path of a request works with.
///
/// One associated type a port keeps the path free of dynamic dispatch and of long generic lists.
pub trait Parts: Clone + Send + Sync + 'static {
    /// Clock.
    type Clock: Clock;
    /// Model engines.
    type Engine: Engine;
    /// Plain services.
    type Service: Service;
    /// Lines of this host as an owner.
    type Line: Line;
    /// Other daemons.
    type Peer: Peer;
    /// Claims of at-most-once requests.
    type Claimer: Claimer;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the model engines.
    fn engine(&self) -> &Self::Engine;

    /// Returns the plain services.
    fn service(&self) -> &Self::Service;

    /// Returns the lines of this host.
    fn line(&self) -> &Self::Line;

    /// Returns the other daemons.
    fn peer(&self) -> &Self::Peer;

    /// Returns the claims.
    fn claimer(&self) -> &Self::Claimer;

    /// Returns the handle that crashes are told to.
    fn suspicions(&self) -> &Suspicions;
}
