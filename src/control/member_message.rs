use {crate::port::Heartbeat, tokio::sync::oneshot};

/// Message to the member controller from another task of the daemon.
#[derive(Debug)]
pub(super) enum MemberMessage {
    /// A heartbeat from another daemon, and the channel for the reply.
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// A planned stop; the channel is completed when the heartbeats that announce it have ended.
    Leave(oneshot::Sender<()>),
}
