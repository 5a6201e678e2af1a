use {
    super::Fault,
    serde::{Deserialize, Serialize},
};

/// Body of the control call of the fake engine; fields that are left out change nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Whether all faults are removed before `faults` are added.
    pub clear: bool,
    /// Faults to add.
    pub faults: Vec<Fault>,
    /// Sets whether the engine drains: it refuses new attempts and reports `leaving`.
    pub leaving: Option<bool>,
    /// Whether the engine dies at once.
    pub die: bool,
}

/// Record of the fake engine since its start, over all incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineObserved {
    /// Current incarnation.
    pub incarnation: u64,
    /// Memory in use now, in pieces.
    pub used: u32,
    /// Identities of the attempts that hold memory now, sorted.
    pub held: Vec<String>,
    /// Totals over all attempts.
    pub totals: EngineTotals,
    /// Attempts, ended ones first; only the last 200,000 ended ones are kept.
    pub runs: Vec<RunObserved>,
}

/// Totals over all attempts at a fake engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTotals {
    /// Number of attempts admitted.
    pub runs: u64,
    /// Number of attempts refused.
    pub refused: u64,
    /// Number of cancel calls that took effect.
    pub cancels: u64,
    /// Number of deaths.
    pub deaths: u64,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Prompt tokens computed, here or at the engine imported from, and never used for decode.
    pub wasted: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens sent, including those that resumed streams send again.
    pub sent: u64,
}

/// Record of one attempt at the fake engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunObserved {
    /// Attempt identity in its text form.
    pub attempt: String,
    /// Whether it was a prefill for export.
    pub prefill: bool,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached: u32,
    /// Prompt tokens computed here.
    pub computed: u32,
    /// Prompt tokens computed elsewhere and imported.
    pub imported: u32,
    /// Tokens generated.
    pub generated: u32,
    /// Memory allocated, in pieces.
    pub pieces: u32,
    /// Time of admission in milliseconds since the start of the fake engine.
    pub start_ms: u64,
    /// Time of the end in milliseconds since the start of the fake engine; `None` while it runs.
    pub end_ms: Option<u64>,
    /// How it ended: a finish reason, `cancelled`, `exported`, `evicted`, `cache-gone` or `died`.
    /// `None` while it runs.
    pub end: Option<String>,
}
