use {
    super::Fault,
    bon::Builder,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of the plain service's stand-in; times are before scaling.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on, `ip:port`.
    #[builder(default = "127.0.0.1:0")]
    pub address: String,
    /// Time that a call takes, in milliseconds.
    #[builder(default = 5)]
    pub latency_ms: u64,
    /// Time that the listener stays closed after a death, in milliseconds.
    #[builder(default = 500)]
    pub down_ms: u64,
    /// Factor on all times, below 1 to run faster.
    #[builder(default = 1.0)]
    pub scale: f64,
    /// Seed of everything drawn at random.
    #[builder(default)]
    pub seed: u64,
    /// Faults from the start: `refuse`, `lose-answer`, `die`, `slow`.
    #[builder(default)]
    pub faults: Vec<Fault>,
}

/// Body of the service stand-in's control call; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Removes all faults first.
    pub clear: bool,
    /// Faults to add.
    pub faults: Vec<Fault>,
}

/// What the service's stand-in saw since it was started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceObserved {
    /// Calls that ran without an idempotency key.
    pub keyless: u64,
    /// Calls refused before they ran.
    pub refused: u64,
    /// Deaths.
    pub deaths: u64,
    /// Calls that ran, by idempotency key.
    pub runs: BTreeMap<String, Vec<ServiceRun>>,
}

/// One call that ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRun {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body, as text.
    pub body: String,
}

impl ServiceSettings {
    pub(super) fn scaled_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).mul_f64(self.scale.max(0.0))
    }
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
