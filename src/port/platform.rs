use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// Store of named objects with versions and conditional writes.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; returns `None` if it does not exist.
    fn read(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object and returns its version, or fails with `Conflict` if it exists.
    fn create(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Replaces an object if its version is still `expected`, and returns the new version.
    ///
    /// Fails with `Conflict` if the version is another one.
    fn update(
        &self,
        name: &str,
        expected: u64,
        body: Bytes,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Returns the time since the store was seen to have come back from an older copy of itself, without
    /// what was written since the copy; `None` if it was not.
    fn restored_ago(&self) -> Option<Duration> {
        None
    }
}

/// The platform's object API and host list.
pub trait Platform: ObjectStore {
    /// Lists the names and versions of the objects whose name begins with `prefix`.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<ObjectName>, PlatformError>> + Send;

    /// Waits up to `wait` until the object `name` has a version greater than `after`.
    ///
    /// Returns `None` if there was no such version in that time.
    fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Reads the list of hosts, which may be out of date.
    fn hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;
}

/// Version and contents of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version; each write increases it.
    pub version: u64,
    /// Contents, at most one megabyte.
    pub body: Bytes,
}

/// Name and version of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectName {
    /// Name of the object.
    pub name: String,
    /// Version of the object; each write increases it.
    pub version: u64,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: String,
    /// `daemon`, or the role of the endpoint: `prefill`, `decode` or `service`.
    pub role: String,
    /// Address, `ip:port`: the peer listener of a daemon, the only listener of an endpoint.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of an endpoint's pool, empty for a daemon.
    pub pool: String,
    /// Whether the host has announced a planned stop; an endpoint is then draining.
    pub leaving: bool,
}

/// The error of a call to the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object already exists, or its version is not the expected one. Nothing was written.
    #[error(
        "object `{name}` is at version {current}, not the expected one; read it again and retry with that version"
    )]
    Conflict {
        /// Name of the object.
        name: String,
        /// Version that the platform has.
        current: u64,
    },
    /// The platform could not be reached or is unable to serve the call. Nothing was written.
    #[error("the platform is unavailable: {0}; nothing was written, retry later")]
    Unavailable(String),
    /// No response arrived after the call was sent: a write may have taken effect.
    #[error(
        "no response from the platform: {0}; read the object to see whether the write took effect"
    )]
    Unknown(String),
    /// The platform rejected the call, and will reject a retry too. Nothing was written.
    #[error("the platform rejected the call: {0}; nothing was written, and a retry will fail too")]
    Rejected(String),
    /// The daemon's own budget of platform calls is used up. The call was not sent.
    #[error("the daemon's budget of platform calls is used up; retry later")]
    Budget,
}
