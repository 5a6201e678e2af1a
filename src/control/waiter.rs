use {
    super::queue_message::CallId,
    crate::{
        board::Tick,
        key::{BranchKey, PoolKey},
        port::{Denial, Grant, GrantRequest},
    },
    tokio::sync::oneshot::Sender,
};

/// A request for a grant that waits in a queue.
#[derive(Debug)]
pub(super) struct Waiter {
    /// What the attempt needs.
    pub(super) request: GrantRequest,
    /// Call that waits for the outcome.
    pub(super) call: CallId,
    /// Where the outcome goes.
    pub(super) reply: Sender<Result<Grant, Denial>>,
    /// Pool that the request names, looked up on arrival.
    pub(super) pool: PoolKey,
    /// Branch of the request in the table of fair shares.
    pub(super) branch: BranchKey,
    /// When the request was queued.
    pub(super) arrived: Tick,
    /// When the first token is due.
    pub(super) due: Tick,
    /// Time from which on the request may no longer start; it is denied then.
    pub(super) expires: Tick,
}
