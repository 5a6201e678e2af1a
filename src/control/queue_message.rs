use {
    crate::{
        key::{AttemptId, EndpointKey},
        port::{CacheEvents, Denial, Grant, GrantRelease, GrantRequest, LoadReport},
    },
    tokio::sync::oneshot::Sender,
};

/// Identity of one call of `QueueHandle::acquire`, unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct CallId(pub(super) u64);

/// Message to the queue controller.
#[derive(Debug)]
pub(super) enum QueueMessage {
    /// Requests a grant.
    Acquire {
        /// What the attempt needs.
        request: GrantRequest,
        /// Identity of the call.
        call: CallId,
        /// Where the outcome goes.
        reply: Sender<Result<Grant, Denial>>,
    },
    /// The future of the call was dropped before its outcome arrived.
    Abandon(CallId),
    /// A grant has ended.
    Release(GrantRelease),
    /// The attempt no longer needs its grants or waiting requests.
    Withdraw(AttemptId),
    /// An owned endpoint has reported its load.
    Load {
        /// Endpoint that reported.
        endpoint: EndpointKey,
        /// Its load report.
        report: LoadReport,
    },
    /// A load request to an owned endpoint has failed.
    LoadError(EndpointKey),
    /// An owned endpoint has reported changes of its prefix cache.
    Cache {
        /// Endpoint that reported.
        endpoint: EndpointKey,
        /// Events that follow the earlier ones without a gap.
        events: CacheEvents,
    },
    /// Denies all waiting and future requests; the sender is notified when every orphan has been
    /// cancelled.
    Drain(Sender<()>),
    /// Ends the controller.
    Stop,
}
