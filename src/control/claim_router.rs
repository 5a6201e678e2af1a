use {
    super::{ClaimCommitters, claim_resolver::ClaimResolver},
    crate::{
        board::{Members, Section},
        decide::{
            claim_key,
            rendezvous::{Candidate, first_two},
        },
        key::AttemptId,
        port::{
            ClaimEnd, ClaimKey, ClaimOutcome, ClaimRequest, Claimer, Clock, Peer, PeerCall,
            PeerReply,
        },
    },
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Maximum number of ends that wait to be recorded in the background.
const MAX_UNRESOLVED_ENDS: usize = 65_536;

/// Sends claim requests to the daemon that commits the key's partition, or commits them on this
/// daemon if that one does not respond.
///
/// A take whose outcome is `Unavailable`, or whose requester disconnects, is ended as not run in
/// the background, so that a retry by the caller may run.
#[derive(Clone, Debug)]
pub struct ClaimRouter<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    local: ClaimCommitters<C>,
    unresolved: mpsc::Sender<ClaimRequest>,
}

/// Hands an end to the resolver when it is dropped, unless `end` was cleared because the outcome is
/// known.
#[derive(Debug)]
struct EndGuard {
    end: Option<ClaimRequest>,
    unresolved: mpsc::Sender<ClaimRequest>,
}

impl<P, C> ClaimRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the router and the resolver, whose `run` has to be spawned.
    ///
    /// `local` are the committers of this daemon.
    pub fn new(
        peer: P,
        clock: C,
        members: Section<Members>,
        local: ClaimCommitters<C>,
    ) -> (Self, ClaimResolver<P, C>) {
        let (unresolved, ends) = mpsc::channel(MAX_UNRESOLVED_ENDS);
        let router = Self {
            peer,
            clock,
            members,
            local,
            unresolved,
        };
        let resolver = ClaimResolver::new(router.clone(), ends);
        (router, resolver)
    }

    pub(super) fn clock(&self) -> &C {
        &self.clock
    }

    /// Sends `request` once to the daemon that commits the partition, or commits it on this daemon if
    /// that one does not respond.
    pub(super) async fn route(&self, request: ClaimRequest) -> ClaimOutcome {
        let Some(address) = self.committer(claim_key(&request)) else {
            return self.local.submit(request).await;
        };
        let started = self.clock.now();
        let reply = self
            .peer
            .call(&address, PeerCall::Claim(request.clone()))
            .await;
        if let Ok(PeerReply::Claim(outcome)) = reply {
            return outcome;
        }
        let spent = self.clock.now() - started;
        self.local.submit(shortened(request, spent)).await
    }

    /// Routes a take; returns `Unavailable` once `remaining` has passed.
    async fn take(&self, request: ClaimRequest, remaining: Duration) -> ClaimOutcome {
        tokio::select! {
            biased;
            outcome = self.route(request) => outcome,
            () = self.clock.sleep(remaining) => ClaimOutcome::Unavailable,
        }
    }

    /// Returns the address of the daemon that commits the partition of `key`; `None` if it is this
    /// one.
    fn committer(&self, key: &ClaimKey) -> Option<String> {
        let members = self.members.load();
        let owners: Vec<_> = members
            .hosts
            .iter()
            .filter(|(_, host)| host.state.may_own())
            .map(|(key, host)| Candidate::new(key, &host.name))
            .collect();
        let name = format!("claims/{}", self.local.partition(key));
        let (first, _) = first_two(&name, &owners)?;
        if first == members.own {
            return None;
        }
        members.hosts.get(first).map(|host| host.address.clone())
    }
}

impl<P, C> Claimer for ClaimRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    async fn submit(&self, request: ClaimRequest) -> ClaimOutcome {
        let ClaimRequest::Take {
            key,
            attempt,
            remaining,
            ..
        } = &request
        else {
            return self.finish(request).await;
        };
        let mut guard = EndGuard::not_run(key, *attempt, self.unresolved.clone());
        let remaining = *remaining;
        let outcome = self.take(request, remaining).await;
        if outcome != ClaimOutcome::Unavailable {
            guard.end = None;
        }
        outcome
    }
}

impl<P, C> ClaimRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Records an end; if that fails, or the requester disconnects, the resolver retries it in the
    /// background.
    async fn finish(&self, request: ClaimRequest) -> ClaimOutcome {
        let mut guard = EndGuard {
            end: Some(request.clone()),
            unresolved: self.unresolved.clone(),
        };
        let outcome = self.route(request).await;
        if outcome == ClaimOutcome::Recorded {
            guard.end = None;
        }
        outcome
    }
}

impl EndGuard {
    /// Creates a guard that ends the claim of `attempt` as not run.
    fn not_run(key: &ClaimKey, attempt: AttemptId, unresolved: mpsc::Sender<ClaimRequest>) -> Self {
        let end = Some(ClaimRequest::Finish {
            key: key.clone(),
            attempt,
            end: ClaimEnd::NotRun,
        });
        Self { end, unresolved }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take()
            && self.unresolved.try_send(end).is_err()
        {
            log::error!(
                "the end of a claim is not recorded, because the queue of unresolved ends is full or closed; the claim stays in progress"
            );
        }
    }
}

/// Subtracts the time `spent` from the remaining time of a take.
fn shortened(request: ClaimRequest, spent: Duration) -> ClaimRequest {
    match request {
        ClaimRequest::Take {
            key,
            body_hash,
            attempt,
            remaining,
        } => ClaimRequest::Take {
            key,
            body_hash,
            attempt,
            remaining: remaining.saturating_sub(spent),
        },
        finish @ ClaimRequest::Finish { .. } => finish,
    }
}
