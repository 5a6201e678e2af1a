use {
    super::ControlPlane,
    crate::{
        board::Blackboard,
        border::PeerClient,
        control::{ClaimCommitters, MemberHandle, QueueHandle, SheetHandle},
        decide::status_of,
        port::{Claimer, GrantQueue, MonoClock, PeerCall, PeerHandler, PeerReply},
    },
};

/// Handles calls of other daemons by passing each to the controller that is responsible for it.
#[derive(Clone, Debug)]
pub struct Dispatch {
    queue: QueueHandle,
    members: MemberHandle<PeerClient>,
    sheet: SheetHandle,
    claims: ClaimCommitters<MonoClock>,
    board: Blackboard,
}

impl Dispatch {
    /// Clones the handles of `control`; status calls read `board`.
    pub fn new(control: &ControlPlane, board: Blackboard) -> Self {
        Self {
            queue: control.queue.clone(),
            members: control.members.clone(),
            sheet: control.sheet.clone(),
            claims: control.claims.clone(),
            board,
        }
    }
}

impl Dispatch {
    fn status(&self) -> PeerReply {
        match serde_json::to_string(&status_of(&self.board)) {
            Ok(status) => PeerReply::Status(status),
            Err(e) => PeerReply::Failed(e.to_string()),
        }
    }
}

impl PeerHandler for Dispatch {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Heartbeat(heartbeat) => {
                PeerReply::Heartbeat(self.members.heartbeat(heartbeat).await)
            }
            PeerCall::Probe { address } => self.members.probe(&address).await,
            PeerCall::Acquire(request) => match self.queue.acquire(request).await {
                Ok(grant) => PeerReply::Granted(grant),
                Err(denial) => PeerReply::Denied(denial),
            },
            PeerCall::Release(release) => {
                self.queue.release(release);
                PeerReply::Done
            }
            PeerCall::Withdraw(attempt) => {
                self.queue.withdraw(attempt);
                PeerReply::Done
            }
            PeerCall::Sheet { since } => PeerReply::Sheet(self.sheet.changes(since).await),
            PeerCall::Claim(request) => PeerReply::Claim(self.claims.submit(request).await),
            PeerCall::Status => self.status(),
            PeerCall::Place(_)
            | PeerCall::AdoptPlacements(_)
            | PeerCall::EndPlacement(_)
            | PeerCall::EndCall(_)
            | PeerCall::RefuseCauses(_)
            | PeerCall::ReadFeed(_)
            | PeerCall::CompareFeed(_)
            | PeerCall::ReportQuota(_) => PeerReply::Failed(
                "this daemon does not forward by routes and accepts no placement, feed or quota calls"
                    .to_owned(),
            ),
        }
    }
}
