use crate::port::{Clock, Placer, Upstream};

/// The implementations that forwarded requests work with.
pub trait ForwardParts: Clone + Send + Sync + 'static {
    /// Clock.
    type Clock: Clock;
    /// Endpoints.
    type Upstream: Upstream;
    /// Where streams get their places.
    type Placer: Placer;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the endpoints.
    fn upstream(&self) -> &Self::Upstream;

    /// Returns where streams get their places.
    fn placer(&self) -> &Self::Placer;
}
