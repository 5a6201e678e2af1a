use std::time::Duration;

/// Limits of the request path.
#[derive(Clone, Debug)]
pub struct PathOptions {
    /// Time without a next token after which an attempt counts as broken.
    pub stall_timeout: Duration,
    /// Limit for a prefill.
    pub prefill_timeout: Duration,
    /// Limit for a decode endpoint to import the KV cache and start its response.
    pub import_timeout: Duration,
    /// Maximum times that a broken stream is resumed at the same endpoint, per attempt.
    pub max_resumes: u32,
    /// Maximum attempts of one request.
    pub max_attempts: u16,
    /// Minimum number of owners asked for a grant at the same time.
    pub min_owners: usize,
    /// Longest uncached part of a prompt, in tokens, that the decode endpoint prefills locally.
    pub local_tokens: u32,
    /// Share of a retry that each request earns, in percent.
    pub retry_percent: u64,
    /// Maximum number of retries saved up for each branch.
    pub retry_reserve: u64,
    /// Longest response body that is recorded with its claim, in bytes.
    pub record_bytes: usize,
}

impl Default for PathOptions {
    fn default() -> Self {
        Self {
            stall_timeout: Duration::from_secs(5),
            prefill_timeout: Duration::from_secs(30),
            import_timeout: Duration::from_secs(5),
            max_resumes: 2,
            max_attempts: 6,
            min_owners: 2,
            local_tokens: 64,
            retry_percent: 20,
            retry_reserve: 20,
            record_bytes: 4_096,
        }
    }
}
