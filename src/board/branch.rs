/// A branch that may send requests, as declared in the settings: a part of an operator's business
/// with its own key and rules.
#[derive(Clone, Debug)]
pub struct Branch {
    /// Unique name, used in the sheet, logs and metrics.
    pub name: String,
    /// Secret with which callers of the branch authenticate.
    pub secret: Secret,
    /// Maximum total size, in bytes, of the branch's waiting requests in one daemon.
    pub queue_bytes: u64,
}

/// A shared secret; its `Debug` output leaves the text out, so that it never appears in a log.
#[derive(Clone)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
