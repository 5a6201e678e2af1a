use {
    super::Fault,
    crate::board::Role,
    bon::Builder,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of the fake engine; all times are multiplied by `scale`.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Role of the engine, prefill or decode.
    #[builder(start_fn)]
    pub role: Role,
    /// Address to listen on, `ip:port`.
    #[builder(default = "127.0.0.1:0")]
    pub address: String,
    /// Names of the loaded models, each with its version.
    #[builder(default = BTreeMap::from([("m".into(), "1".into())]))]
    pub models: BTreeMap<String, String>,
    /// Names of the loaded adapters.
    #[builder(default)]
    pub adapters: Vec<String>,
    /// Size of the memory for KV caches, in pieces.
    #[builder(default = 40)]
    pub pieces: u32,
    /// Tokens of KV cache that one piece holds.
    #[builder(default = 2_000)]
    pub piece_tokens: u32,
    /// Maximum number of attempts in one batch.
    #[builder(default = 32)]
    pub slots: u32,
    /// Base duration of a step, in microseconds.
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
    /// Maximum number of prompt tokens prefilled in one step.
    #[builder(default = 512)]
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    #[builder(default = 4_096)]
    pub cache_blocks: usize,
    /// Time until an exported KV cache that was not fetched is evicted, in milliseconds.
    #[builder(default = 800)]
    pub expiry_ms: u64,
    /// Time for which an ended attempt can be resumed, in milliseconds.
    #[builder(default = 5_000)]
    pub resume_ms: u64,
    /// Rate of the link in tokens of KV cache per millisecond, shared by all transfers in one
    /// direction.
    #[builder(default = 100)]
    pub link_tokens: u32,
    /// Interval of load reports in milliseconds; 0 computes the load at each call.
    #[builder(default = 100)]
    pub load_ms: u64,
    /// Delay until a cache event is published, in milliseconds.
    #[builder(default = 50)]
    pub event_ms: u64,
    /// Share of cache events that are never published, from 0 to 1.
    #[builder(default)]
    pub event_gaps: f64,
    /// Whether orders with a fencing number below the last one are refused.
    #[builder(default = true)]
    pub fenced: bool,
    /// Time that the listener stays closed after a death, in milliseconds.
    #[builder(default = 500)]
    pub down_ms: u64,
    /// Text in a prompt that kills the engine; none if empty.
    #[builder(default)]
    pub poison: String,
    /// Factor on all times, below 1 to run faster.
    #[builder(default = 1.0)]
    pub scale: f64,
    /// Seed of all random draws.
    #[builder(default)]
    pub seed: u64,
    /// Faults in force from the start.
    #[builder(default)]
    pub faults: Vec<Fault>,
}

impl EngineSettings {
    /// Returns `us` microseconds, scaled.
    pub(super) fn scaled_us(&self, us: u64) -> Duration {
        Duration::from_micros(us).mul_f64(self.scale.max(0.0))
    }

    /// Returns `ms` milliseconds, scaled.
    pub(super) fn scaled_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).mul_f64(self.scale.max(0.0))
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder(Role::Decode).build()
    }
}
