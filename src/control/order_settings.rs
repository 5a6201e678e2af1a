use std::time::Duration;

/// Limits and intervals of orders to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// Number of engines of one availability zone that may load at once; 0 disables orders.
    pub loads: u32,
    /// Time limit of one call that sends an order.
    pub limit: Duration,
    /// Duration of a lease; longer than `limit`.
    pub term: Duration,
    /// Time between two attempts at one endpoint, before jitter.
    pub retry: Duration,
}
