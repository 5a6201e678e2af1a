use {
    crate::{
        board::{Rule, Tick},
        key::{BranchKey, RequestId},
    },
    std::sync::Arc,
};

/// What every request has in common once it is accepted.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity.
    pub id: RequestId,
    /// Branch.
    pub branch: BranchKey,
    /// Rule of the sheet that was in force when the request arrived.
    pub rule: Arc<Rule>,
    /// Idempotency key sent by the caller.
    pub key: Option<String>,
    /// When the request arrived.
    pub arrived: Tick,
    /// When the caller stops waiting.
    pub deadline: Tick,
    /// Fingerprint of branch, kind and body.
    pub print: u64,
}
