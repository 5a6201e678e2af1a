use {
    crate::{
        key::AttemptId,
        port::{Denial, Grant, GrantAsk, GrantRelease},
    },
    tokio::sync::oneshot::Sender,
};

/// Identity of one call of `Lines::acquire`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Ticket(pub(super) u64);

/// Message to the line controller.
#[derive(Debug)]
pub(super) enum LineMail {
    /// Asks for a place.
    Acquire {
        /// What is asked for.
        ask: GrantAsk,
        /// Identity of the call.
        ticket: Ticket,
        /// Where the outcome goes.
        reply: Sender<Result<Grant, Denial>>,
    },
    /// The call was dropped.
    Abandon(Ticket),
    /// A grant is given back.
    Release(GrantRelease),
    /// The attempt wants nothing any more.
    Withdraw(AttemptId),
    /// Denies all asks and reports when no orphan is left.
    Drain(Sender<()>),
    /// Ends the controller.
    Stop,
}
