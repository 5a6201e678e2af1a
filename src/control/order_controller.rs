use {
    super::{FleetNews, OrderClaims, OrderError, OrderSettings, order_run::OrderRun},
    crate::{
        board::{Blackboard, Endpoint, Loaded, OrderStatus, Orders, Tick, Writer},
        decide::{jitter, order_plan},
        key::EndpointKey,
        port::{Clock, Engine, Platform},
    },
    rand::rngs::SmallRng,
    slotmap::SecondaryMap,
    std::{collections::BTreeMap, time::Duration},
    tokio::{select, task::JoinSet},
};

/// Longest sleep when every owned engine is as planned.
const IDLE_WAIT: Duration = Duration::from_mins(1);

/// What the controller is built on.
#[derive(Debug)]
pub struct OrderParts<P, E, C> {
    /// The platform.
    pub platform: P,
    /// Engines.
    pub engine: E,
    /// Clock.
    pub clock: C,
    /// Bounds.
    pub settings: OrderSettings,
    /// Name of this host.
    pub host: String,
    /// Start time of this daemon in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sections that are read.
    pub board: Blackboard,
    /// Where new descriptions are told.
    pub news: FleetNews,
    /// Spreads the tries.
    pub rng: SmallRng,
}

/// Brings the engines that this host owns to what the sheet in force asks them to have loaded.
#[derive(Debug)]
pub struct OrderController<P, E, C> {
    run: OrderRun<P, E, C>,
    board: Blackboard,
    rng: SmallRng,
    orders: Writer<Orders>,
    tries: SecondaryMap<EndpointKey, Tries>,
    running: JoinSet<(EndpointKey, Result<(), OrderError>)>,
}

/// Tries at one engine that is not as planned.
#[derive(Clone, Debug, Default)]
struct Tries {
    running: bool,
    failed: u32,
    reason: String,
    due: Tick,
}

/// An owned engine that is not as planned.
#[derive(Debug)]
struct Open {
    key: EndpointKey,
    endpoint: Endpoint,
    wanted: Loaded,
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
        let claims = OrderClaims::new(parts.platform, parts.clock.clone(), holder, term);
        let run = OrderRun {
            claims,
            engine: parts.engine,
            clock: parts.clock,
            settings: parts.settings,
            host: parts.host,
            news: parts.news,
        };
        Self {
            run,
            board: parts.board,
            rng: parts.rng,
            orders,
            tries: SecondaryMap::new(),
            running: JoinSet::new(),
        }
    }

    /// Runs until a section that it reads has no writer any more; at once without loads.
    pub async fn run(mut self) {
        if self.run.settings.loads == 0 {
            return;
        }
        loop {
            let open = self.open();
            self.tries
                .retain(|key, tries| tries.running || open.iter().any(|open| open.key == key));
            self.start(&open);
            self.publish(&open);
            let wait = self.wait(&open);
            let more = select! {
                more = self.board.sheet.changed() => more,
                more = self.board.fleet.changed() => more,
                more = self.board.owners.changed() => more,
                Some(done) = self.running.join_next() => {
                    if let Ok((key, outcome)) = done {
                        self.ended(key, outcome);
                    }
                    true
                }
                () = self.run.clock.sleep(wait) => true,
            };
            if !more {
                return;
            }
        }
    }

    /// Owned engines that are not as planned.
    fn open(&self) -> Vec<Open> {
        let fleet = self.board.fleet.load();
        let owners = self.board.owners.load();
        let own = self.board.members.load().own;
        let plan = order_plan(&self.board.sheet.load(), &fleet);
        let open = plan.into_iter().filter_map(|(key, wanted)| {
            let endpoint = fleet.endpoints.get(key)?;
            let owned = owners.by_endpoint.get(key)?.owner == own;
            let open = owned && !endpoint.leaving && !endpoint.loaded.covers(&wanted);
            open.then(|| Open {
                key,
                endpoint: endpoint.clone(),
                wanted,
            })
        });
        open.collect()
    }

    /// Starts the tries that are due.
    fn start(&mut self, open: &[Open]) {
        let now = self.run.clock.now();
        let revision = self.board.sheet.load().revision;
        for open in open {
            let Some(entry) = self.tries.entry(open.key) else {
                continue;
            };
            let tries = entry.or_default();
            if tries.running || tries.due > now {
                continue;
            }
            tries.running = true;
            let (key, endpoint) = (open.key, open.endpoint.clone());
            let (run, wanted) = (self.run.clone(), open.wanted.clone());
            self.running
                .spawn(async move { (key, run.run(&endpoint, &wanted, revision).await) });
        }
    }

    fn ended(&mut self, key: EndpointKey, outcome: Result<(), OrderError>) {
        let pause = jitter(self.run.settings.retry, &mut self.rng);
        let due = self.run.clock.now() + pause;
        let Some(tries) = self.tries.get_mut(key) else {
            return;
        };
        tries.running = false;
        tries.due = due;
        tries.reason = String::new();
        if let Err(error) = outcome {
            tries.failed += 1;
            tries.reason = error.to_string();
        }
    }

    /// Time until the next try is due.
    fn wait(&self, open: &[Open]) -> Duration {
        let now = self.run.clock.now();
        let tries = open.iter().filter_map(|open| self.tries.get(open.key));
        let due = tries.filter(|tries| !tries.running);
        let first = due.map(|tries| tries.due.since(now)).min();
        first.unwrap_or(IDLE_WAIT)
    }

    /// Publishes a difference only.
    fn publish(&mut self, open: &[Open]) {
        let status = |open: &Open| {
            let tries = self.tries.get(open.key).cloned().unwrap_or_default();
            OrderStatus {
                endpoint: open.endpoint.name.clone(),
                models: open.wanted.models.clone(),
                adapters: open.wanted.adapters.iter().cloned().collect(),
                running: tries.running,
                failed: tries.failed,
                reason: tries.reason,
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
