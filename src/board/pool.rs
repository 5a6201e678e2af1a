use crate::key::EndpointKey;

/// A pool of endpoints with one role.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Name used in the sheet.
    pub name: String,
    /// Members, ordered by name.
    pub members: Vec<EndpointKey>,
}
