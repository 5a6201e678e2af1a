use {
    super::Fault,
    serde::{Deserialize, Serialize},
};

/// Body of the engine stand-in's control call; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Removes all faults first.
    pub clear: bool,
    /// Faults to add.
    pub faults: Vec<Fault>,
    /// Announces, or takes back, that the engine leaves.
    pub leaving: Option<bool>,
    /// Dies at once.
    pub die: bool,
}

/// What the engine's stand-in saw since it was started, over all incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineObserved {
    /// Present incarnation.
    pub incarnation: u64,
    /// Pieces held now.
    pub used: u32,
    /// Attempts that hold memory now.
    pub held: Vec<String>,
    /// Sums over all attempts.
    pub totals: EngineTotals,
    /// Attempts, ended ones first; the oldest are forgotten.
    pub runs: Vec<RunObserved>,
}

/// Sums over all attempts of an engine's stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTotals {
    /// Attempts admitted.
    pub runs: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Cancel calls that took effect.
    pub cancels: u64,
    /// Deaths.
    pub deaths: u64,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens computed, here or before an import, and never decoded from.
    pub wasted: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens sent, repeats and resumed ones included.
    pub sent: u64,
}

/// One attempt as the engine's stand-in saw it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunObserved {
    /// Displayed attempt identity.
    pub attempt: String,
    /// Whether it was a prefill for export.
    pub prefill: bool,
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached: u32,
    /// Prompt tokens computed here.
    pub computed: u32,
    /// Prompt tokens computed elsewhere and imported.
    pub imported: u32,
    /// Tokens generated.
    pub generated: u32,
    /// Pieces taken.
    pub pieces: u32,
    /// Time of admission since the stand-in's start, in milliseconds.
    pub start_ms: u64,
    /// Time of the end since the stand-in's start, in milliseconds.
    pub end_ms: Option<u64>,
    /// How it ended: a finish reason, `exported`, `evicted`, `cache-gone` or `died`.
    pub end: Option<String>,
}
