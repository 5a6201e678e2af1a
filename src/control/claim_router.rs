use {
    super::{Claims, claim_resolver::ClaimResolver},
    crate::{
        board::{Members, Section},
        decide::{
            ask_key,
            rendezvous::{Candidate, first_two},
        },
        key::AttemptId,
        port::{
            ClaimAsk, ClaimEnd, ClaimKey, ClaimOutcome, Claimer, Clock, Peer, PeerCall, PeerReply,
        },
    },
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Ends that may wait for the platform.
const UNRESOLVED_MAX: usize = 65_536;

/// Claims as the path of a request asks for them: at the committer of the key's partition, or
/// here if that daemon is not reached.
///
/// A take that did not come back as `Taken` in time, or whose asker went away, is ended as not run
/// in the background, so that the caller's retry may run.
#[derive(Clone, Debug)]
pub struct ClaimRouter<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    claims: Claims<C>,
    unresolved: mpsc::Sender<ClaimAsk>,
}

/// Ends a take as not run unless it was settled.
#[derive(Debug)]
struct TakeGuard {
    end: Option<ClaimAsk>,
    unresolved: mpsc::Sender<ClaimAsk>,
}

impl<P, C> ClaimRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the router and the resolver, whose `run` has to be spawned.
    pub fn new(
        peer: P,
        clock: C,
        members: Section<Members>,
        claims: Claims<C>,
    ) -> (Self, ClaimResolver<P, C>) {
        let (unresolved, ends) = mpsc::channel(UNRESOLVED_MAX);
        let router = Self {
            peer,
            clock,
            members,
            claims,
            unresolved,
        };
        let resolver = ClaimResolver::new(router.clone(), ends);
        (router, resolver)
    }

    pub(super) fn clock(&self) -> &C {
        &self.clock
    }

    /// Asks the committer once, and this daemon if the committer does not answer.
    pub(super) async fn route(&self, ask: ClaimAsk) -> ClaimOutcome {
        let Some(address) = self.committer(ask_key(&ask)) else {
            return self.claims.ask(ask).await;
        };
        let asked = self.clock.now();
        let reply = self.peer.call(&address, PeerCall::Claim(ask.clone())).await;
        if let Ok(PeerReply::Claim(outcome)) = reply {
            return outcome;
        }
        let spent = self.clock.now() - asked;
        self.claims.ask(shortened(ask, spent)).await
    }

    async fn take(&self, ask: ClaimAsk, remaining: Duration) -> ClaimOutcome {
        tokio::select! {
            biased;
            outcome = self.route(ask) => outcome,
            () = self.clock.sleep(remaining) => ClaimOutcome::Unavailable,
        }
    }

    /// Address of the daemon that commits the partition of `key`; `None` if it is this one.
    fn committer(&self, key: &ClaimKey) -> Option<String> {
        let members = self.members.load();
        let owners: Vec<_> = members
            .hosts
            .iter()
            .filter(|(_, host)| host.state.may_own())
            .map(|(key, host)| Candidate::new(key, &host.name))
            .collect();
        let name = format!("claims/{}", self.claims.partition(key));
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
    async fn ask(&self, ask: ClaimAsk) -> ClaimOutcome {
        let ClaimAsk::Take {
            key,
            attempt,
            remaining,
            ..
        } = &ask
        else {
            return self.finish(ask).await;
        };
        let mut guard = TakeGuard::new(key, *attempt, self.unresolved.clone());
        let remaining = *remaining;
        let outcome = self.take(ask, remaining).await;
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
    /// Records an end; if that fails, or the asker goes away, it goes on in the background.
    async fn finish(&self, ask: ClaimAsk) -> ClaimOutcome {
        let mut guard = TakeGuard {
            end: Some(ask.clone()),
            unresolved: self.unresolved.clone(),
        };
        let outcome = self.route(ask).await;
        if outcome == ClaimOutcome::Recorded {
            guard.end = None;
        }
        outcome
    }
}

impl TakeGuard {
    fn new(key: &ClaimKey, attempt: AttemptId, unresolved: mpsc::Sender<ClaimAsk>) -> Self {
        let end = Some(ClaimAsk::Finish {
            key: key.clone(),
            attempt,
            end: ClaimEnd::NotRun,
        });
        Self { end, unresolved }
    }
}

impl Drop for TakeGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take()
            && self.unresolved.try_send(end).is_err()
        {
            log::error!("too many claims wait for the platform; one stays in progress");
        }
    }
}

/// Takes the time that was spent off the time that a take has left.
fn shortened(ask: ClaimAsk, spent: Duration) -> ClaimAsk {
    match ask {
        ClaimAsk::Take {
            key,
            body,
            attempt,
            remaining,
        } => ClaimAsk::Take {
            key,
            body,
            attempt,
            remaining: remaining.saturating_sub(spent),
        },
        finish @ ClaimAsk::Finish { .. } => finish,
    }
}
