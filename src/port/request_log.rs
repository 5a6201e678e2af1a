use {
    crate::key::RequestId,
    log::{Level, log},
};

/// Key-values of a log line about a request; keys of callers are not among them.
#[derive(Clone, Copy, Debug)]
pub struct RequestLog<'a> {
    /// Request.
    pub request: RequestId,
    /// Branch.
    pub branch: &'a str,
    /// Kind.
    pub kind: &'a str,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// Name of the endpoint, empty before one is chosen.
    pub endpoint: &'a str,
}

impl RequestLog<'_> {
    /// Writes a line.
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
