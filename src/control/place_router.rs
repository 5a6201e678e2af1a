use {
    super::Allocation,
    crate::{
        board::{Members, Section, Tick},
        decide::placer_order,
        key::HostKey,
        port::{
            Clock, Peer, PeerCall, PeerReply, PlaceAsk, PlaceEnd, PlaceOutcome, PlaceRun, Placer,
        },
    },
    arc_swap::ArcSwap,
    std::{
        collections::{BTreeSet, HashMap},
        hash::Hash,
        sync::Arc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time for the daemon that places requests to answer, beyond the time that an ask waits there.
const CALL_TIME: Duration = Duration::from_millis(250);

/// Time for which a daemon that did not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Pause between two looks at who places requests.
const TELL_TIME: Duration = Duration::from_millis(500);

/// Daemons that are tried for one ask.
const TRIES: usize = 2;

/// Asks the daemon that comes first for a pool.
#[derive(Clone, Debug)]
pub struct PlaceRouter<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    own: Allocation,
    state: Arc<RouterState>,
}

/// What the router remembers, replaced as a whole by each change.
#[derive(Debug, Default)]
struct RouterState {
    avoided: ArcSwap<HashMap<HostKey, Tick>>,
    runs: ArcSwap<HashMap<u64, PlacedRun>>,
    told: ArcSwap<HashMap<String, (HostKey, u64)>>,
}

/// A request of this daemon that has its places.
#[derive(Clone, Debug)]
struct PlacedRun {
    ask: PlaceAsk,
    decode: String,
    placed: Tick,
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
            state: Arc::default(),
        }
    }

    /// Daemons that may place requests of `pool`, the first choice first.
    fn ranked(&self, pool: &str) -> Vec<HostKey> {
        let members = self.members.load();
        let avoided = self.state.avoided.load();
        let now = self.clock.now();
        let able = members
            .hosts
            .iter()
            .filter(|(key, _)| avoided.get(key).is_none_or(|until| *until <= now));
        placer_order(pool, able, self.clock.unix_ms())
    }

    fn avoid(&self, host: HostKey) {
        let until = self.clock.now() + AVOID_TIME;
        put(&self.state.avoided, &host, &until);
    }

    /// Calls `host`, this daemon or another one; nothing if it does not answer.
    async fn call(&self, host: HostKey, call: PeerCall) -> Option<PeerReply> {
        let members = self.members.snapshot();
        if host == members.own {
            return Some(self.own.answer(call).await);
        }
        let member = members.hosts.get(host)?;
        let call = self.peer.call(&member.address, call);
        let why = match timeout(CALL_TIME, call).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no reply in time".to_owned(),
        };
        log::warn!(dependency = member.name.as_str(); "daemon avoided: {why}");
        self.avoid(host);
        None
    }

    /// Tells a daemon that has just become the one for `pool` what is placed already.
    async fn introduce(&self, host: HostKey, pool: &str) {
        let members = self.members.load();
        let incarnation = members.hosts.get(host).map_or(0, |host| host.incarnation);
        drop(members);
        let current = (host, incarnation);
        if self.state.told.load().get(pool) == Some(&current) {
            return;
        }
        put(&self.state.told, &pool.to_owned(), &current);
        let now = self.clock.now();
        let runs = self.state.runs.load();
        let runs: Vec<_> = runs
            .values()
            .filter(|run| run.ask.pool == pool)
            .map(|run| PlaceRun {
                ask: run.ask.clone(),
                decode: run.decode.clone(),
                since: now - run.placed,
            })
            .collect();
        if !runs.is_empty() {
            // Without a reply the daemon is avoided, and the next one is told.
            self.call(host, PeerCall::PlaceRuns(runs)).await;
        }
    }

    /// Tells each daemon that comes to place requests what is placed already, until it is dropped:
    /// the next ask may be seconds away.
    pub async fn tell(self) {
        loop {
            self.clock.sleep(TELL_TIME).await;
            let runs = self.state.runs.load_full();
            let pools: BTreeSet<_> = runs.values().map(|run| run.ask.pool.as_str()).collect();
            for pool in pools {
                if let Some(host) = self.ranked(pool).first() {
                    self.introduce(*host, pool).await;
                }
            }
        }
    }

    fn placed(&self, ask: &PlaceAsk, decode: &str) {
        let run = PlacedRun {
            ask: ask.clone(),
            decode: decode.to_owned(),
            placed: self.clock.now(),
        };
        put(&self.state.runs, &ask.id, &run);
    }
}

impl<P, C> Placer for PlaceRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    async fn place(&self, ask: PlaceAsk) -> PlaceOutcome {
        for host in self.ranked(&ask.pool).into_iter().take(TRIES) {
            self.introduce(host, &ask.pool).await;
            match self.call(host, PeerCall::Place(ask.clone())).await {
                Some(PeerReply::Place(PlaceOutcome::Absent)) => self.avoid(host),
                Some(PeerReply::Place(outcome)) => {
                    if let PlaceOutcome::Placed { decode, .. } = &outcome {
                        self.placed(&ask, decode);
                    }
                    return outcome;
                }
                Some(_) | None => {}
            }
        }
        PlaceOutcome::Absent
    }

    fn end(&self, end: PlaceEnd) {
        self.state.runs.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.remove(&end.id);
            next
        });
        let Some(host) = self.ranked(&end.pool).first().copied() else {
            return;
        };
        let router = self.clone();
        tokio::spawn(async move {
            router.call(host, PeerCall::PlaceEnd(end)).await;
        });
    }
}

/// Replaces a map by one that holds `value` under `key`.
fn put<K, V>(map: &ArcSwap<HashMap<K, V>>, key: &K, value: &V)
where
    K: Clone + Eq + Hash,
    V: Clone,
{
    map.rcu(|old| {
        let mut next = HashMap::clone(old);
        next.insert(key.clone(), value.clone());
        next
    });
}
