use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Revision of a store that may come back from an older copy of itself.
///
/// Each time it does, its era rises by one, and revisions of the lost history are given out again. So
/// revisions of a later era are later whatever their numbers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreRevision {
    /// Number of times that the store has come back from a copy.
    pub era: u64,
    /// Number of the revision, which is unique within the era.
    pub number: u64,
}

impl From<u64> for StoreRevision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of era {}", self.number, self.era)
    }
}
