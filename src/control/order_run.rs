use {
    super::{FleetNews, OrderClaim, OrderClaims, OrderError, OrderSettings},
    crate::{
        board::{Endpoint, Loaded},
        decide::{is_covered, loaded},
        key::name_hash,
        port::{Clock, Description, Engine, Order, Platform},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// What a try to bring one engine to its plan needs.
#[derive(Clone, Debug)]
pub(super) struct OrderRun<P, E, C> {
    pub(super) claims: OrderClaims<P, C>,
    pub(super) engine: E,
    pub(super) clock: C,
    pub(super) settings: OrderSettings,
    pub(super) host: String,
    pub(super) news: FleetNews,
}

impl<P, E, C> OrderRun<P, E, C>
where
    P: Platform,
    E: Engine,
    C: Clock,
{
    /// Takes a load of the zone and the engine's lease, sends the order and reads the state back.
    pub(super) async fn run(
        &self,
        endpoint: &Endpoint,
        wanted: &Loaded,
        revision: u64,
    ) -> Result<(), OrderError> {
        let load = self.load(&endpoint.zone).await?;
        let done = self.ordered(endpoint, wanted, revision).await;
        // The engine may still be loading after a lost answer: its load lapses with the lease.
        if !may_run(&done) {
            self.claims.release(&load).await;
        }
        done
    }

    /// Takes one of the loads that the zone may have at once, the host's preferred one first.
    async fn load(&self, zone: &str) -> Result<OrderClaim, OrderError> {
        let loads = u64::from(self.settings.loads.max(1));
        let first = name_hash(&self.host) % loads;
        let mut held = OrderError::Held(String::new());
        for number in 0..loads {
            let number = (first + number) % loads;
            let name = format!("orders/loads/{zone}/{number}");
            match self.claims.take(&name, 0, false).await {
                Err(error @ OrderError::Held(_)) => held = error,
                taken => return taken,
            }
        }
        Err(held)
    }

    async fn ordered(
        &self,
        endpoint: &Endpoint,
        wanted: &Loaded,
        revision: u64,
    ) -> Result<(), OrderError> {
        let name = format!("orders/endpoints/{}", endpoint.name);
        let claim = self.claims.take(&name, revision, endpoint.fenced).await?;
        let order = Order {
            fence: claim.fence,
            role: endpoint.role,
            models: wanted.models.clone(),
            adapters: wanted.adapters.iter().cloned().collect(),
        };
        let Self { engine, clock, .. } = self;
        let limit = self.settings.limit;
        let sent = send_order(engine, clock, &endpoint.address, &claim, &order, limit).await;
        if !may_run(&sent) {
            self.claims.release(&claim).await;
        }
        let description = sent?;
        let met = loaded(&description).covers(wanted);
        self.news.tell(&endpoint.address, description).await;
        if met { Ok(()) } else { Err(OrderError::Unmet) }
    }
}

/// Whether the engine may still be carrying out the order.
fn may_run<T>(outcome: &Result<T, OrderError>) -> bool {
    match outcome {
        Err(OrderError::Late) => true,
        Err(OrderError::Engine(error)) => !error.is_not_run(),
        _ => false,
    }
}

/// Sends an order if it ends inside the lease; the check is the last step before the call.
pub async fn send_order<E, C>(
    engine: &E,
    clock: &C,
    address: &str,
    claim: &OrderClaim,
    order: &Order,
    limit: Duration,
) -> Result<Description, OrderError>
where
    E: Engine,
    C: Clock,
{
    if !is_covered(claim.until, clock.now(), limit) {
        return Err(OrderError::Lapsed);
    }
    let answer = timeout(limit, engine.order(address, order)).await;
    let described = answer.map_err(|_elapsed| OrderError::Late)?;
    Ok(described?)
}
