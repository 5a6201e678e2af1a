use std::time::Duration;

/// Bounds of orders to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// Engines of one availability zone that may load at once; 0 sends no orders.
    pub loads: u32,
    /// Time limit of one order.
    pub limit: Duration,
    /// Term of a lease, longer than `limit`.
    pub term: Duration,
    /// Time between two tries at one endpoint.
    pub retry: Duration,
}
