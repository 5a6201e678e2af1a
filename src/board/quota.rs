use {
    crate::port::TokenCounts,
    serde::{Deserialize, Serialize},
};

/// Limit on what the requests of one organisation cost, across all daemons together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// Cost per second.
    pub rate: u64,
    /// Cost beyond the rate that may be used at once.
    pub burst: u64,
    /// Unit of both, which determines the cost of a request.
    pub unit: QuotaUnit,
}

/// Unit in which a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs the tokens of its prompt and its maximum output.
    Tokens {
        /// Cost of a request that states no tokens.
        plain: u64,
    },
}

impl Quota {
    /// Returns the cost of a request that states `counts`.
    pub fn cost(&self, counts: Option<TokenCounts>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => counts.map_or(plain, |counts| {
                counts.prompt.saturating_add(counts.max_output)
            }),
        }
    }
}
