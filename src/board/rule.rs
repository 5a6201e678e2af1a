use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One accepted row of the sheet: how requests of one kind of one branch are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rule {
    /// Name of the branch.
    pub branch: String,
    /// Request kind.
    pub kind: String,
    /// Where the requests go.
    pub route: Route,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Model name, empty for services.
    pub model: String,
    /// Model version, empty for services.
    pub version: String,
    /// Adapter to apply.
    pub adapter: Option<String>,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeat: Repeat,
    /// Latency targets.
    pub target: Target,
    /// Capacity borrowed from another pool.
    pub borrow: Option<Borrow>,
}

/// Where requests go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Route {
    /// A model behind separate prefill and decode pools.
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
    /// Repeating has no further effect.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// Latency targets of a rule.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// Use of another pool within hours of the day.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Borrow {
    /// Where borrowed requests go.
    pub route: Route,
    /// First minute of the day, UTC, inclusive.
    pub from: u16,
    /// Last minute of the day, UTC, exclusive; smaller than `from` when the window spans midnight.
    pub until: u16,
}
