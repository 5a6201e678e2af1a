use {
    super::{
        endpoint_view::EndpointView,
        grant_table::{GrantEntry, GrantTable},
        line_mail::Ticket,
        line_places::{LinePlaces, limit},
        waiter::Waiter,
    },
    crate::{
        board::{Arena, Blackboard, Role, Tick},
        decide::{FairShare, LATE_TURN, Place, Rank, Waiting, late_rank, rank},
        key::{AttemptId, BranchKey, EndpointKey, GrantKey, PoolKey, WaitKey},
        port::{Denial, Grant, GrantAsk},
    },
    slotmap::{SecondaryMap, SlotMap},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
    tokio::sync::oneshot::Sender,
};

/// Asks that may wait in one owner.
const LINE_MAX: usize = 4096;

/// Waiting lines and grants of one owner; every method is free of I/O.
#[derive(Debug, Default)]
pub(super) struct LineState {
    pub(super) waiting: SlotMap<WaitKey, Waiter>,
    by_ticket: HashMap<Ticket, WaitKey>,
    pub(super) grants: GrantTable,
    pub(super) views: SecondaryMap<EndpointKey, EndpointView>,
    shares: Arena<BranchKey, FairShare>,
    pub(super) orphans: Vec<GrantKey>,
    turn: u64,
    closed: bool,
}

impl LineState {
    /// Puts an ask in line, or denies it at once.
    pub(super) fn join(
        &mut self,
        board: &Blackboard,
        ask: GrantAsk,
        ticket: Ticket,
        reply: Sender<Result<Grant, Denial>>,
        now: Tick,
    ) {
        let places = LinePlaces::new(board);
        let pool = places.fleet.pools.find(&ask.pool);
        let served = pool.filter(|pool| places.may_serve(*pool, &ask, &self.views, now));
        let denial = match served {
            _ if self.closed => Denial::Stopping,
            None => Denial::NotOwner,
            Some(_) if self.waiting.len() >= LINE_MAX => Denial::Full,
            Some(pool) => {
                self.push(ask, ticket, reply, pool, now);
                return;
            }
        };
        // The caller may have gone.
        let _ = reply.send(Err(denial));
    }

    /// Removes an ask whose call was dropped, or gives back the grant that raced with the drop.
    pub(super) fn abandon(&mut self, ticket: Ticket, now: Tick) {
        if let Some(key) = self.by_ticket.remove(&ticket) {
            self.waiting.remove(key);
        }
        if let Some(key) = self.grants.answered(ticket) {
            self.free(key, now);
        }
    }

