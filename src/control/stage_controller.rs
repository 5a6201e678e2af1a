use {
    super::{OrderClaim, OrderClaims},
    crate::{
        board::{Endpoint, Fleet, Section},
        decide::{StageChange, stage_changes},
        key::PoolKey,
        port::{Clock, ObjectStore, RoleOrder, RoleOrders, UpstreamError},
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
    tokio::time::timeout,
};

/// Name of the object that the lease is kept in.
const LEASE: &str = "stage-lease";

/// Term of the lease.
const TERM: Duration = Duration::from_secs(6);

/// Part of the term in which orders are sent, so that those of two holders stay apart.
const ORDER_TIME: Duration = Duration::from_millis(1_500);

/// Time for one call to an engine.
const CALL_TIME: Duration = Duration::from_millis(400);

/// Time for which the fleet must not change before a difference is acted on: endpoints that start
/// together are listed one after the other.
const QUIET_TIME: Duration = Duration::from_millis(1_200);

/// Time for an engine to change, within which nothing further is ordered.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// Wait before a lease that another host holds is asked for again.
const HELD_WAIT: Duration = Duration::from_millis(6_500);

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
    /// Randomness.
    pub rng: SmallRng,
}

/// Orders engines to read prompts or to decode, so that both kinds of work find their share.
///
/// Any daemon may act; a lease at the store keeps their orders apart.
#[derive(Debug)]
pub struct StageController<S, O, C> {
    parts: StageParts<S, O, C>,
    claims: OrderClaims<S, C>,
    wait: Duration,
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
        Self {
            parts,
            claims,
            wait: QUIET_TIME,
        }
    }

    /// Runs until the fleet has no writer any more.
    pub async fn run(mut self) {
        loop {
            let Some(pool) = self.uneven() else {
                if !self.parts.fleet.changed().await {
                    return;
                }
                continue;
            };
            let wait = self.wait.mul_f64(self.parts.rng.random_range(1.0..1.5));
            tokio::select! {
                () = self.parts.clock.sleep(wait) => self.wait = self.act(pool).await,
                more = self.parts.fleet.changed() => {
                    if !more {
                        return;
                    }
                }
            }
        }
    }

    /// A pool that is not as it should be.
    fn uneven(&self) -> Option<PoolKey> {
        let fleet = self.parts.fleet.load();
        let mut pools = fleet.pools.iter().map(|(key, _)| key);
        pools.find(|pool| !stage_changes(&fleet, *pool, self.parts.percent).is_empty())
    }

    /// Orders the changes of `pool`; returns the time to wait before the next ones.
    async fn act(&self, pool: PoolKey) -> Duration {
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
        for change in stage_changes(&fleet, pool, self.parts.percent) {
            let Some(endpoint) = fleet.endpoints.get(change.key) else {
                continue;
            };
            let spent = self.parts.clock.since_boot().saturating_sub(boot);
            if spent > ORDER_TIME {
                log::warn!(fence = claim.fence; "too little of the lease is left for orders");
                break;
            }
            self.order(&claim, endpoint, change).await;
        }
        CHANGE_TIME
    }

    async fn order(&self, claim: &OrderClaim, endpoint: &Endpoint, change: StageChange) {
        let ordered = timeout(CALL_TIME, self.send(claim, endpoint, change)).await;
        let ordered = ordered.unwrap_or(Err(UpstreamError::Silent));
        let role = change.role;
        let name = endpoint.name.as_str();
        match ordered {
            Ok(true) => log::info!(endpoint = name, role:? = role, fence = claim.fence; "ordered"),
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
