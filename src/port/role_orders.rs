use {super::UpstreamError, crate::board::Role};

/// Orders to engines about what they do.
pub trait RoleOrders: Clone + Send + Sync + 'static {
    /// Asks an engine for its state.
    fn state(
        &self,
        address: &str,
        endpoint: &str,
    ) -> impl Future<Output = Result<EngineState, UpstreamError>> + Send;

    /// Sends an order; it may be carried out although no answer came.
    fn order(&self, order: RoleOrder) -> impl Future<Output = Result<(), UpstreamError>> + Send;
}

/// State of an engine, some hundred milliseconds ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// What it does.
    pub role: Role,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub orders: u64,
}

/// An order to do something else.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleOrder {
    /// Address of the engine.
    pub address: String,
    /// Name of the engine.
    pub endpoint: String,
    /// What it is to do.
    pub role: Role,
    /// Who orders.
    pub holder: String,
    /// Fencing number of the lease under which the order is given.
    pub fence: u64,
    /// Number of orders that the engine must have accepted, so that a late copy has no effect.
    pub orders: u64,
}
