use {
    super::{OrderLease, OrderLeases},
    crate::{
        board::{Endpoint, Fleet, Members, Role, Section, Tick},
        decide::{StageChange, placer_order, stage_changes},
        port::{Clock, ObjectStore, RoleOrder, RoleOrders, UpstreamError},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Name of the object in the store that holds the lease.
const LEASE_OBJECT: &str = "stage-lease";

/// Term of the lease: longer than an engine takes to change its role and to be listed again, so
/// that no daemon acts on a fleet in which an ordered change is still missing.
const LEASE_TERM: Duration = Duration::from_secs(8);

/// Part of the term in which orders are sent, so that the orders of two holders do not overlap.
const ORDER_WINDOW: Duration = Duration::from_millis(1_500);

/// Time limit for reading the state of an engine and ordering its change.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which the fleet must not change before roles are corrected: endpoints that start
/// together are listed one after the other.
const STABLE_TIME: Duration = Duration::from_millis(1_200);

/// Time after which roles are corrected although the fleet keeps changing.
const MAX_STABLE_WAIT: Duration = Duration::from_secs(4);

/// Time for which surplus prefill engines keep their role: a change takes an engine out of service
/// for seconds, and others often leave or return meanwhile.
const SURPLUS_DELAY: Duration = Duration::from_secs(10);

/// Time after the start of a daemon in which it does not wait `SURPLUS_DELAY` before it corrects a
/// surplus.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Delay for each daemon that ranks before this one for the pool, so that the first one acts first.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// Longest time for which an engine that was ordered to change gets no requests: it refuses new
/// ones while it finishes its responses.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(20);

/// Delay before the lease is requested again after it could not be acquired.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Ports, settings and sections of a stage controller.
#[derive(Debug)]
pub struct StageParts<S, O, C> {
    /// Store that holds the lease.
    pub store: S,
    /// Port over which engines receive orders.
    pub orders: O,
    /// Source of time and sleep.
    pub clock: C,
    /// Identity of this process as lease holder: host name and incarnation, shared with no other.
    pub holder: String,
    /// Share of the engines of a pool that are to prefill, in percent.
    pub prefill_percent: usize,
    /// Endpoints and pools.
    pub fleet: Section<Fleet>,
    /// Daemons; for each pool they rank in an order of their own.
    pub members: Section<Members>,
}

/// Orders engines to prefill or to decode, so that each pool has the configured share of prefill
/// engines.
///
/// Any daemon may act; a lease in the store lets one at a time send orders.
#[derive(Debug)]
pub struct StageController<S, O, C>
where
    C: Clock,
{
    parts: StageParts<S, O, C>,
    leases: OrderLeases<S, C>,
    /// When the fleet last changed.
    fleet_changed: Tick,
    /// Since when some pool has not had its share; none if all have.
    mismatch_since: Option<Tick>,
    /// When the controller was created.
    started: Tick,
    /// Earliest time for the next orders.
    not_before: Tick,
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
        let leases = OrderLeases::new(parts.store.clone(), parts.clock.clone(), holder, LEASE_TERM);
        let now = parts.clock.now();
        Self {
            parts,
            leases,
            fleet_changed: now,
            mismatch_since: None,
            started: now,
            not_before: now,
        }
    }

    /// Runs until the writer of the fleet has been dropped.
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
                    self.not_before = self.parts.clock.now() + wait;
                }
                open = self.parts.fleet.changed() => {
                    if !open {
                        return;
                    }
                    self.fleet_changed = self.parts.clock.now();
                }
            }
        }
    }

    /// Returns when this daemon is to act; `None` while every pool has its share.
    fn due(&mut self, now: Tick) -> Option<Tick> {
        let fleet = self.parts.fleet.load();
        let changes = |pool| stage_changes(&fleet, pool, self.parts.prefill_percent);
        let mut pools = fleet.pools.iter().map(|(key, pool)| (changes(key), pool));
        let Some((changes, pool)) = pools.find(|(changes, _)| !changes.is_empty()) else {
            self.mismatch_since = None;
            return None;
        };
        let since = *self.mismatch_since.get_or_insert(now);
        let surplus = changes.iter().any(|change| change.role == Role::Decode);
        let settled = if surplus && now.since(self.started) > STARTUP_TIME {
            since + SURPLUS_DELAY
        } else {
            (self.fleet_changed + STABLE_TIME).min(since + MAX_STABLE_WAIT)
        };
        let due = settled + RANK_DELAY * self.rank(&pool.name);
        Some(due.max(self.not_before))
    }

    /// Returns the number of daemons that rank before this one for `pool`.
    fn rank(&self, pool: &str) -> u32 {
        let members = self.parts.members.load();
        let now = self.parts.clock.unix_ms();
        let ranked = placer_order(pool, members.hosts.iter(), now);
        let before = ranked.iter().take_while(|key| **key != members.own);
        before.count() as u32
    }

    /// Acquires the lease and orders what every pool needs.
    ///
    /// Returns the time to wait before the next orders. The lease is held for its full term, unless
    /// it could not be acquired.
    async fn act(&self) -> Duration {
        let start = self.parts.clock.since_boot();
        let lease = match self.leases.acquire(LEASE_OBJECT, 0, false).await {
            Ok(lease) => lease,
            Err(error) => {
                log::info!("no lease for role orders; engines keep their roles: {error}");
                return LEASE_RETRY_DELAY;
            }
        };
        log::info!(fence = lease.fence; "lease for role orders acquired");
        let fleet = self.parts.fleet.snapshot();
        let elapsed = || self.parts.clock.since_boot().saturating_sub(start);
        let pools = fleet.pools.iter();
        let changes =
            pools.flat_map(|(pool, _)| stage_changes(&fleet, pool, self.parts.prefill_percent));
        for change in changes {
            let Some(endpoint) = fleet.endpoints.get(change.key) else {
                continue;
            };
            if elapsed() > ORDER_WINDOW {
                log::warn!(fence = lease.fence; "order window is over; remaining orders not sent");
                break;
            }
            self.order(&lease, endpoint, change).await;
        }
        self.parts
            .clock
            .sleep(LEASE_TERM.saturating_sub(elapsed()))
            .await;
        // Otherwise the next holder would have to observe the lease until it expires.
        self.leases.release(&lease).await;
        STABLE_TIME
    }

    /// Orders one engine to change and logs the outcome.
    ///
    /// An ordered engine gets no requests for up to `MAX_CHANGE_TIME`.
    async fn order(&self, lease: &OrderLease, endpoint: &Endpoint, change: StageChange) {
        let ordered = timeout(CALL_TIMEOUT, self.send(lease, endpoint, change)).await;
        let ordered = ordered.unwrap_or(Err(UpstreamError::TimedOut));
        let role = change.role;
        let name = endpoint.name.as_str();
        match ordered {
            Ok(true) => {
                log::info!(endpoint = name, role:? = role, fence = lease.fence; "ordered");
                let until = self.parts.clock.now() + MAX_CHANGE_TIME;
                endpoint.counters.traffic.expect_refusals(until);
            }
            Ok(false) => log::info!(
                endpoint = name,
                role:? = role;
                "engine has the role already or is changing; no order sent"
            ),
            Err(e) => log::warn!(
                endpoint = name,
                role:? = role;
                "role order failed; engine keeps its role unless the order arrived: {e}"
            ),
        }
    }

    /// Sends the order unless the engine is busy with another one or has the role already; returns
    /// whether it was sent.
    ///
    /// Fails if the engine cannot be reached or refuses the order.
    async fn send(
        &self,
        lease: &OrderLease,
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
            fence: lease.fence,
            accepted_orders: state.accepted_orders,
        };
        orders.order(order).await?;
        Ok(true)
    }
}
