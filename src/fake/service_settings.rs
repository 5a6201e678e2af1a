use {
    super::Fault,
    bon::Builder,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of the fake service; all times are multiplied by `scale`.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on, `ip:port`.
    #[builder(default = "127.0.0.1:0")]
    pub address: String,
    /// Duration of a call in milliseconds.
    #[builder(default = 5)]
    pub latency_ms: u64,
    /// Time that the listener stays closed after a death, in milliseconds.
    #[builder(default = 500)]
    pub down_ms: u64,
    /// Factor on all times, below 1 to run faster.
    #[builder(default = 1.0)]
    pub scale: f64,
    /// Seed of all random draws.
    #[builder(default)]
    pub seed: u64,
    /// Faults in force from the start: `refuse`, `lose-answer`, `die` or `slow`.
    #[builder(default)]
    pub faults: Vec<Fault>,
}

/// Body of the control call of the fake service; fields that are left out change nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Whether all faults are removed before `faults` are added.
    pub clear: bool,
    /// Faults to add.
    pub faults: Vec<Fault>,
}

/// Record of the fake service since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceObserved {
    /// Number of calls that ran without an idempotency key.
    pub keyless: u64,
    /// Number of calls refused before they ran.
    pub refused: u64,
    /// Number of deaths.
    pub deaths: u64,
    /// Calls that ran, by idempotency key.
    pub runs: BTreeMap<String, Vec<ServiceRun>>,
}

/// Record of one call that ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRun {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body as text.
    pub body: String,
}

impl ServiceSettings {
    /// Returns `ms` milliseconds, scaled.
    pub(super) fn scaled_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).mul_f64(self.scale.max(0.0))
    }
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
