use {
    super::Quota,
    serde::{Deserialize, Serialize},
};

/// An organisation whose callers send requests with its access keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Organisation {
    /// Unique name.
    pub name: String,
    /// Priority of its requests, 0 is the most urgent; `None` if that of the route applies.
    pub priority: Option<u8>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}
