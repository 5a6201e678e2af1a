use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Owned engines that have not loaded what the sheet requires.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Orders {
    /// Progress of the order by name of the endpoint.
    pub open: BTreeMap<String, OrderStatus>,
}

/// An engine that has not loaded what the sheet requires, and the order that makes it do so.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Version by name of the models that it should have loaded.
    pub models: BTreeMap<String, String>,
    /// Names of the adapters that it should have loaded.
    pub adapters: Vec<String>,
    /// Whether an order has been sent and has not ended.
    pub running: bool,
    /// Number of orders that ended without success.
    pub failed: u32,
    /// Why the last order that ended failed; empty if none has ended or if it succeeded.
    pub reason: String,
}
