use {
    super::{
        endpoint_view::EndpointView,
        grant_table::{GrantEntry, GrantTable},
        queue_message::CallId,
        queue_snapshot::{QueueSnapshot, grant_limit},
        waiter::Waiter,
    },
    crate::{
        board::{Arena, Blackboard, Role, Tick},
        decide::{FairShare, GrantOption, LATE_GRANT_INTERVAL, Rank, Waiting, late_rank, rank},
        key::{AttemptId, BranchKey, EndpointKey, GrantKey, PoolKey, WaiterKey},
        port::{Denial, Grant, GrantRequest},
    },
    slotmap::{SecondaryMap, SlotMap},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
    tokio::sync::oneshot::Sender,
};

/// Most requests that may wait at one owner.
const MAX_WAITING_REQUESTS: usize = 4096;

/// Queues of waiting requests and grants of one owner; no method performs I/O.
///
/// The requests of one pool and role form a queue.
#[derive(Debug, Default)]
pub(super) struct QueueState {
    /// Waiting requests of all queues.
    pub(super) waiting: SlotMap<WaiterKey, Waiter>,
    by_call: HashMap<CallId, WaiterKey>,
    /// Grants that have not ended.
    pub(super) grants: GrantTable,
    /// What has been observed of each owned endpoint.
    pub(super) views: SecondaryMap<EndpointKey, EndpointView>,
    /// Recent use of the endpoints by each branch, found by its name.
    shares: Arena<BranchKey, FairShare>,
    /// Grants to cancel at their endpoint for which no cancel task has been started.
    pub(super) orphans: Vec<GrantKey>,
    /// Number of grants made so far.
    grant_count: u64,
    /// Whether the daemon is stopping: every request is denied.
    closed: bool,
}

impl QueueState {
    /// Queues a request, or denies it at once: if the daemon is stopping, if no endpoint here may
    /// serve it, or if `MAX_WAITING_REQUESTS` requests wait already.
    pub(super) fn enqueue(
        &mut self,
        board: &Blackboard,
        request: GrantRequest,
        call: CallId,
        reply: Sender<Result<Grant, Denial>>,
        now: Tick,
    ) {
        let snapshot = QueueSnapshot::new(board);
        let pool = snapshot.fleet.pools.find(&request.pool);
        let servable = pool.filter(|pool| snapshot.may_serve(*pool, &request, &self.views, now));
        let denial = match servable {
            _ if self.closed => Denial::Stopping,
            None => Denial::NotOwner,
            Some(_) if self.waiting.len() >= MAX_WAITING_REQUESTS => Denial::Full,
            Some(pool) => {
                self.push(request, call, reply, pool, now);
                return;
            }
        };
        // The call may have been dropped.
        let _ = reply.send(Err(denial));
    }

    /// Removes the request of a call that was dropped, or ends the grant that raced with the drop.
    pub(super) fn abandon(&mut self, call: CallId, now: Tick) {
        if let Some(key) = self.by_call.remove(&call) {
            self.waiting.remove(key);
        }
        if let Some(key) = self.grants.find_by_call(call) {
            self.free(key, now);
        }
    }

