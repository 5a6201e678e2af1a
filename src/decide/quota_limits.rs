use {
    crate::{
        board::{Quota, QuotaUnit},
        key::name_hash,
    },
    std::time::Duration,
};

/// Window within which the cost of an organisation's requests is bounded.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);

/// Number of shards into which organisations are divided, each with an accountant of its own.
pub const QUOTA_SHARDS: u8 = 4;

/// Part of the burst that may be stored. The bound allows 1.1; the rest is for what is in transit when a
/// daemon joins or an accountant changes, as with the two constants below.
const STORED_BURST: f64 = 1.05;

/// Seconds of the rate that may be stored; the bound allows 0.8.
const STORED_SECONDS: f64 = 0.4;

/// Tokens that may be stored beyond that; the bound allows 120,000.
const STORED_TOKENS: f64 = 60_000.0;

/// Greatest rate and burst that are told apart; greater ones are no limit in practice.
const MAX_AMOUNT: u64 = 1_000_000_000_000;

/// What a quota allows all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Cost per second.
    pub rate: f64,
    /// Greatest amount of credit that may be stored, at all daemons together.
    pub ceiling: f64,
}

impl QuotaLimits {
    /// Returns the limits of `quota`.
    pub fn new(quota: &Quota) -> Self {
        let rate = quota.rate.min(MAX_AMOUNT) as f64;
        let burst = quota.burst.min(MAX_AMOUNT) as f64;
        let slack = match quota.unit {
            QuotaUnit::Requests => 0.0,
            QuotaUnit::Tokens { .. } => STORED_TOKENS,
        };
        Self {
            rate,
            ceiling: burst * STORED_BURST + rate * STORED_SECONDS + slack,
        }
    }
}

/// Returns the shard of the organisation with the hash `organisation`.
pub fn quota_shard(organisation: u64) -> u8 {
    (organisation % u64::from(QUOTA_SHARDS)) as u8
}

/// Returns the name by which the daemons are ranked as accountants of `shard`.
pub fn quota_shard_name(shard: u8) -> String {
    format!("quota-{shard}")
}

/// Returns the number by which messages name an organisation.
pub fn quota_number(organisation: &str) -> u64 {
    name_hash(organisation)
}
