use crate::port::{Clock, Upstream};

/// The implementations that forwarded requests work with.
pub trait ForwardParts: Clone + Send + Sync + 'static {
    /// Clock.
    type Clock: Clock;
    /// Endpoints.
    type Upstream: Upstream;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the endpoints.
    fn upstream(&self) -> &Self::Upstream;
}
