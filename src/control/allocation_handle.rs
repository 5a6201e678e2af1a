use {
    crate::{
        board::{Blackboard, Refusals, Section},
        port::{
            CallEnd, CallVerdict, PeerCall, PeerReply, PlacementEnd, PlacementOutcome,
            PlacementReply, PlacementRequest, PlacerHandover, RefusalUpdate,
        },
    },
    tokio::sync::{mpsc, oneshot},
};

/// Handle with which requests reach the allocation controller.
#[derive(Clone, Debug)]
pub struct AllocationHandle {
    pub(super) board: Blackboard,
    pub(super) mailbox: mpsc::Sender<AllocationMessage>,
    pub(super) refusals: Section<Refusals>,
}

/// Message to the allocation controller.
#[derive(Debug)]
pub(super) enum AllocationMessage {
    /// Requests engines for a stream.
    Place(PlacementRequest, oneshot::Sender<PlacementReply>),
    /// Hands over placements and crashes.
    Adopt(PlacerHandover),
    /// Ends a placement.
    End(PlacementEnd),
    /// Reports the end of a call.
    EndCall(CallEnd, oneshot::Sender<CallVerdict>),
    /// Reports what another daemon refuses.
    Refuse(RefusalUpdate),
}

impl AllocationHandle {
    /// Handles a call from another daemon.
    ///
    /// A daemon that has no endpoints yet places nothing for others, which may have listed theirs: their
    /// requests would wait here until their time is over.
    pub async fn handle_peer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Place(_) if self.board.is_starting() => PeerReply::Placement(unavailable()),
            call => self.handle(call).await,
        }
    }

    /// Handles a call from another daemon or from this one.
    ///
    /// A call that is not about placements is answered with `PeerReply::Failed`.
    pub async fn handle(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Place(request) => PeerReply::Placement(self.place(request).await),
            PeerCall::AdoptPlacements(handover) => {
                self.adopt(handover);
                PeerReply::Done
            }
            PeerCall::EndPlacement(end) => {
                self.end(end);
                PeerReply::Done
            }
            PeerCall::EndCall(end) => match self.end_call(end).await {
                Some(verdict) => PeerReply::CallVerdict(verdict),
                None => PeerReply::Failed("this daemon is overloaded or stopping".to_owned()),
            },
            PeerCall::RefuseCauses(update) => {
                self.refuse(update);
                PeerReply::Done
            }
            _ => {
                PeerReply::Failed("call not supported: this daemon only places requests".to_owned())
            }
        }
    }

    /// Requests engines for a stream; `Unavailable` if the controller is overloaded or has stopped.
    pub async fn place(&self, request: PlacementRequest) -> PlacementReply {
        let (reply, outcome) = oneshot::channel();
        if self
            .mailbox
            .try_send(AllocationMessage::Place(request, reply))
            .is_err()
        {
            log::warn!("allocation controller overloaded or stopped; placement request refused");
            return unavailable();
        }
        outcome.await.unwrap_or_else(|_| unavailable())
    }

    /// Takes over the placements that another daemon has made, and what it refuses.
    pub fn adopt(&self, handover: PlacerHandover) {
        if self
            .mailbox
            .try_send(AllocationMessage::Adopt(handover))
            .is_err()
        {
            log::warn!("allocation controller overloaded or stopped; placements not taken over");
        }
    }

    /// Records how a call at a plain service ended; `None` if the controller is overloaded or has stopped.
    pub async fn end_call(&self, end: CallEnd) -> Option<CallVerdict> {
        let (reply, verdict) = oneshot::channel();
        if self
            .mailbox
            .try_send(AllocationMessage::EndCall(end, reply))
            .is_err()
        {
            log::warn!("allocation controller overloaded or stopped; end of a call not recorded");
            return None;
        }
        verdict.await.ok()
    }

    /// Takes over what another daemon refuses.
    pub fn refuse(&self, update: RefusalUpdate) {
        if self
            .mailbox
            .try_send(AllocationMessage::Refuse(update))
            .is_err()
        {
            log::warn!(
                "allocation controller overloaded or stopped; refused causes not taken over"
            );
        }
    }

    /// Returns the section with the decisions of this daemon on what crashes endpoints.
    pub fn refusals(&self) -> Section<Refusals> {
        self.refusals.clone()
    }

    /// Ends a placement and frees what it holds in the ledger.
    pub fn end(&self, end: PlacementEnd) {
        if self.mailbox.try_send(AllocationMessage::End(end)).is_err() {
            log::warn!(
                "allocation controller overloaded or stopped; placement stays until it expires"
            );
        }
    }
}

/// Returns the reply of a daemon that places nothing.
fn unavailable() -> PlacementReply {
    PlacementReply {
        outcome: PlacementOutcome::Unavailable,
        refused: Vec::new(),
    }
}
