use {super::UpstreamError, crate::board::Role};

/// Client of engines that change their role on order.
pub trait RoleOrders: Clone + Send + Sync + 'static {
    /// Reads the state of the engine `endpoint` at `address`.
    fn state(
        &self,
        address: &str,
        endpoint: &str,
    ) -> impl Future<Output = Result<EngineState, UpstreamError>> + Send;

    /// Sends an order; it may be carried out even if no response arrives.
    fn order(&self, order: RoleOrder) -> impl Future<Output = Result<(), UpstreamError>> + Send;
}

/// State of an engine; it may be some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Role of the engine.
    pub role: Role,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted.
    pub accepted_orders: u64,
}

/// Order to an engine to take another role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// Address of the engine, `ip:port`.
    pub address: String,
    /// Name of the engine.
    pub endpoint: String,
    /// Role that the engine is to take.
    pub role: Role,
    /// Name of the lease holder that sends the order.
    pub holder: String,
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before; a late copy of the order
    /// therefore has no effect.
    pub accepted_orders: u64,
}
