use {
    crate::{
        board::{Rule, Tick},
        key::{BranchKey, RequestId},
    },
    std::sync::Arc,
};

/// An accepted request, without the part that depends on its kind.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity, unique among all daemons.
    pub id: RequestId,
    /// Branch that sent the request.
    pub branch: BranchKey,
    /// Rule of the sheet in force when the request arrived.
    pub rule: Arc<Rule>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Time of arrival.
    pub arrived: Tick,
    /// Time at which the caller stops waiting.
    pub deadline: Tick,
    /// Hash of branch, kind and body: the same for a request that is sent again.
    pub fingerprint: u64,
}
