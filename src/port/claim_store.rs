use {
    super::{ClaimEnd, ClaimKey, PlatformError},
    crate::key::AttemptId,
    serde::{Deserialize, Serialize},
};

/// Store of the claims (idempotency records) of every partition.
///
/// A partition consists of a head, which is replaced by conditional updates, and of archives, which
/// never change. A method fails with the error of the call to the platform, or if a stored object
/// cannot be decoded.
pub trait ClaimStore: Clone + Send + Sync + 'static {
    /// Reads the head and its version; returns version 0 and an empty head if it does not exist.
    fn read_head(
        &self,
        partition: u32,
    ) -> impl Future<Output = Result<(u64, ClaimHead), PlatformError>> + Send;

    /// Replaces the head if its version is still `expected`, and returns the new version.
    ///
    /// Fails with `PlatformError::Conflict` if the version is another one.
    fn write_head(
        &self,
        partition: u32,
        expected: u64,
        head: &ClaimHead,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Reads the records of the archive `id`, oldest first.
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

/// The head of a partition: the part that changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimHead {
    /// Archives with records that have not expired, oldest first.
    pub archives: Vec<ArchiveRef>,
    /// Records that are in no archive, oldest first; a later record of a key replaces an earlier
    /// one.
    pub records: Vec<ClaimRecord>,
}

/// Reference to an archive of a partition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArchiveRef {
    /// Identifier: the version of the head that the archive was made from.
    pub id: u64,
    /// Time of the newest record, in milliseconds since the Unix epoch.
    pub newest_ms: u64,
    /// Approximate size of the records in bytes.
    pub bytes: u64,
}

/// State of one claim (idempotency record).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Branch, request kind and idempotency key.
    pub key: ClaimKey,
    /// Hash of the request's body; `None` if the committer does not know it.
    pub body_hash: Option<u64>,
    /// Attempt that took the claim.
    pub attempt: AttemptId,
    /// How the request ended; `None` while it is running.
    pub end: Option<ClaimEnd>,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
