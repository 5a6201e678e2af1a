/// A branch that may send requests, as the settings declare it.
#[derive(Clone, Debug)]
pub struct Branch {
    /// Name used in the sheet, logs and metrics.
    pub name: String,
    /// Secret that callers of the branch present.
    pub secret: Secret,
    /// Greatest number of bytes that the branch may have waiting in one daemon.
    pub queue_bytes: u64,
}

/// A shared secret that never appears in a log.
#[derive(Clone)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
