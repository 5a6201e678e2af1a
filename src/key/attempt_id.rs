use {
    super::RequestId,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Identity of one attempt to run a request; every message to an endpoint carries it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u16,
}

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}