    /// Removes every ask and every grant of an attempt.
    pub(super) fn withdraw(&mut self, attempt: AttemptId, now: Tick) {
        let asks = self.waiting.iter();
        let found = asks.filter(|(_, waiter)| waiter.ask.attempt == attempt);
        let keys: Vec<WaitKey> = found.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::Late);
        }
        for key in self.grants.select(|entry| entry.attempt == attempt) {
            self.free(key, now);
        }
    }

    /// Denies the asks whose time has passed.
    pub(super) fn expire(&mut self, now: Tick) {
        let asks = self.waiting.iter();
        let found = asks.filter(|(_, waiter)| waiter.expires <= now);
        let keys: Vec<WaitKey> = found.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::Late);
        }
    }

    /// Returns the time until the earliest deadline.
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

    /// Denies all asks, now and from now on.
    pub(super) fn close(&mut self) {
        self.closed = true;
        let keys: Vec<WaitKey> = self.waiting.keys().collect();
        for key in keys {
            self.deny(key, Denial::Stopping);
        }
    }

    /// Follows changes of the fleet, the owners and the members.
    pub(super) fn follow(&mut self, board: &Blackboard, now: Tick) {
        let places = LinePlaces::new(board);
        self.follow_endpoints(&places, now);
        self.follow_members(&board.members.load(), now);
        self.send_away(&places, now);
    }

    /// Denies the asks that no endpoint here may serve, so that they go to other owners.
    pub(super) fn send_away(&mut self, places: &LinePlaces, now: Tick) {
        let lost = self
            .waiting
            .iter()
            .filter(|(_, waiter)| !places.may_serve(waiter.pool, &waiter.ask, &self.views, now));
        let keys: Vec<WaitKey> = lost.map(|(key, _)| key).collect();
        for key in keys {
            self.deny(key, Denial::NotOwner);
        }
    }

    /// Grants what can be granted, pool by pool in the order of the lines.
    pub(super) fn serve(&mut self, board: &Blackboard, now: Tick) {
        if self.waiting.is_empty() {
            return;
        }
        let places = LinePlaces::new(board);
        let lines: BTreeSet<(PoolKey, Role)> = self
            .waiting
            .values()
            .map(|waiter| (waiter.pool, waiter.ask.role))
            .collect();
        for (pool, role) in lines {
            while self.serve_one(&places, pool, role, now) {}
        }
    }

    /// Grants one place of a pool; `false` if nothing fits.
    fn serve_one(&mut self, places: &LinePlaces, pool: PoolKey, role: Role, now: Tick) -> bool {
        for key in self.ordered(places, pool, role, now) {
            let waiter = &self.waiting[key];
            let Some((place, pieces)) = places.choose(waiter, &self.views, &self.grants, now)
            else {
                continue;
            };
            if self.grant(places, key, &place, pieces, now) {
                return true;
            }
        }
        false
    }

    /// Returns the waiting asks of a line, the first to be served first.
    fn ordered(&self, places: &LinePlaces, pool: PoolKey, role: Role, now: Tick) -> Vec<WaitKey> {
        let mean = self.mean_share(now);
        let late = self.turn % LATE_TURN == LATE_TURN - 1;
        let asks = self.waiting.iter();
        let line = asks.filter(|(_, waiter)| waiter.pool == pool && waiter.ask.role == role);
        let mut ranked: Vec<(Rank, WaitKey)> = line
            .map(|(key, waiter)| {
                let waiting = self.describe(places, waiter, mean, now);
                let order = if late { late_rank } else { rank };
                (order(&waiting, now), key)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    /// Describes a waiter to the order of the queue.
    fn describe(&self, places: &LinePlaces, waiter: &Waiter, mean: f64, now: Tick) -> Waiting {
        let used = self.shares.get(waiter.branch).map(|share| share.used(now));
        Waiting {
            arrived: waiter.arrived,
            priority: waiter.ask.priority,
            due: waiter.due,
            work: self.work(places, waiter),
            share: used.unwrap_or_default() / mean,
        }
    }

    /// Predicted time to compute the prompt; the owner of a decode place cannot tell.
    fn work(&self, places: &LinePlaces, waiter: &Waiter) -> Duration {
        let ask = &waiter.ask;
        if ask.role != Role::Prefill {
            return Duration::ZERO;
        }
        let owned = places.usable(waiter.pool, ask);
        let views = owned.filter_map(|(key, _)| self.views.get(key));
        let times = views.map(|view| {
            let cached = view.cached(&ask.prefixes, ask.prompt_tokens);
            view.fit.predict(f64::from(ask.prompt_tokens - cached))
        });
        times.min().unwrap_or_default()
    }

    /// Mean use over the branches that have used anything lately.
    fn mean_share(&self, now: Tick) -> f64 {
        let total: f64 = self.shares.iter().map(|(_, share)| share.used(now)).sum();
        (total / self.shares.len().max(1) as f64).max(1.0)
    }

    /// Takes the memory and answers the call; `false` if the memory was not to be had.
    fn grant(
        &mut self,
        places: &LinePlaces,
        key: WaitKey,
        place: &Place,
        pieces: u32,
        now: Tick,
    ) -> bool {
        let Some(endpoint) = places.fleet.endpoints.get(place.endpoint) else {
            return false;
        };
        if !endpoint.slot.try_take(pieces, limit(endpoint)) {
            return false;
        }
        let Some(waiter) = self.waiting.remove(key) else {
            endpoint.slot.give_back(pieces);
            return false;
        };
        self.by_ticket.remove(&waiter.ticket);
        self.turn += 1;
        if let Some(share) = self.shares.get_mut(waiter.branch) {
            share.add(f64::from(pieces), now);
        }
        let uncached = waiter.ask.prompt_tokens.saturating_sub(place.cached);
        let grant = self.grants.insert(GrantEntry {
            attempt: waiter.ask.attempt,
            endpoint: place.endpoint,
            address: endpoint.address.clone(),
            slot: std::sync::Arc::clone(&endpoint.slot),
            role: endpoint.role,
            pieces,
            ticket: Some(waiter.ticket),
            since: now,
            work: place.unit * uncached,
            prefixes: if endpoint.role == Role::Prefill {
                waiter.ask.prefixes
            } else {
                Vec::new()
            },
            suspect: waiter.ask.suspect,
            seen: None,
            cancel: None,
        });
        let answer = Grant {
            attempt: waiter.ask.attempt,
            endpoint: endpoint.name.clone(),
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            pieces,
            cached: place.cached,
        };
        if waiter.reply.send(Ok(answer)).is_err() {
            self.free(grant, now);
        }
        true
    }

    /// Adds a waiter.
    fn push(
        &mut self,
        ask: GrantAsk,
        ticket: Ticket,
        reply: Sender<Result<Grant, Denial>>,
        pool: PoolKey,
        now: Tick,
    ) {
        let known = self.shares.find(&ask.branch);
        let branch = known.unwrap_or_else(|| {
            let share = FairShare::default();
            self.shares.insert(&ask.branch, share)
        });
        let waiter = Waiter {
            ticket,
            reply,
            pool,
            branch,
            arrived: now,
            due: now + ask.first_token,
            expires: now + ask.remaining,
            ask,
        };
        let key = self.waiting.insert(waiter);
        self.by_ticket.insert(ticket, key);
    }

    /// Removes a waiter and tells it why.
    fn deny(&mut self, key: WaitKey, denial: Denial) {
        let Some(waiter) = self.waiting.remove(key) else {
            return;
        };
        self.by_ticket.remove(&waiter.ticket);
        // The caller may have gone.
        let _ = waiter.reply.send(Err(denial));
    }
}
