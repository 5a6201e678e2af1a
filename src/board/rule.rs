use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One accepted row of the sheet (routing configuration): how requests of one kind from one branch
/// are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rule {
    /// Name of the branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// Pool or pools that serve the requests.
    pub route: Route,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Model name, empty for plain services.
    pub model: String,
    /// Model version, empty for plain services.
    pub version: String,
    /// Name of the adapter to apply, if any.
    pub adapter: Option<String>,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeat: Repeat,
    /// Latency targets.
    pub target: Target,
    /// Other pools that may be used besides `route` within certain hours of the day, if any.
    pub borrow: Option<Borrow>,
}

/// Pool or pools that serve requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Route {
    /// A model with separate prefill and decode pools.
    Model {
        /// Name of the prefill pool.
        prefill: String,
        /// Name of the decode pool.
        decode: String,
    },
    /// A plain service.
    Service {
        /// Name of the pool.
        pool: String,
    },
}

/// Whether an attempt with an unknown outcome may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running the request again has no further effect.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// Latency targets of a rule.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Target time from the arrival of a request to its first token.
    pub first_token: Duration,
    /// Target time between tokens.
    pub per_token: Duration,
}

/// Other pools that a rule may use, besides its own, within certain hours of the day.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Borrow {
    /// Pool or pools that may be used within these hours.
    pub route: Route,
    /// Start of the window in minutes since midnight UTC, inclusive.
    pub from: u16,
    /// End of the window in minutes since midnight UTC, exclusive; smaller than `from` when the
    /// window spans midnight.
    pub until: u16,
}
