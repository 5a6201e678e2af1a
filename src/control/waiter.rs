use {
    super::line_mail::Ticket,
    crate::{
        board::Tick,
        key::{BranchKey, PoolKey},
        port::{Denial, Grant, GrantAsk},
    },
    tokio::sync::oneshot::Sender,
};

/// An ask that waits in a line.
#[derive(Debug)]
pub(super) struct Waiter {
    /// What is asked for.
    pub(super) ask: GrantAsk,
    /// Identity of the call.
    pub(super) ticket: Ticket,
    /// Where the outcome goes.
    pub(super) reply: Sender<Result<Grant, Denial>>,
    /// Pool, resolved on arrival.
    pub(super) pool: PoolKey,
    /// Branch in the table of shares.
    pub(super) branch: BranchKey,
    /// When it joined the line.
    pub(super) arrived: Tick,
    /// When the first token is due.
    pub(super) due: Tick,
    /// When the request may no longer start.
    pub(super) expires: Tick,
}
