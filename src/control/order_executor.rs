use {
    super::{DescriptionSender, OrderError, OrderLease, OrderLeases, OrderSettings},
    crate::{
        board::{Endpoint, LoadedModels},
        decide::{is_covered, loaded},
        key::name_hash,
        port::{Clock, Description, Engine, Order, Platform},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Carries out one attempt to make an engine load what its plan requires.
#[derive(Clone, Debug)]
pub(super) struct OrderExecutor<P, E, C> {
    pub(super) leases: OrderLeases<P, C>,
    pub(super) engine: E,
    pub(super) clock: C,
    pub(super) settings: OrderSettings,
    pub(super) host: String,
    pub(super) descriptions: DescriptionSender,
}

impl<P, E, C> OrderExecutor<P, E, C>
where
    P: Platform,
    E: Engine,
    C: Clock,
{
    /// Acquires a load lease of the zone and the lease of the engine, sends the order, and passes the
    /// description that the engine returns to the fleet controller.
    ///
    /// Fails with the reason why the engine has not loaded `wanted`.
    pub(super) async fn execute(
        &self,
        endpoint: &Endpoint,
        wanted: &LoadedModels,
        revision: u64,
    ) -> Result<(), OrderError> {
        let load = self.acquire_load(&endpoint.zone).await?;
        let outcome = self.send(endpoint, wanted, revision).await;
        // After a lost response the engine may still be loading: the load lease is left to expire.
        if !may_run(&outcome) {
            self.leases.release(&load).await;
        }
        outcome
    }

    /// Acquires one of the leases that limit how many engines of `zone` load at once.
    ///
    /// Starts with the lease that this host prefers, so that hosts rarely contend for the same one.
    async fn acquire_load(&self, zone: &str) -> Result<OrderLease, OrderError> {
        let loads = u64::from(self.settings.loads.max(1));
        let first = name_hash(&self.host) % loads;
        let mut held = OrderError::Held(String::new());
        for number in 0..loads {
            let number = (first + number) % loads;
            let name = format!("orders/loads/{zone}/{number}");
            match self.leases.acquire(&name, 0, false).await {
                Err(error @ OrderError::Held(_)) => held = error,
                result => return result,
            }
        }
        Err(held)
    }

    /// Acquires the lease of the engine, sends the order and checks the description it returns.
    async fn send(
        &self,
        endpoint: &Endpoint,
        wanted: &LoadedModels,
        revision: u64,
    ) -> Result<(), OrderError> {
        let name = format!("orders/endpoints/{}", endpoint.name);
        let lease = self
            .leases
            .acquire(&name, revision, endpoint.fenced)
            .await?;
        let order = Order {
            fence: lease.fence,
            role: endpoint.role,
            models: wanted.models.clone(),
            adapters: wanted.adapters.iter().cloned().collect(),
        };
        let Self { engine, clock, .. } = self;
        let limit = self.settings.limit;
        let sent = send_order(engine, clock, &endpoint.address, &lease, &order, limit).await;
        if !may_run(&sent) {
            self.leases.release(&lease).await;
        }
        let description = sent?;
        let complete = loaded(&description).covers(wanted);
        self.descriptions.send(&endpoint.address, description).await;
        if complete {
            Ok(())
        } else {
            Err(OrderError::Incomplete)
        }
    }
}

/// Whether the engine may still be carrying out the order.
fn may_run<T>(outcome: &Result<T, OrderError>) -> bool {
    match outcome {
        Err(OrderError::TimedOut) => true,
        Err(OrderError::Engine(error)) => !error.is_not_run(),
        _ => false,
    }
}

/// Sends an order if the lease lasts beyond its time limit, checked immediately before the call.
///
/// Returns the description of the engine after the order. Fails with `LeaseExpiring` if nothing was
/// sent, with `TimedOut` after `limit`, and with `Engine` if the call fails.
pub async fn send_order<E, C>(
    engine: &E,
    clock: &C,
    address: &str,
    lease: &OrderLease,
    order: &Order,
    limit: Duration,
) -> Result<Description, OrderError>
where
    E: Engine,
    C: Clock,
{
    if !is_covered(lease.until, clock.now(), limit) {
        return Err(OrderError::LeaseExpiring);
    }
    let response = timeout(limit, engine.order(address, order)).await;
    let described = response.map_err(|_elapsed| OrderError::TimedOut)?;
    Ok(described?)
}
