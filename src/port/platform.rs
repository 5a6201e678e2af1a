use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// Objects with versions and conditional writes.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn read(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object, or fails with `Conflict` if it exists.
    fn create(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Replaces an object if its version is still `expected`; returns the new version.
    fn update(
        &self,
        name: &str,
        expected: u64,
        body: Bytes,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;
}

/// The platform's object API and host list.
pub trait Platform: ObjectStore {
    /// Lists names and versions below `prefix`.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<ObjectName>, PlatformError>> + Send;

    /// Waits up to `wait` until the object `name` has a version greater than `after`.
    ///
    /// Returns `None` when the time passed without a change.
    fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Reads the lagging list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;
}

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version, greater after each write.
    pub version: u64,
    /// Contents, at most one megabyte.
    pub body: Bytes,
}

/// Name and version of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectName {
    /// Name.
    pub name: String,
    /// Version.
    pub version: u64,
}

/// One host of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: String,
    /// Daemon, or the role of the endpoint: `daemon`, `prefill`, `decode`, `service`.
    pub role: String,
    /// Address, `ip:port`: the peer listener of a daemon, the only listener of an endpoint.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Pool of an endpoint, empty for a daemon.
    pub pool: String,
    /// Whether the host has announced that it leaves.
    pub leaving: bool,
}

/// Why a platform call failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object exists, or its version is not the expected one. Nothing was written.
    #[error("`{name}` is at version {current}; read it again and retry from there")]
    Conflict {
        /// Object.
        name: String,
        /// Version at the platform.
        current: u64,
    },
    /// The call provably had no effect.
    #[error("the platform was not reached: {0}; nothing was written, retry later")]
    Unavailable(String),
    /// The answer was lost: a write may have taken effect.
    #[error("the platform's answer was lost: {0}; read the object to learn whether the write took")]
    Unknown(String),
    /// The platform rejected the call for good. Nothing was written.
    #[error("the platform rejected the call: {0}")]
    Rejected(String),
    /// The daemon's own budget of platform calls is spent. The call was not sent.
    #[error("the budget of platform calls is spent; retry later")]
    Budget,
}
