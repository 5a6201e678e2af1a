use {
    super::member_message::MemberMessage,
    crate::port::{Heartbeat, Peer, PeerCall, PeerReply},
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Handle to the member controller; responds to the membership calls of other daemons.
#[derive(Clone, Debug)]
pub struct MemberHandle<P> {
    pub(super) inbox: mpsc::Sender<MemberMessage>,
    pub(super) peer: P,
    /// Heartbeat that is sent as a probe; it names this host alone.
    pub(super) own: Heartbeat,
    /// Time limit of a probe.
    pub(super) limit: Duration,
}

impl<P> MemberHandle<P>
where
    P: Peer,
{
    /// Passes on a received heartbeat and returns the reply; an empty reply means that this daemon is
    /// stopping.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let (reply, response) = oneshot::channel();
        let message = MemberMessage::Heartbeat(heartbeat, reply);
        if self.inbox.send(message).await.is_err() {
            return Heartbeat::default();
        }
        response.await.unwrap_or_default()
    }

    /// Probes the host at `address` on behalf of another daemon.
    ///
    /// Returns `Done` if it replied to a heartbeat within the time limit, otherwise `Failed` with the
    /// reason.
    pub async fn probe(&self, address: &str) -> PeerReply {
        let call = PeerCall::Heartbeat(self.own.clone());
        match timeout(self.limit, self.peer.call(address, call)).await {
            Ok(Ok(PeerReply::Heartbeat(_))) => PeerReply::Done,
            Ok(Ok(other)) => PeerReply::Failed(format!("unexpected reply {other:?}")),
            Ok(Err(e)) => PeerReply::Failed(e.to_string()),
            Err(_) => PeerReply::Failed(String::from("no reply within the time limit")),
        }
    }

    /// Announces a planned stop and returns when the heartbeats with the announcement have ended.
    pub async fn leave(&self) {
        let (reply, response) = oneshot::channel();
        if self.inbox.send(MemberMessage::Leave(reply)).await.is_ok() {
            let _ = response.await;
        }
    }
}
