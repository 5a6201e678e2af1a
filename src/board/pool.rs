use crate::key::EndpointKey;

/// A pool of endpoints with one role.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Unique name, used in the sheet.
    pub name: String,
    /// Endpoints of the pool, ordered by name.
    pub members: Vec<EndpointKey>,
}
