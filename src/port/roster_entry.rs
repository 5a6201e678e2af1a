use {
    super::Description,
    crate::board::ListedEndpoint,
    serde::{Deserialize, Serialize},
};

/// Entry that an endpoint registers for itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Name, address, zone, pool and role.
    pub listed: ListedEndpoint,
    /// Models, memory and slots.
    pub description: Description,
}