    /// Denies every request and ends every grant of an attempt.
    pub(super) fn withdraw(&mut self, attempt: AttemptId, now: Tick) {
        let waiters = self.waiting.iter();
        let matching = waiters.filter(|(_, waiter)| waiter.request.attempt == attempt);
        let keys: Vec<WaiterKey> = matching.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::Late);
        }
        for key in self.grants.select(|entry| entry.attempt == attempt) {
            self.free(key, now);
        }
    }

    /// Denies the requests that may no longer start.
    pub(super) fn expire(&mut self, now: Tick) {
        let waiters = self.waiting.iter();
        let matching = waiters.filter(|(_, waiter)| waiter.expires <= now);
        let keys: Vec<WaiterKey> = matching.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::Late);
        }
    }

    /// Returns the time until the earliest deadline of a request or an endpoint; `Duration::MAX` if
    /// nothing waits.
    pub(super) fn next_due(&self, now: Tick) -> Duration {
        if self.waiting.is_empty() {
            return Duration::MAX;
        }
        let expiries = self.waiting.values().map(|waiter| waiter.expires);
        let views = self.views.values().filter_map(|view| view.next_due(now));
        expiries
            .chain(views)
            .min()
            .map_or(Duration::MAX, |due| due.since(now))
    }

    /// Denies all waiting and all future requests.
    pub(super) fn close(&mut self) {
        self.closed = true;
        let keys: Vec<WaiterKey> = self.waiting.keys().collect();
        for key in keys {
            self.deny(key, Denial::Stopping);
        }
    }

    /// Applies changes of the fleet, the owners and the members.
    pub(super) fn follow(&mut self, board: &Blackboard, now: Tick) {
        let snapshot = QueueSnapshot::new(board);
        self.follow_endpoints(&snapshot, now);
        self.follow_members(&board.members.load(), now);
        self.deny_unservable(&snapshot, now);
    }

    /// Denies the requests that no endpoint here may serve, so that they go to other owners.
    pub(super) fn deny_unservable(&mut self, snapshot: &QueueSnapshot, now: Tick) {
        let unservable = self.waiting.iter().filter(|(_, waiter)| {
            !snapshot.may_serve(waiter.pool, &waiter.request, &self.views, now)
        });
        let keys: Vec<WaiterKey> = unservable.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::NotOwner);
        }
    }

    /// Grants what can be granted, queue by queue in the order of pool and role.
    pub(super) fn grant_waiting(&mut self, board: &Blackboard, now: Tick) {
        if self.waiting.is_empty() {
            return;
        }
        let snapshot = QueueSnapshot::new(board);
        let queues: BTreeSet<(PoolKey, Role)> = self
            .waiting
            .values()
            .map(|waiter| (waiter.pool, waiter.request.role))
            .collect();
        for (pool, role) in queues {
            while self.grant_next(&snapshot, pool, role, now) {}
        }
    }

    /// Grants the first request of a queue that fits an endpoint; `false` if none does.
    fn grant_next(
        &mut self,
        snapshot: &QueueSnapshot,
        pool: PoolKey,
        role: Role,
        now: Tick,
    ) -> bool {
        for key in self.ranked_waiters(snapshot, pool, role, now) {
            let waiter = &self.waiting[key];
            let Some((candidate, pieces)) = snapshot.choose(waiter, &self.views, &self.grants, now)
            else {
                continue;
            };
            if self.grant(snapshot, key, &candidate, pieces, now) {
                return true;
            }
        }
        false
    }

    /// Returns the requests of a queue in the order in which they are to be served.
    ///
    /// One grant in `LATE_GRANT_INTERVAL` goes to requests that cannot meet their target any more.
    fn ranked_waiters(
        &self,
        snapshot: &QueueSnapshot,
        pool: PoolKey,
        role: Role,
        now: Tick,
    ) -> Vec<WaiterKey> {
        let mean_usage = self.mean_usage(now);
        let is_late_turn = self.grant_count % LATE_GRANT_INTERVAL == LATE_GRANT_INTERVAL - 1;
        let waiters = self.waiting.iter();
        let queue =
            waiters.filter(|(_, waiter)| waiter.pool == pool && waiter.request.role == role);
        let mut ranked: Vec<(Rank, WaiterKey)> = queue
            .map(|(key, waiter)| {
                let waiting = self.ranking_input(snapshot, waiter, mean_usage, now);
                let order = if is_late_turn { late_rank } else { rank };
                (order(&waiting, now), key)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns what the rank of a request depends on.
    fn ranking_input(
        &self,
        snapshot: &QueueSnapshot,
        waiter: &Waiter,
        mean_usage: f64,
        now: Tick,
    ) -> Waiting {
        let usage = self.shares.get(waiter.branch).map(|share| share.used(now));
        Waiting {
            arrived: waiter.arrived,
            priority: waiter.request.priority,
            due: waiter.due,
            work: self.prefill_time(snapshot, waiter),
            share: usage.unwrap_or_default() / mean_usage,
        }
    }

    /// Predicts the time to compute the prompt at the fastest endpoint here; zero unless the
    /// request is for a prefill, since the owner of a decode endpoint cannot predict it.
    fn prefill_time(&self, snapshot: &QueueSnapshot, waiter: &Waiter) -> Duration {
        let request = &waiter.request;
        if request.role != Role::Prefill {
            return Duration::ZERO;
        }
        let usable = snapshot.usable(waiter.pool, request);
        let views = usable.filter_map(|(key, _)| self.views.get(key));
        let times = views.map(|view| {
            let cached = view.cached_tokens(&request.prefixes, request.prompt_tokens);
            view.fit.predict(f64::from(request.prompt_tokens - cached))
        });
        times.min().unwrap_or_default()
    }

    /// Returns the mean recent usage of a branch in pieces, at least 1.
    fn mean_usage(&self, now: Tick) -> f64 {
        let total: f64 = self.shares.iter().map(|(_, share)| share.used(now)).sum();
        (total / self.shares.len().max(1) as f64).max(1.0)
    }

    /// Acquires the memory and sends the grant to the call; `false` if the memory is not
    /// available.
    fn grant(
        &mut self,
        snapshot: &QueueSnapshot,
        key: WaiterKey,
        candidate: &GrantOption,
        pieces: u32,
        now: Tick,
    ) -> bool {
        let Some(endpoint) = snapshot.fleet.endpoints.get(candidate.endpoint) else {
            return false;
        };
        if !endpoint.counters.try_acquire(pieces, grant_limit(endpoint)) {
            return false;
        }
        let Some(waiter) = self.waiting.remove(key) else {
            endpoint.counters.release(pieces);
            return false;
        };
        self.by_call.remove(&waiter.call);
        self.grant_count += 1;
        if let Some(share) = self.shares.get_mut(waiter.branch) {
            share.add(f64::from(pieces), now);
        }
        let uncached = waiter
            .request
            .prompt_tokens
            .saturating_sub(candidate.cached);
        let grant = self.grants.insert(GrantEntry {
            attempt: waiter.request.attempt,
            endpoint: candidate.endpoint,
            address: endpoint.address.clone(),
            counters: std::sync::Arc::clone(&endpoint.counters),
            role: endpoint.role,
            pieces,
            call: Some(waiter.call),
            granted_at: now,
            prefill_time: candidate.unit_time * uncached,
            prefixes: if endpoint.role == Role::Prefill {
                waiter.request.prefixes
            } else {
                Vec::new()
            },
            suspect: waiter.request.suspect,
            last_listed: None,
            cancel: None,
        });
        let response = Grant {
            attempt: waiter.request.attempt,
            endpoint: endpoint.name.clone(),
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            pieces,
            cached: candidate.cached,
        };
        if waiter.reply.send(Ok(response)).is_err() {
            self.free(grant, now);
        }
        true
    }

    /// Adds a request to its queue.
    fn push(
        &mut self,
        request: GrantRequest,
        call: CallId,
        reply: Sender<Result<Grant, Denial>>,
        pool: PoolKey,
        now: Tick,
    ) {
        let known = self.shares.find(&request.branch);
        let branch = known.unwrap_or_else(|| {
            let share = FairShare::default();
            self.shares.insert(&request.branch, share)
        });
        let waiter = Waiter {
            call,
            reply,
            pool,
            branch,
            arrived: now,
            due: now + request.first_token,
            expires: now + request.remaining,
            request,
        };
        let key = self.waiting.insert(waiter);
        self.by_call.insert(call, key);
    }

    /// Removes a request from its queue and sends the reason to its call.
    fn deny(&mut self, key: WaiterKey, denial: Denial) {
        let Some(waiter) = self.waiting.remove(key) else {
            return;
        };
        self.by_call.remove(&waiter.call);
        // The call may have been dropped.
        let _ = waiter.reply.send(Err(denial));
    }
}
