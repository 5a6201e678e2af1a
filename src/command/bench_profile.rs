use std::time::Duration;

/// Sizes and habits of one user, as the brief gives them.
#[derive(Clone, Copy, Debug)]
pub(super) struct BenchProfile {
    /// Name in tables.
    pub(super) name: &'static str,
    /// Prefill endpoints.
    pub(super) prefills: u32,
    /// Decode endpoints.
    pub(super) decodes: u32,
    /// Median prompt in tokens.
    pub(super) prompt: f64,
    /// Spread of the prompt's logarithm.
    pub(super) spread: f64,
    /// Mean output in tokens.
    pub(super) output: f64,
    /// Prefixes that prompts share.
    pub(super) groups: u32,
    /// Share of a prompt that such a prefix covers.
    pub(super) shared: f64,
    /// Branches.
    pub(super) branches: u32,
}

/// Catalogues and price changes: ten workers, few templates shared by many prompts.
pub(super) const KOVACSRET: BenchProfile = BenchProfile {
    name: "kovacsret",
    prefills: 3,
    decodes: 7,
    prompt: 2400.0,
    spread: 0.5,
    output: 200.0,
    groups: 12,
    shared: 0.4,
    branches: 20,
};

/// Grooming histories: eight workers, long prompts that few requests share.
pub(super) const TRIN: BenchProfile = BenchProfile {
    name: "trin",
    prefills: 3,
    decodes: 5,
    prompt: 3600.0,
    spread: 0.45,
    output: 130.0,
    groups: 400,
    shared: 0.7,
    branches: 60,
};

/// Entry hosts, each the owner of its part of the endpoints.
pub(super) const HOSTS: u32 = 6;

/// Pieces of a decode endpoint's memory.
pub(super) const PIECES: u32 = 40;

/// Tokens of KV cache in a piece.
pub(super) const PIECE_TOKENS: u32 = 2000;

/// Time to the first token that a request must meet.
pub(super) const FIRST_TOKEN: Duration = Duration::from_millis(920);

/// Mean time between tokens that a request must meet.
pub(super) const PER_TOKEN: Duration = Duration::from_millis(36);

/// Time after which a request is no longer started.
pub(super) const PATIENCE: Duration = Duration::from_secs(20);

/// Constant part of a prefill.
pub(super) const PREFILL_START: Duration = Duration::from_millis(10);

/// Time to compute one prompt token: a median prompt costs as much as some 80 output tokens of a
/// full batch.
pub(super) const PREFILL_TOKEN: Duration = Duration::from_micros(50);

/// Constant part of a decode step.
pub(super) const STEP_START: Duration = Duration::from_millis(18);

/// Part of a decode step for each request of the batch.
pub(super) const STEP_REQUEST: Duration = Duration::from_micros(800);

/// Rate of one prefill endpoint's link in tokens of KV cache a second.
pub(super) const LINK_RATE: f64 = 25_000.0;

/// Time until a computed KV cache is evicted.
pub(super) const EVICTION: Duration = Duration::from_millis(800);

/// Prefixes that a prefill endpoint's cache holds.
pub(super) const CACHED_GROUPS: usize = 8;

impl BenchProfile {
    /// Finds a profile by name.
    pub(super) fn find(name: &str) -> Option<Self> {
        [KOVACSRET, TRIN]
            .into_iter()
            .find(|profile| profile.name == name)
    }
}
