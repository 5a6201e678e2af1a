use {
    crate::{
        board::Tick,
        decide::membership::View,
        port::{Heartbeat, Peer, PeerCall, PeerReply},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::time::Duration,
    tokio::time::timeout,
};

/// A heartbeat to send, with the hosts that probe the target if it does not reply.
#[derive(Debug)]
pub(super) struct OutgoingHeartbeat {
    /// Membership view of the target when the heartbeat was created; `None` for a seed address, whose
    /// host is not known.
    pub(super) view: Option<View>,
    /// Address of the target's peer listener.
    pub(super) address: String,
    /// Heartbeat to send.
    pub(super) heartbeat: Heartbeat,
    /// Addresses of the hosts that probe the target if it does not reply.
    pub(super) helpers: Vec<String>,
    /// Time limit of the heartbeat, and again of the probes.
    pub(super) limit: Duration,
    /// When the heartbeat was created.
    pub(super) started: Tick,
}

/// Outcome of a heartbeat and of the probes that may have followed it.
#[derive(Debug)]
pub(super) struct HeartbeatOutcome {
    /// Membership view of the target when the heartbeat was created; `None` for a seed address.
    pub(super) view: Option<View>,
    /// Address of the target's peer listener.
    pub(super) address: String,
    /// When the heartbeat was created.
    pub(super) started: Tick,
    /// Whether and how the target was reached.
    pub(super) result: HeartbeatResult,
}

/// Whether and how the target of a heartbeat was reached.
#[derive(Debug)]
pub(super) enum HeartbeatResult {
    /// It replied to the heartbeat.
    Reply(Heartbeat),
    /// It did not reply, but a helper reached it.
    Reachable,
    /// Neither this host nor a helper reached it.
    Unreachable,
}

impl OutgoingHeartbeat {
    /// Sends the heartbeat; if no reply arrives within the time limit, has the helpers probe the
    /// target.
    pub(super) async fn send<P>(self, peer: P) -> HeartbeatOutcome
    where
        P: Peer,
    {
        let call = PeerCall::Heartbeat(self.heartbeat);
        let reply = timeout(self.limit, peer.call(&self.address, call)).await;
        let result = match reply {
            Ok(Ok(PeerReply::Heartbeat(reply))) => HeartbeatResult::Reply(reply),
            _ => probe(&peer, &self.address, &self.helpers, self.limit).await,
        };
        HeartbeatOutcome {
            view: self.view,
            address: self.address,
            started: self.started,
            result,
        }
    }
}

/// Has all helpers probe `target` at once and returns on the first success.
async fn probe<P>(peer: &P, target: &str, helpers: &[String], limit: Duration) -> HeartbeatResult
where
    P: Peer,
{
    let probe = |helper: &String| {
        let helper = helper.clone();
        let call = PeerCall::Probe {
            address: String::from(target),
        };
        async move { peer.call(&helper, call).await }
    };
    let mut replies: FuturesUnordered<_> = helpers.iter().map(probe).collect();
    let reached = async {
        while let Some(reply) = replies.next().await {
            if reply == Ok(PeerReply::Done) {
                return HeartbeatResult::Reachable;
            }
        }
        HeartbeatResult::Unreachable
    };
    timeout(limit, reached)
        .await
        .unwrap_or(HeartbeatResult::Unreachable)
}
