use {
    super::Limits,
    crate::{
        board::{Blackboard, Secret},
        control::SheetStore,
    },
    prometheus_client::registry::Registry,
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// State that the handlers of the operator listener share.
#[derive(Clone, Debug)]
pub struct OperatorContext<S, P, C> {
    /// Blackboard of the daemon.
    pub board: Blackboard,
    /// Store of the sheet at the platform.
    pub store: SheetStore<S>,
    /// Client of other daemons.
    pub peer: P,
    /// Time-out of a call to another daemon.
    pub peer_time: Duration,
    /// Source of time.
    pub clock: C,
    /// Registry whose metrics `GET /metrics` returns.
    pub registry: Arc<Registry>,
    /// Cancelled when an operator requests a planned stop.
    pub drain: CancellationToken,
    /// Key that operators present as a bearer token.
    pub key: Secret,
    /// Limits on what operators may send.
    pub limits: Limits,
}
