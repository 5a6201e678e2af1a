use std::time::Duration;

/// Settings of the path of a request.
#[derive(Clone, Debug)]
pub struct PathOptions {
    /// Longest time without progress of an attempt before it counts as broken.
    pub stall: Duration,
    /// Longest time that a prefill may take.
    pub prefill_time: Duration,
    /// Longest time until a decode endpoint has imported the KV cache and starts its answer.
    pub import_time: Duration,
    /// Times that a broken stream is resumed at the same endpoint.
    pub resumes: u32,
    /// Attempts of one request at most.
    pub attempts: u16,
    /// Owners asked for a place at the same time, at least.
    pub owners: usize,
    /// Longest uncached part of a prompt that is prefilled where it is decoded, in tokens.
    pub local_tokens: u32,
    /// Retries earned by a request, in hundredths.
    pub retry_percent: u64,
    /// Greatest number of retries saved up for each branch.
    pub retry_reserve: u64,
    /// Longest body of an answer that is recorded with its claim, in bytes.
    pub record_bytes: usize,
}

impl Default for PathOptions {
    fn default() -> Self {
        Self {
            stall: Duration::from_secs(5),
            prefill_time: Duration::from_secs(30),
            import_time: Duration::from_secs(5),
            resumes: 2,
            attempts: 6,
            owners: 2,
            local_tokens: 64,
            retry_percent: 20,
            retry_reserve: 20,
            record_bytes: 4_096,
        }
    }
}
