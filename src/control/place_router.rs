use {
    super::Allocation,
    crate::{
        board::{HostState, Members, Section, Tick},
        decide::rendezvous::{Candidate, rank},
        key::HostKey,
        port::{Clock, Peer, PeerCall, PeerReply, PlaceAsk, PlaceEnd, PlaceOutcome, Placer},
    },
    arc_swap::ArcSwap,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time for the daemon that places requests to answer, beyond the time that an ask waits there.
const CALL_TIME: Duration = Duration::from_millis(250);

/// Time for which a daemon that did not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Daemons that are tried for one ask.
const TRIES: usize = 2;

/// Asks the daemon that rendezvous hashing names for a pool.
#[derive(Clone, Debug)]
pub struct PlaceRouter<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    own: Allocation,
    avoided: Arc<ArcSwap<HashMap<HostKey, Tick>>>,
}

impl<P, C> PlaceRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the router; asks for which this daemon is chosen go to `own`.
    pub fn new(peer: P, clock: C, members: Section<Members>, own: Allocation) -> Self {
        Self {
            peer,
            clock,
            members,
            own,
            avoided: Arc::default(),
        }
    }

    /// Daemons that may place requests of `pool`, the first choice first.
    fn ranked(&self, pool: &str) -> Vec<HostKey> {
        let members = self.members.load();
        let avoided = self.avoided.load();
        let now = self.clock.now();
        let able: Vec<_> = members
            .hosts
            .iter()
            .filter(|(key, host)| {
                host.state == HostState::Alive && avoided.get(key).is_none_or(|until| *until <= now)
            })
            .map(|(key, host)| Candidate::new(key, &host.name))
            .collect();
        rank(pool, &able)
    }

    fn avoid(&self, host: HostKey) {
        let until = self.clock.now() + AVOID_TIME;
        self.avoided.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.insert(host, until);
            next
        });
    }

    async fn ask(&self, host: HostKey, ask: &PlaceAsk) -> PlaceOutcome {
        let members = self.members.snapshot();
        if host == members.own {
            return self.own.place(ask.clone()).await;
        }
        let Some(member) = members.hosts.get(host) else {
            return PlaceOutcome::Absent;
        };
        let call = self
            .peer
            .call(&member.address, PeerCall::Place(ask.clone()));
        let why = match timeout(CALL_TIME, call).await {
            Ok(Ok(PeerReply::Place(outcome))) => return outcome,
            Ok(Ok(_)) => "another reply than was asked for".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no reply in time".to_owned(),
        };
        log::warn!(dependency = member.name.as_str(), id = ask.id; "daemon avoided: {why}");
        self.avoid(host);
        PlaceOutcome::Absent
    }
}

impl<P, C> Placer for PlaceRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    async fn place(&self, ask: PlaceAsk) -> PlaceOutcome {
        for host in self.ranked(&ask.pool).into_iter().take(TRIES) {
            match self.ask(host, &ask).await {
                PlaceOutcome::Absent => {}
                outcome => return outcome,
            }
        }
        PlaceOutcome::Absent
    }

    fn end(&self, end: PlaceEnd) {
        let Some(host) = self.ranked(&end.pool).first().copied() else {
            return;
        };
        let members = self.members.snapshot();
        if host == members.own {
            self.own.end(end);
            return;
        }
        let Some(address) = members.hosts.get(host).map(|member| member.address.clone()) else {
            return;
        };
        let peer = self.peer.clone();
        tokio::spawn(async move {
            let call = peer.call(&address, PeerCall::PlaceEnd(end));
            if let Ok(Err(e)) = timeout(CALL_TIME, call).await {
                log::debug!(address = address.as_str(); "a place lapses by itself: {e}");
            }
        });
    }
}
