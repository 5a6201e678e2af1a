use std::time::Duration;

/// Endpoints and request sizes of one deployment, as its requirements state them.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchProfile {
    /// Name in tables and on the command line.
    pub(super) name: &'static str,
    /// Number of prefill endpoints.
    pub(super) prefills: u32,
    /// Number of decode endpoints.
    pub(super) decodes: u32,
    /// Median length of a prompt in tokens.
    pub(super) prompt: f64,
    /// Standard deviation of the natural logarithm of the prompt's length.
    pub(super) log_deviation: f64,
    /// Mean length of the output in tokens.
    pub(super) output: f64,
    /// Number of different prefixes that prompts start with.
    pub(super) prefixes: u32,
    /// Ratio of the prefix to the length of its prompt.
    pub(super) prefix_share: f64,
    /// Number of branches.
    pub(super) branches: u32,
}

/// Catalogues and price changes: ten workers and few templates that many prompts share.
pub(super) const KOVACSRET: BenchProfile = BenchProfile {
    name: "kovacsret",
    prefills: 3,
    decodes: 7,
    prompt: 2400.0,
    log_deviation: 0.5,
    output: 200.0,
    prefixes: 12,
    prefix_share: 0.4,
    branches: 20,
};

/// Grooming histories: eight workers and long prompts whose prefixes few requests share.
pub(super) const TRIN: BenchProfile = BenchProfile {
    name: "trin",
    prefills: 3,
    decodes: 5,
    prompt: 3600.0,
    log_deviation: 0.45,
    output: 130.0,
    prefixes: 400,
    prefix_share: 0.7,
    branches: 60,
};

/// Number of hosts; each receives requests and owns a part of the endpoints.
pub(super) const HOSTS: u32 = 6;

/// Memory of a decode endpoint in pieces.
pub(super) const PIECES: u32 = 40;

/// Tokens of KV cache that fit in a piece.
pub(super) const PIECE_TOKENS: u32 = 2000;

/// Target for the time to the first token.
pub(super) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(920);

/// Target for the mean time between tokens.
pub(super) const PER_TOKEN_TARGET: Duration = Duration::from_millis(36);

/// Time since its arrival after which a request is no longer started.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Constant part of the duration of a prefill.
pub(super) const PREFILL_BASE_TIME: Duration = Duration::from_millis(10);

/// Time to prefill one prompt token. With it, a median prompt takes about as long as 80 output
/// tokens of a full batch.
pub(super) const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(50);

/// Constant part of the duration of a decode step.
pub(super) const STEP_BASE_TIME: Duration = Duration::from_millis(18);

/// Duration that each request of the batch adds to a decode step.
pub(super) const STEP_TIME_PER_REQUEST: Duration = Duration::from_micros(800);

/// Transfer rate of a prefill endpoint's link in tokens of KV cache per second.
pub(super) const LINK_TOKENS_PER_S: f64 = 25_000.0;

/// Time after which a KV cache whose handover has not begun is evicted.
pub(super) const EVICTION_DELAY: Duration = Duration::from_millis(800);

/// Number of prefixes that the cache of an endpoint holds.
pub(super) const MAX_CACHED_PREFIXES: usize = 8;

impl BenchProfile {
    /// Returns the profile of that name; `None` if there is none.
    pub(super) fn find(name: &str) -> Option<Self> {
        [KOVACSRET, TRIN]
            .into_iter()
            .find(|profile| profile.name == name)
    }
}
