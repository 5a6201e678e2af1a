use crate::port::{Clock, Placer, QuotaGate, Upstream};

/// The implementations of the ports that forwarded requests use.
pub trait ForwardParts: Clone + Send + Sync + 'static {
    /// Source of monotonic time.
    type Clock: Clock;
    /// Client of the endpoints.
    type Upstream: Upstream;
    /// Assigns endpoints to streams.
    type Placer: Placer;
    /// Admits requests within the quotas of organisations.
    type Quotas: QuotaGate;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the client of the endpoints.
    fn upstream(&self) -> &Self::Upstream;

    /// Returns the placer, which assigns endpoints to streams.
    fn placer(&self) -> &Self::Placer;

    /// Returns the gate that admits requests within the quotas of organisations.
    fn quotas(&self) -> &Self::Quotas;
}
