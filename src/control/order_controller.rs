use {
    super::{
        DescriptionSender, OrderError, OrderLeases, OrderSettings, order_executor::OrderExecutor,
    },
    crate::{
        board::{Blackboard, Endpoint, LoadedModels, OrderStatus, Orders, Tick, Writer},
        decide::{jitter, order_plan},
        key::EndpointKey,
        port::{Clock, Engine, Platform},
    },
    rand::rngs::SmallRng,
    slotmap::SecondaryMap,
    std::{collections::BTreeMap, time::Duration},
    tokio::{select, task::JoinSet},
};

/// Sleep while no attempt is scheduled; changes of the sections end it earlier.
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// Dependencies and settings of the order controller.
#[derive(Debug)]
pub struct OrderParts<P, E, C> {
    /// Platform, which holds the leases.
    pub platform: P,
    /// Client for calls to engines.
    pub engine: E,
    /// Clock, by which leases expire and attempts become due.
    pub clock: C,
    /// Limits and intervals of orders.
    pub settings: OrderSettings,
    /// Name of this host.
    pub host: String,
    /// Start time of this daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Blackboard from which the sheet, the fleet, the owners and the members are read.
    pub board: Blackboard,
    /// Channel to the fleet controller for the new descriptions of engines.
    pub descriptions: DescriptionSender,
    /// Source of the jitter of the pauses between attempts.
    pub rng: SmallRng,
}

/// Orders the engines that this host owns to load what the sheet in force requires.
///
/// Writes the `orders` section: the engines that have not loaded it yet.
#[derive(Debug)]
pub struct OrderController<P, E, C> {
    executor: OrderExecutor<P, E, C>,
    board: Blackboard,
    rng: SmallRng,
    orders: Writer<Orders>,
    attempts: SecondaryMap<EndpointKey, AttemptState>,
    running: JoinSet<(EndpointKey, Result<(), OrderError>)>,
}

/// State of the attempts at one engine whose loaded models differ from the plan.
#[derive(Clone, Debug, Default)]
struct AttemptState {
    /// Whether an attempt is in progress.
    running: bool,
    /// Number of failed attempts.
    failed: u32,
    /// Why the last attempt failed; empty after a success.
    reason: String,
    /// Earliest start of the next attempt.
    due: Tick,
}

/// An owned engine that has not loaded what the plan requires.
#[derive(Debug)]
struct OpenOrder {
    key: EndpointKey,
    endpoint: Endpoint,
    wanted: LoadedModels,
}

impl<P, E, C> OrderController<P, E, C>
where
    P: Platform,
    E: Engine,
    C: Clock,
{
    /// Creates the controller.
    pub fn new(parts: OrderParts<P, E, C>, orders: Writer<Orders>) -> Self {
        let holder = format!("{}-{}", parts.host, parts.incarnation);
        let term = parts.settings.term;
        let leases = OrderLeases::new(parts.platform, parts.clock.clone(), holder, term);
        let executor = OrderExecutor {
            leases,
            engine: parts.engine,
            clock: parts.clock,
            settings: parts.settings,
            host: parts.host,
            descriptions: parts.descriptions,
        };
        Self {
            executor,
            board: parts.board,
            rng: parts.rng,
            orders,
            attempts: SecondaryMap::new(),
            running: JoinSet::new(),
        }
    }

    /// Runs until the writer of a section that it reads is dropped; returns at once if the settings
    /// disable orders.
    pub async fn run(mut self) {
        if self.executor.settings.loads == 0 {
            return;
        }
        loop {
            let open = self.open_orders();
            self.attempts.retain(|key, attempts| {
                attempts.running || open.iter().any(|open| open.key == key)
            });
            self.start(&open);
            self.publish(&open);
            let wait = self.time_until_due(&open);
            let more = select! {
                more = self.board.sheet.changed() => more,
                more = self.board.fleet.changed() => more,
                more = self.board.owners.changed() => more,
                Some(done) = self.running.join_next() => {
                    if let Ok((key, outcome)) = done {
                        self.record_outcome(key, outcome);
                    }
                    true
                }
                () = self.executor.clock.sleep(wait) => true,
            };
            if !more {
                return;
            }
        }
    }

    /// Returns the owned engines that have not loaded what the plan requires.
    ///
    /// Engines that are being drained are left out.
    fn open_orders(&self) -> Vec<OpenOrder> {
        let fleet = self.board.fleet.load();
        let owners = self.board.owners.load();
        let own = self.board.members.load().own;
        let plan = order_plan(&self.board.sheet.load(), &fleet);
        let open = plan.into_iter().filter_map(|(key, wanted)| {
            let endpoint = fleet.endpoints.get(key)?;
            let owned = owners.by_endpoint.get(key)?.owner == own;
            let open = owned && !endpoint.draining && !endpoint.loaded.covers(&wanted);
            open.then(|| OpenOrder {
                key,
                endpoint: endpoint.clone(),
                wanted,
            })
        });
        open.collect()
    }

    /// Starts the attempts that are due.
    fn start(&mut self, open: &[OpenOrder]) {
        let now = self.executor.clock.now();
        let revision = self.board.sheet.load().revision;
        for open in open {
            let Some(entry) = self.attempts.entry(open.key) else {
                continue;
            };
            let attempts = entry.or_default();
            if attempts.running || attempts.due > now {
                continue;
            }
            attempts.running = true;
            let (key, endpoint) = (open.key, open.endpoint.clone());
            let (executor, wanted) = (self.executor.clone(), open.wanted.clone());
            self.running
                .spawn(async move { (key, executor.execute(&endpoint, &wanted, revision).await) });
        }
    }

    /// Records the outcome of an attempt and when the next one is due.
    fn record_outcome(&mut self, key: EndpointKey, outcome: Result<(), OrderError>) {
        let pause = jitter(self.executor.settings.retry, &mut self.rng);
        let due = self.executor.clock.now() + pause;
        let Some(attempts) = self.attempts.get_mut(key) else {
            return;
        };
        attempts.running = false;
        attempts.due = due;
        attempts.reason = String::new();
        if let Err(error) = outcome {
            attempts.failed += 1;
            attempts.reason = error.to_string();
        }
    }

    /// Returns the time until the next attempt is due; `IDLE_WAIT` if none is.
    fn time_until_due(&self, open: &[OpenOrder]) -> Duration {
        let now = self.executor.clock.now();
        let attempts = open.iter().filter_map(|open| self.attempts.get(open.key));
        let due = attempts.filter(|attempts| !attempts.running);
        let first = due.map(|attempts| attempts.due.since(now)).min();
        first.unwrap_or(IDLE_WAIT)
    }

    /// Publishes the open orders if they have changed.
    fn publish(&mut self, open: &[OpenOrder]) {
        let status = |open: &OpenOrder| {
            let attempts = self.attempts.get(open.key).cloned().unwrap_or_default();
            OrderStatus {
                endpoint: open.endpoint.name.clone(),
                models: open.wanted.models.clone(),
                adapters: open.wanted.adapters.iter().cloned().collect(),
                running: attempts.running,
                failed: attempts.failed,
                reason: attempts.reason,
            }
        };
        let rows = open.iter().map(status);
        let open: BTreeMap<_, _> = rows.map(|row| (row.endpoint.clone(), row)).collect();
        let changed = self.orders.load().open != open;
        if changed {
            self.orders.publish(Orders { open });
        }
    }
}
