use {crate::port::Heartbeat, tokio::sync::oneshot};

/// What reaches the member controller from other tasks of the daemon.
#[derive(Debug)]
pub(super) enum MemberMessage {
    /// A heartbeat of another daemon and where its reply goes.
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A planned stop; answered when its announcement has been sent out.
    Leave(oneshot::Sender<()>),
}
