use {
    crate::{
        key::{AttemptId, EndpointKey},
        port::{CacheEvents, Denial, Grant, GrantAsk, GrantRelease, LoadReport},
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
    /// An owned endpoint has reported its load.
    Load {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Report.
        report: LoadReport,
    },
    /// An owned endpoint could not be asked for its load.
    Silent(EndpointKey),
    /// An owned endpoint has told changes of its prefix cache.
    Cache {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Events without a gap.
        events: CacheEvents,
    },
    /// Denies all asks and reports when no orphan is left.
    Drain(Sender<()>),
    /// Ends the controller.
    Stop,
}
