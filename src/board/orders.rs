use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Owned endpoints that have not loaded what the sheet asks for, by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Orders {
    /// State by name of the endpoint.
    pub open: BTreeMap<String, OrderStatus>,
}

/// An endpoint that has not loaded what the sheet asks for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Version by model that it should have.
    pub models: BTreeMap<String, String>,
    /// Adapters that it should have.
    pub adapters: Vec<String>,
    /// Whether an order is on its way.
    pub running: bool,
    /// Tries that ended without success.
    pub failed: u32,
    /// Why the last try ended, empty before its end.
    pub reason: String,
}
