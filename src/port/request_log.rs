use {
    crate::key::RequestId,
    log::{Level, log},
};

/// Key-value pairs of a log line about a request; the secret keys of callers are never logged.
#[derive(Clone, Copy, Debug)]
pub struct RequestLog<'a> {
    /// Identifier of the request.
    pub request: RequestId,
    /// Name of the branch.
    pub branch: &'a str,
    /// Request kind.
    pub kind: &'a str,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Name of the endpoint, empty before one is chosen.
    pub endpoint: &'a str,
}

impl RequestLog<'_> {
    /// Writes a log line with `message` and these key-value pairs.
    pub fn write(&self, level: Level, message: &str) {
        log!(
            level,
            request:% = self.request,
            branch = self.branch,
            kind = self.kind,
            attempt = self.attempt,
            endpoint = self.endpoint;
            "{message}"
        );
    }
}
