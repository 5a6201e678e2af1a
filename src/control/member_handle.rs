use {
    super::member_message::MemberMessage,
    crate::port::{Heartbeat, Peer, PeerCall, PeerReply},
    std::time::Duration,
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Answers the membership calls of other daemons.
#[derive(Clone, Debug)]
pub struct MemberHandle<P> {
    pub(super) inbox: mpsc::Sender<MemberMessage>,
    pub(super) peer: P,
    pub(super) own: Heartbeat,
    pub(super) answer: Duration,
}

impl<P> MemberHandle<P>
where
    P: Peer,
{
    /// Answers a heartbeat; an empty one means that this daemon is stopping.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let (reply, answer) = oneshot::channel();
        let message = MemberMessage::Heartbeat(heartbeat, reply);
        if self.inbox.send(message).await.is_err() {
            return Heartbeat::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Probes a third host on behalf of another daemon.
    pub async fn probe(&self, address: &str) -> PeerReply {
        let call = PeerCall::Heartbeat(self.own.clone());
        match timeout(self.answer, self.peer.call(address, call)).await {
            Ok(Ok(PeerReply::Heartbeat(_))) => PeerReply::Done,
            Ok(Ok(other)) => PeerReply::Failed(format!("unexpected reply {other:?}")),
            Ok(Err(e)) => PeerReply::Failed(e.to_string()),
            Err(_) => PeerReply::Failed(String::from("no answer in time")),
        }
    }

    /// Announces a planned stop and returns when the announcement has been sent.
    pub async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if self.inbox.send(MemberMessage::Leave(reply)).await.is_ok() {
            let _ = answer.await;
        }
    }
}
