use {
    super::{OrderClaim, OrderClaims},
    crate::{
        board::{Endpoint, Fleet, Members, Role, Section, Tick},
        decide::{StageChange, placer_order, stage_changes},
        port::{Clock, ObjectStore, RoleOrder, RoleOrders, UpstreamError},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Name of the object that the lease is kept in.
const LEASE: &str = "stage-lease";

/// Term of the lease: longer than an engine takes to change and to be listed anew, so that nobody
/// acts on a fleet in which an ordered change is still to come.
const TERM: Duration = Duration::from_secs(8);

/// Part of the term in which orders are sent, so that those of two holders stay apart.
const ORDER_TIME: Duration = Duration::from_millis(1_500);

/// Time for one call to an engine.
const CALL_TIME: Duration = Duration::from_millis(400);

/// Time for which the fleet must not change before a difference is acted on: endpoints that start
/// together are listed one after the other.
const QUIET_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a difference is acted on although the fleet goes on changing.
const QUIET_MOST: Duration = Duration::from_secs(4);

/// Time for which engines that read prompts beyond the goal are left as they are: a change takes an
/// engine out for seconds, and others often leave or return meanwhile.
const SURPLUS_TIME: Duration = Duration::from_secs(10);

/// Time after the start of a daemon in which it takes no surplus for a passing one.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time that each daemon leaves to the one before it in the order of the pool.
const TURN_TIME: Duration = Duration::from_millis(500);

/// Longest time for which an engine that was ordered to change is taken to refuse everything: it
/// finishes its answers first.
const CHANGE_MOST: Duration = Duration::from_secs(20);

/// Wait before a lease that was not to be had is asked for again.
const HELD_WAIT: Duration = Duration::from_secs(4);

/// What the controller works with.
#[derive(Debug)]
pub struct StageParts<S, O, C> {
    /// Where the lease is kept.
    pub store: S,
    /// Engines.
    pub orders: O,
    /// Clock.
    pub clock: C,
    /// Name of this host and incarnation, which no other process shares.
    pub holder: String,
    /// Hundredths of the engines that are to read prompts.
    pub percent: usize,
    /// Endpoints.
    pub fleet: Section<Fleet>,
    /// Daemons, which act in an order of their own for each pool.
    pub members: Section<Members>,
}

/// Orders engines to read prompts or to decode, so that both kinds of work find their share.
///
/// Any daemon may act; a lease at the store keeps their orders apart.
#[derive(Debug)]
pub struct StageController<S, O, C>
where
    C: Clock,
{
    parts: StageParts<S, O, C>,
    claims: OrderClaims<S, C>,
    changed: Tick,
    uneven: Option<Tick>,
    start: Tick,
    rest: Tick,
}

impl<S, O, C> StageController<S, O, C>
where
    S: ObjectStore,
    O: RoleOrders,
    C: Clock,
{
    /// Creates the controller.
    pub fn new(parts: StageParts<S, O, C>) -> Self {
        let holder = parts.holder.clone();
        let claims = OrderClaims::new(parts.store.clone(), parts.clock.clone(), holder, TERM);
        let now = parts.clock.now();
        Self {
            parts,
            claims,
            changed: now,
            uneven: None,
            start: now,
            rest: now,
        }
    }

    /// Runs until the fleet has no writer any more.
    pub async fn run(mut self) {
        loop {
            let now = self.parts.clock.now();
            let due = self.due(now);
            let act = async {
                match due {
                    Some(due) => self.parts.clock.sleep(due - now).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = act => {
                    let wait = self.act().await;
                    self.rest = self.parts.clock.now() + wait;
                }
                more = self.parts.fleet.changed() => {
                    if !more {
                        return;
                    }
                    self.changed = self.parts.clock.now();
                }
            }
        }
    }

    /// When this daemon acts, if a pool is not as it should be.
    fn due(&mut self, now: Tick) -> Option<Tick> {
        let fleet = self.parts.fleet.load();
        let changes = |pool| stage_changes(&fleet, pool, self.parts.percent);
        let mut pools = fleet.pools.iter().map(|(key, pool)| (changes(key), pool));
        let Some((changes, pool)) = pools.find(|(changes, _)| !changes.is_empty()) else {
            self.uneven = None;
            return None;
        };
        let since = *self.uneven.get_or_insert(now);
        let surplus = changes.iter().any(|change| change.role == Role::Decode);
        let quiet = if surplus && now.since(self.start) > SETTLE_TIME {
            since + SURPLUS_TIME
        } else {
            (self.changed + QUIET_TIME).min(since + QUIET_MOST)
        };
        let due = quiet + TURN_TIME * self.turn(&pool.name);
        Some(due.max(self.rest))
    }

    /// Daemons that act on `pool` before this one.
    fn turn(&self, pool: &str) -> u32 {
        let members = self.parts.members.load();
        let now = self.parts.clock.unix_ms();
        let ranked = placer_order(pool, members.hosts.iter(), now);
        let before = ranked.iter().take_while(|key| **key != members.own);
        before.count() as u32
    }

    /// Orders what every pool needs; returns the time to wait before the next orders.
    async fn act(&self) -> Duration {
        let boot = self.parts.clock.since_boot();
        let claim = match self.claims.take(LEASE, 0, false).await {
            Ok(claim) => claim,
            Err(error) => {
                log::info!("engines stay as they are: {error}");
                return HELD_WAIT;
            }
        };
        log::info!(fence = claim.fence; "lease for orders taken");
        let fleet = self.parts.fleet.snapshot();
        let spent = || self.parts.clock.since_boot().saturating_sub(boot);
        let pools = fleet.pools.iter();
        let changes = pools.flat_map(|(pool, _)| stage_changes(&fleet, pool, self.parts.percent));
        for change in changes {
            let Some(endpoint) = fleet.endpoints.get(change.key) else {
                continue;
            };
            if spent() > ORDER_TIME {
                log::warn!(fence = claim.fence; "too little of the lease is left for orders");
                break;
            }
            self.order(&claim, endpoint, change).await;
        }
        self.parts.clock.sleep(TERM.saturating_sub(spent())).await;
        // The next holder need not wait until it has seen the term out.
        self.claims.release(&claim).await;
        QUIET_TIME
    }

    async fn order(&self, claim: &OrderClaim, endpoint: &Endpoint, change: StageChange) {
        let ordered = timeout(CALL_TIME, self.send(claim, endpoint, change)).await;
        let ordered = ordered.unwrap_or(Err(UpstreamError::Silent));
        let role = change.role;
        let name = endpoint.name.as_str();
        match ordered {
            Ok(true) => {
                log::info!(endpoint = name, role:? = role, fence = claim.fence; "ordered");
                let until = self.parts.clock.now() + CHANGE_MOST;
                endpoint.slot.traffic.turn_away(until);
            }
            Ok(false) => log::info!(endpoint = name, role:? = role; "already ordered"),
            Err(e) => log::warn!(endpoint = name, role:? = role; "the order failed: {e}"),
        }
    }

    /// Whether an order was needed and sent.
    async fn send(
        &self,
        claim: &OrderClaim,
        endpoint: &Endpoint,
        change: StageChange,
    ) -> Result<bool, UpstreamError> {
        let orders = &self.parts.orders;
        let state = orders.state(&endpoint.address, &endpoint.name).await?;
        if state.busy || state.role == change.role {
            return Ok(false);
        }
        let order = RoleOrder {
            address: endpoint.address.clone(),
            endpoint: endpoint.name.clone(),
            role: change.role,
            holder: self.parts.holder.clone(),
            fence: claim.fence,
            orders: state.orders,
        };
        orders.order(order).await?;
        Ok(true)
    }
}
