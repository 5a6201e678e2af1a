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

/// What the operator listener needs of the daemon.
#[derive(Clone, Debug)]
pub struct Operator<S, P, C> {
    /// What the daemon knows.
    pub board: Blackboard,
    /// The sheet at the platform.
    pub store: SheetStore<S>,
    /// Calls other daemons.
    pub peer: P,
    /// Time limit of a call to another daemon.
    pub peer_time: Duration,
    /// Source of time.
    pub clock: C,
    /// Metrics.
    pub registry: Arc<Registry>,
    /// Cancelled when an operator asks for a planned stop.
    pub drain: CancellationToken,
    /// Key that operators present.
    pub key: Secret,
    /// Limits on what operators may send.
    pub limits: Limits,
}
