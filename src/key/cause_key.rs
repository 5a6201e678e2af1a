use {
    super::name_hash,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Bit that tells the key of a complete request from that of a part.
const REQUEST_BIT: u64 = 1 << 63;

/// Identifier of what may crash engines: a request by its fingerprint, or a part of its prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CauseKey(pub u64);

impl CauseKey {
    /// Returns the key of a complete request with the fingerprint `hash`.
    pub fn of_request(hash: u64) -> Self {
        Self(hash | REQUEST_BIT)
    }

    /// Returns the key of the part `name` of a prompt.
    pub fn of_part(name: &str) -> Self {
        Self(name_hash(name) & !REQUEST_BIT)
    }

    /// Returns whether this is the key of a complete request.
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl Display for CauseKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
