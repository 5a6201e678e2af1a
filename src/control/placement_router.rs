use {
    super::{AllocationHandle, avoided_hosts::AvoidedHosts},
    crate::{
        board::{Members, Refusals, Section, Tick},
        decide::{RefusedCauses, placer_order},
        key::{CauseKey, HostKey},
        port::{
            ActivePlacement, CallEnd, CallVerdict, Clock, Peer, PeerCall, PeerReply, PlacementEnd,
            PlacementOutcome, PlacementReply, PlacementRequest, Placer, PlacerHandover,
            RefusalUpdate, ReportedCrash, RunEnd,
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

/// Time limit of a call to the daemon that places requests; longer than a request is held there.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a daemon is not called again after a call without a usable reply.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Interval at which the router checks whether another daemon now places requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a reported crash is remembered, and most crashes of a pool that are.
const CRASH_RETENTION: Duration = Duration::from_mins(30);
const MAX_CRASHES: usize = 64;

/// Most daemons that are called for one request.
const MAX_TRIED_DAEMONS: usize = 2;

/// Sends placement requests to the daemon that ranks first for their pool, or to the next one if
/// that fails.
#[derive(Clone, Debug)]
pub struct PlacementRouter<P, C> {
    peer: P,
    clock: C,
    members: Section<Members>,
    own: AllocationHandle,
    own_refusals: Section<Refusals>,
    state: Arc<RouterState<C>>,
}

/// State that the clones of a router share; an update replaces a map by a changed copy.
#[derive(Debug)]
struct RouterState<C> {
    avoided: AvoidedHosts<C>,
    /// Placed requests of this daemon that have not ended, by the id of the placement.
    placed: ArcSwap<HashMap<u64, PlacedRequest>>,
    /// Causes of crashes whose requests are refused, by the name of the pool.
    refused: ArcSwap<HashMap<String, RefusedCauses>>,
    /// Crashes that this daemon reported, by the name of the pool.
    crashes: ArcSwap<HashMap<String, Vec<SeenCrash>>>,
    /// Daemon and its incarnation that last received the placements of a pool, by the pool's name.
    notified: ArcSwap<HashMap<String, (HostKey, u64)>>,
}

/// A crash that this daemon reported.
#[derive(Clone, Debug)]
struct SeenCrash {
    crash: ReportedCrash,
    at: Tick,
}

/// A request of this daemon that has been placed.
#[derive(Clone, Debug)]
struct PlacedRequest {
    request: PlacementRequest,
    decode: String,
    placed_at: Tick,
}

impl<P, C> PlacementRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    /// Creates the router; requests that this daemon itself is to place go to `own`.
    pub fn new(peer: P, clock: C, members: Section<Members>, own: AllocationHandle) -> Self {
        let state = RouterState {
            avoided: AvoidedHosts::new(clock.clone()),
            placed: ArcSwap::default(),
            refused: ArcSwap::default(),
            crashes: ArcSwap::default(),
            notified: ArcSwap::default(),
        };
        Self {
            peer,
            clock,
            members,
            own_refusals: own.refusals(),
            own,
            state: Arc::new(state),
        }
    }

    /// Returns the daemons that may place requests of `pool`, the first choice first, without those
    /// to avoid.
    fn ranked(&self, pool: &str) -> Vec<HostKey> {
        let members = self.members.load();
        let available = members
            .hosts
            .iter()
            .filter(|(key, _)| !self.state.avoided.contains(*key));
        placer_order(pool, available, self.clock.unix_ms())
    }

    /// Leaves `host` out of the ranking for `AVOID_TIME`.
    fn avoid(&self, host: HostKey) {
        self.state.avoided.avoid(host, AVOID_TIME);
    }

    /// Calls `host`, this daemon or another one.
    ///
    /// Returns `None` if it does not reply within `CALL_TIMEOUT`, and avoids it from then on.
    async fn call(&self, host: HostKey, call: PeerCall) -> Option<PeerReply> {
        let members = self.members.snapshot();
        if host == members.own {
            return Some(self.own.handle(call).await);
        }
        let member = members.hosts.get(host)?;
        let call = self.peer.call(&member.address, call);
        let cause = match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no reply within the time limit".to_owned(),
        };
        log::warn!(dependency = member.name.as_str(); "daemon avoided after failed call: {cause}");
        self.avoid(host);
        None
    }

    /// Sends the existing placements of `pool` to `host` if it has not received them yet.
    async fn send_placements(&self, host: HostKey, pool: &str) {
        let members = self.members.load();
        let incarnation = members.hosts.get(host).map_or(0, |host| host.incarnation);
        drop(members);
        let target = (host, incarnation);
        if self.state.notified.load().get(pool) == Some(&target) {
            return;
        }
        insert_copy(&self.state.notified, &pool.to_owned(), &target);
        let now = self.clock.now();
        let placed = self.state.placed.load();
        let placements: Vec<_> = placed
            .values()
            .filter(|placed| placed.request.pool == pool)
            .map(|placed| ActivePlacement {
                request: placed.request.clone(),
                decode: placed.decode.clone(),
                running_for: now - placed.placed_at,
            })
            .collect();
        let refused = self.state.refused.load();
        let refused = refused.get(pool).map(|refused| refused.list(now));
        let handover = PlacerHandover {
            pool: pool.to_owned(),
            placements,
            refused: refused.unwrap_or_default(),
            crashes: self.seen_crashes(pool, now),
        };
        if !handover.is_empty() {
            // Without a reply the daemon is avoided, and the next one receives the handover.
            self.call(host, PeerCall::AdoptPlacements(handover)).await;
        }
    }

    /// Sends the existing placements to each daemon that starts to place requests; runs until the
    /// future is dropped.
    ///
    /// A daemon must not wait for the next request to receive them, which may be seconds away.
    pub async fn sync_placers(self) {
        let mut applied = 0;
        loop {
            self.clock.sleep(CHECK_INTERVAL).await;
            self.apply_own(&mut applied);
            let placed = self.state.placed.load_full();
            let refused = self.state.refused.load_full();
            let crashes = self.state.crashes.load_full();
            let pools: BTreeSet<_> = placed
                .values()
                .map(|placed| placed.request.pool.as_str())
                .chain(refused.keys().map(String::as_str))
                .chain(crashes.keys().map(String::as_str))
                .collect();
            for pool in pools {
                if let Some(host) = self.ranked(pool).first() {
                    self.send_placements(*host, pool).await;
                }
            }
        }
    }

    /// Refuses no longer what this daemon itself has cleared since the version `applied` of its decisions.
    fn apply_own(&self, applied: &mut u64) {
        let own = self.own_refusals.load();
        if own.version == *applied {
            return;
        }
        *applied = own.version;
        for (pool, state) in &own.pools {
            self.update_refused(pool, &[], &state.cleared);
        }
    }

    /// Refuses what the daemon that places the requests of `pool` refuses. What it has cleared arrives
    /// with the updates that it sends.
    fn record_refused(&self, pool: &str, refused: &[(CauseKey, Duration)]) {
        if !refused.is_empty() {
            self.update_refused(pool, refused, &[]);
        }
    }

    /// Refuses what another daemon refuses, and no longer what it has cleared.
    pub fn refuse(&self, update: &RefusalUpdate) {
        for pool in &update.pools {
            self.update_refused(&pool.pool, &pool.refused, &pool.cleared);
        }
    }

    fn update_refused(&self, pool: &str, refused: &[(CauseKey, Duration)], cleared: &[CauseKey]) {
        let now = self.clock.now();
        let known = self.state.refused.load();
        log_new(pool, known.get(pool), refused, now);
        self.state.refused.rcu(|old| {
            let mut next = HashMap::clone(old);
            let causes = next.entry(pool.to_owned()).or_default();
            causes.merge(refused, now);
            for cause in cleared {
                causes.clear(*cause);
            }
            next
        });
    }

    /// Remembers a crash for the daemons that take over the pool.
    fn record_crash(&self, pool: &str, crash: ReportedCrash) {
        let at = self.clock.now();
        let seen = SeenCrash { crash, at };
        self.state.crashes.rcu(|old| {
            let mut next = HashMap::clone(old);
            let crashes = next.entry(pool.to_owned()).or_default();
            crashes.retain(|seen| at - seen.at < CRASH_RETENTION);
            let surplus = (crashes.len() + 1).saturating_sub(MAX_CRASHES);
            crashes.drain(..surplus);
            crashes.push(seen.clone());
            next
        });
    }

    /// Forgets the crashes under `causes`, which were answered since.
    fn record_answer(&self, pool: &str, causes: &[CauseKey]) {
        let is_answered = |seen: &SeenCrash| seen.crash.causes.iter().any(|c| causes.contains(c));
        let crashes = self.state.crashes.load();
        if !crashes.get(pool).into_iter().flatten().any(is_answered) {
            return;
        }
        self.state.crashes.rcu(|old| {
            let mut next = HashMap::clone(old);
            for seen in next.get_mut(pool).into_iter().flatten() {
                seen.crash.causes.retain(|cause| !causes.contains(cause));
            }
            if let Some(crashes) = next.get_mut(pool) {
                crashes.retain(|seen| !seen.crash.causes.is_empty());
            }
            next
        });
    }

    /// Remembers or forgets crashes by the end of a run, for the daemons that take over the pool.
    fn record_end(&self, pool: &str, run: RunEnd, crash: ReportedCrash) {
        match run {
            RunEnd::Unknown => {}
            RunEnd::Crashed => self.record_crash(pool, crash),
            RunEnd::Answered => self.record_answer(pool, &crash.causes),
        }
    }

    /// Returns the crashes that this daemon reported.
    fn seen_crashes(&self, pool: &str, now: Tick) -> Vec<ReportedCrash> {
        let crashes = self.state.crashes.load();
        let seen = crashes.get(pool).into_iter().flatten();
        let recent = seen.filter(|seen| now - seen.at < CRASH_RETENTION);
        recent
            .map(|seen| ReportedCrash {
                age: now - seen.at,
                ..seen.crash.clone()
            })
            .collect()
    }

    /// Remembers a placement for the daemons that take over the pool.
    fn record_placement(&self, request: &PlacementRequest, decode: &str) {
        let placed = PlacedRequest {
            request: request.clone(),
            decode: decode.to_owned(),
            placed_at: self.clock.now(),
        };
        insert_copy(&self.state.placed, &request.id, &placed);
    }
}

impl<P, C> Placer for PlacementRouter<P, C>
where
    P: Peer,
    C: Clock,
{
    async fn place(&self, request: PlacementRequest) -> PlacementOutcome {
        for host in self
            .ranked(&request.pool)
            .into_iter()
            .take(MAX_TRIED_DAEMONS)
        {
            self.send_placements(host, &request.pool).await;
            match self.call(host, PeerCall::Place(request.clone())).await {
                Some(PeerReply::Placement(PlacementReply {
                    outcome: PlacementOutcome::Unavailable,
                    ..
                })) => self.avoid(host),
                Some(PeerReply::Placement(PlacementReply { outcome, refused })) => {
                    self.record_refused(&request.pool, &refused);
                    if let PlacementOutcome::Placed { decode, .. } = &outcome {
                        self.record_placement(&request, decode);
                    }
                    return outcome;
                }
                Some(_) | None => {}
            }
        }
        PlacementOutcome::Unavailable
    }

    fn end(&self, end: PlacementEnd) {
        self.state.placed.rcu(|old| {
            let mut next = HashMap::clone(old);
            next.remove(&end.id);
            next
        });
        let hosts = self.ranked(&end.pool).into_iter().take(MAX_TRIED_DAEMONS);
        let hosts: Vec<_> = hosts.collect();
        let router = self.clone();
        tokio::spawn(async move {
            router.record_end(&end.pool, end.run, end.crash());
            for host in hosts {
                let call = router.call(host, PeerCall::EndPlacement(end.clone()));
                if call.await.is_some() {
                    return;
                }
            }
        });
    }

    async fn end_call(&self, end: CallEnd) -> bool {
        let hosts = self.ranked(&end.pool).into_iter().take(MAX_TRIED_DAEMONS);
        for host in hosts.collect::<Vec<_>>() {
            self.send_placements(host, &end.pool).await;
            let reply = self.call(host, PeerCall::EndCall(end.clone())).await;
            if let Some(PeerReply::CallVerdict(CallVerdict { suspect, refused })) = reply {
                self.record_end(&end.pool, end.run, end.crash());
                self.record_refused(&end.pool, &refused);
                return suspect;
            }
        }
        // Without a daemon that counts for all, this one counts what it sees.
        self.record_end(&end.pool, end.run, end.crash());
        let verdict = self.own.end_call(end).await;
        verdict.is_some_and(|verdict| verdict.suspect)
    }

    fn refused(&self, pool: &str, causes: &[CauseKey]) -> Option<Duration> {
        let now = self.clock.now();
        let refused = self.state.refused.load();
        let known = refused.get(pool);
        let by_others = known.and_then(|refused| refused.remaining(causes, now));
        by_others.or_else(|| self.own_refusals.load().remaining(pool, causes, now))
    }
}

/// Logs those of `refused` that are not in `known`.
fn log_new(pool: &str, known: Option<&RefusedCauses>, refused: &[(CauseKey, Duration)], now: Tick) {
    for (cause, left) in refused {
        let remaining = known.and_then(|known| known.remaining(&[*cause], now));
        if remaining.is_none() {
            let left_ms = left.as_millis() as u64;
            log::info!(
                pool, cause:% = cause, left_ms;
                "requests with this cause are refused here from now on"
            );
        }
    }
}

/// Replaces a map by a copy that holds `value` under `key`.
fn insert_copy<K, V>(map: &ArcSwap<HashMap<K, V>>, key: &K, value: &V)
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
