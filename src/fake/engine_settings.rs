use {
    super::Fault,
    crate::board::Role,
    bon::Builder,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of the engine's stand-in; times are before scaling.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Prefill or decode.
    #[builder(start_fn)]
    pub role: Role,
    /// Address to listen on, `ip:port`.
    #[builder(default = "127.0.0.1:0")]
    pub address: String,
    /// Models loaded, with their version.
    #[builder(default = BTreeMap::from([("m".into(), "1".into())]))]
    pub models: BTreeMap<String, String>,
    /// Adapters loaded.
    #[builder(default)]
    pub adapters: Vec<String>,
    /// Memory in pieces.
    #[builder(default = 40)]
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    #[builder(default = 2_000)]
    pub piece_tokens: u32,
    /// Attempts in one batch.
    #[builder(default = 32)]
    pub slots: u32,
    /// Time of a step without any attempt, in microseconds.
    #[builder(default = 8_000)]
    pub step_us: u64,
    /// Time that each decoding attempt adds to a step, in microseconds.
    #[builder(default = 400)]
    pub run_us: u64,
    /// Time that a prefill adds to its first step, in microseconds.
    #[builder(default = 10_000)]
    pub prefill_us: u64,
    /// Time that each uncached prompt token adds, in microseconds.
    #[builder(default = 100)]
    pub token_us: u64,
    /// Prompt tokens prefilled in one step.
    #[builder(default = 512)]
    pub chunk_tokens: u32,
    /// Blocks that the prefix cache holds.
    #[builder(default = 4_096)]
    pub cache_blocks: usize,
    /// Time until an exported prefill is evicted, in milliseconds.
    #[builder(default = 800)]
    pub expiry_ms: u64,
    /// Time for which an ended attempt can be resumed, in milliseconds.
    #[builder(default = 5_000)]
    pub resume_ms: u64,
    /// Tokens of KV cache that the link carries in a millisecond, shared by all transfers.
    #[builder(default = 100)]
    pub link_tokens: u32,
    /// Interval of load reports in milliseconds; 0 reports the present.
    #[builder(default = 100)]
    pub load_ms: u64,
    /// Delay of cache events in milliseconds.
    #[builder(default = 50)]
    pub event_ms: u64,
    /// Share of cache events that are never published, from 0 to 1.
    #[builder(default)]
    pub event_gaps: f64,
    /// Whether orders with an old fencing number are refused.
    #[builder(default = true)]
    pub fenced: bool,
    /// Time that the listener stays closed after a death, in milliseconds.
    #[builder(default = 500)]
    pub down_ms: u64,
    /// Word in a prompt that kills the engine; none if empty.
    #[builder(default)]
    pub poison: String,
    /// Factor on all times, below 1 to run faster.
    #[builder(default = 1.0)]
    pub scale: f64,
    /// Seed of everything drawn at random.
    #[builder(default)]
    pub seed: u64,
    /// Faults from the start.
    #[builder(default)]
    pub faults: Vec<Fault>,
}

impl EngineSettings {
    pub(super) fn scaled_us(&self, us: u64) -> Duration {
        Duration::from_micros(us).mul_f64(self.scale.max(0.0))
    }

    pub(super) fn scaled_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).mul_f64(self.scale.max(0.0))
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder(Role::Decode).build()
    }
}
