use {
    super::{ClaimEnd, ClaimKey, PlatformError},
    crate::key::AttemptId,
    serde::{Deserialize, Serialize},
};

/// Objects that hold the claims of one partition: a head that is replaced by conditional updates,
/// and archives that are never changed.
pub trait ClaimStore: Clone + Send + Sync + 'static {
    /// Reads the head with its version; version 0 and an empty head if it does not exist.
    fn read_head(
        &self,
        partition: u32,
    ) -> impl Future<Output = Result<(u64, ClaimHead), PlatformError>> + Send;

    /// Replaces the head if its version is still `expected`; returns the new version.
    fn write_head(
        &self,
        partition: u32,
        expected: u64,
        head: &ClaimHead,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Reads the archive `id`.
    fn read_archive(
        &self,
        partition: u32,
        id: u64,
    ) -> impl Future<Output = Result<Vec<ClaimRecord>, PlatformError>> + Send;

    /// Creates the archive `id`, or does nothing if it exists.
    fn write_archive(
        &self,
        partition: u32,
        id: u64,
        records: &[ClaimRecord],
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// The changing part of a partition.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimHead {
    /// Archives with records that still count, oldest first.
    pub archives: Vec<ArchiveMark>,
    /// Records since the last archive, oldest first; a later one replaces an earlier one.
    pub records: Vec<ClaimRecord>,
}

/// An archive of a partition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArchiveMark {
    /// Version of the head that the archive was made from.
    pub id: u64,
    /// Time of the newest record in milliseconds since the Unix epoch.
    pub newest: u64,
    /// Approximate size in bytes.
    pub bytes: u64,
}

/// State of one claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Branch, kind and idempotency key.
    pub key: ClaimKey,
    /// Hash of the request's body; `None` if it never became known.
    pub body: Option<u64>,
    /// Attempt that the record speaks of.
    pub attempt: AttemptId,
    /// How the request ended; `None` while it runs.
    pub end: Option<ClaimEnd>,
    /// Time of the change in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
