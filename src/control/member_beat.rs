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

/// A heartbeat to be sent, with the hosts that probe the target if it stays silent.
#[derive(Debug)]
pub(super) struct Beat {
    /// View of the target when the heartbeat was made; none for an address without a name.
    pub(super) view: Option<View>,
    /// Address of the target.
    pub(super) address: String,
    /// What it is told.
    pub(super) heartbeat: Heartbeat,
    /// Addresses of the hosts that probe it.
    pub(super) helpers: Vec<String>,
    /// Time limit of the heartbeat and again of the probes.
    pub(super) answer: Duration,
    /// When the heartbeat was made.
    pub(super) started: Tick,
}

/// What became of a heartbeat.
#[derive(Debug)]
pub(super) struct Outcome {
    /// View of the target when the heartbeat was made.
    pub(super) view: Option<View>,
    /// Address of the target.
    pub(super) address: String,
    /// When the heartbeat was made.
    pub(super) started: Tick,
    /// How the target answered.
    pub(super) answer: Answer,
}

/// How the target of a heartbeat answered.
#[derive(Debug)]
pub(super) enum Answer {
    /// It replied.
    Reply(Heartbeat),
    /// Another host reached it.
    Vouched,
    /// Nobody reached it.
    Silence,
}

impl Beat {
    /// Sends the heartbeat, then has silence checked by the helpers.
    pub(super) async fn send<P>(self, peer: P) -> Outcome
    where
        P: Peer,
    {
        let call = PeerCall::Heartbeat(self.heartbeat);
        let reply = timeout(self.answer, peer.call(&self.address, call)).await;
        let answer = match reply {
            Ok(Ok(PeerReply::Heartbeat(reply))) => Answer::Reply(reply),
            _ => probe(&peer, &self.address, &self.helpers, self.answer).await,
        };
        Outcome {
            view: self.view,
            address: self.address,
            started: self.started,
            answer,
        }
    }
}

/// Asks all helpers at once and takes the first success.
async fn probe<P>(peer: &P, target: &str, helpers: &[String], limit: Duration) -> Answer
where
    P: Peer,
{
    let ask = |helper: &String| {
        let helper = helper.clone();
        let call = PeerCall::Probe {
            address: String::from(target),
        };
        async move { peer.call(&helper, call).await }
    };
    let mut answers: FuturesUnordered<_> = helpers.iter().map(ask).collect();
    let reached = async {
        while let Some(answer) = answers.next().await {
            if answer == Ok(PeerReply::Done) {
                return Answer::Vouched;
            }
        }
        Answer::Silence
    };
    timeout(limit, reached).await.unwrap_or(Answer::Silence)
}
