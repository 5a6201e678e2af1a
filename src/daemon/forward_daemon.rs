use {
    crate::{
        board::{Blackboard, Counters, FeedLog, LearntLimits, Routing, section},
        border::PeerClient,
        control::{
            AllocationController, AllocationHandle, FeedCounters, FeedFollower, FeedLinks,
            FeedRelay, HealthHandle, MemberRosterController, MemberRosterParts, PlacementRouter,
            QuotaController, QuotaCounters, QuotaHandle, QuotaParts, ReadinessController,
            ReadinessParts, RefusalController, Registration, RelayedFeed, RosterController,
            RoutingController, StageController, StageParts, StorePath,
        },
        key::name_hash,
        port::{
            Clock, Feed, MemberEntry, MonoClock, ObjectStore, PeerCall, PeerHandler, PeerReply,
            RoleOrders, RosterEntry, Upstream,
        },
        request::{ForwardEntry, ForwardOptions, ForwardParts, ForwardShared},
    },
    prometheus_client::registry::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinSet},
};

/// Pause after a change of the endpoint list, so that changes in quick succession cost one read.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a change of the daemon list during [`MEMBER_INITIAL_PERIOD`]. It is shorter than
/// [`MEMBER_PAUSE`], because other daemons may have started at the same time.
const MEMBER_INITIAL_PAUSE: Duration = Duration::from_millis(300);

/// Time after the start during which [`MEMBER_INITIAL_PAUSE`] applies.
const MEMBER_INITIAL_PERIOD: Duration = Duration::from_secs(5);

/// Pause after a change of the daemon list, so that changes in quick succession cost one read.
const MEMBER_PAUSE: Duration = Duration::from_secs(3);

/// Longest duration of one watch call on the daemon list. It may exceed that of other lists, since
/// a daemon that calls a dead one notices the failure by itself.
const MEMBER_MAX_WATCH: Duration = Duration::from_secs(15);

/// Settings of a daemon that forwards by routes.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Name of the host.
    pub host: String,
    /// Address at which other daemons call this one, `ip:port`.
    pub address: String,
    /// Longest duration of one watch call at the store; this bounds the age of the routes and
    /// endpoints in use.
    pub watch: Duration,
    /// Time within which every daemon has to know a change of routes or endpoints.
    pub spread_limit: Duration,
    /// Percentage of the engines that are to prefill prompts.
    pub prefill_percent: usize,
    /// Processor share of this daemon in hundredths of a core; daemons with at least half the
    /// greatest share are preferred as placers.
    pub strength: u32,
    /// Time from the announcement of a planned stop until forwarded requests have to be answered.
    pub stop_time: Duration,
    /// Limits and retry budget of the request path, and the availability zone.
    pub options: ForwardOptions,
}

/// Connections of a forwarding daemon to the systems around it.
#[derive(Clone, Debug)]
pub struct ForwardPorts<U, E, R, M, S, J> {
    /// Feed of the list of daemons.
    pub members: M,
    /// Store in which this daemon registers itself.
    pub register: J,
    /// Client of the other daemons.
    pub peer: PeerClient,
    /// Store of the leases for assigning roles to engines.
    pub store: S,
    /// Client of the endpoints.
    pub upstream: U,
    /// Feed of the registered endpoints.
    pub endpoints: E,
    /// Feed of the routes.
    pub routing: R,
}

/// Implementations of the ports that the forwarding request path of a daemon uses.
#[derive(Clone, Debug)]
pub struct ForwardDaemonParts<U> {
    clock: MonoClock,
    upstream: U,
    placer: PlacementRouter<PeerClient, MonoClock>,
    quotas: QuotaHandle<MonoClock>,
}

impl<U> ForwardParts for ForwardDaemonParts<U>
where
    U: Upstream,
{
    type Clock = MonoClock;
    type Upstream = U;
    type Placer = PlacementRouter<PeerClient, MonoClock>;
    type Quotas = QuotaHandle<MonoClock>;

    fn clock(&self) -> &MonoClock {
        &self.clock
    }

    fn upstream(&self) -> &U {
        &self.upstream
    }

    fn placer(&self) -> &Self::Placer {
        &self.placer
    }

    fn quotas(&self) -> &Self::Quotas {
        &self.quotas
    }
}

/// A running daemon that forwards requests by routes; dropping it ends it at once, as a crash
/// would.
///
/// The front end is separate: it passes requests to `entry` and reads the responses.
#[derive(Debug)]
pub struct ForwardDaemon<U>
where
    U: Upstream,
{
    /// Entry point of requests from the front end.
    pub entry: ForwardEntry<ForwardDaemonParts<U>>,
    /// Blackboard through which controllers and requests share state.
    pub board: Blackboard,
    /// Registry of all metrics.
    pub registry: Arc<Registry>,
    health: HealthHandle,
    allocation: AllocationHandle,
    quotas: QuotaHandle<MonoClock>,
    relay: FeedRelay<MonoClock>,
    tasks: JoinSet<()>,
}

/// Handles calls of other daemons, which concern the endpoints that this daemon places requests at,
/// what it has read from the store, and the quotas that it accounts for.
#[derive(Clone, Debug)]
pub struct ForwardDispatch {
    allocation: AllocationHandle,
    placer: PlacementRouter<PeerClient, MonoClock>,
    quotas: QuotaHandle<MonoClock>,
    relay: FeedRelay<MonoClock>,
}

impl PeerHandler for ForwardDispatch {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::ReadFeed(read) => PeerReply::Feed(self.relay.handle(read).await),
            PeerCall::CompareFeed(compare) => PeerReply::Feed(self.relay.compare(&compare)),
            PeerCall::RefuseCauses(update) => {
                self.placer.refuse(&update);
                self.allocation.refuse(update);
                PeerReply::Done
            }
            PeerCall::ReportQuota(report) => self.quotas.report(report).await,
            call => self.allocation.handle_peer(call).await,
        }
    }
}

impl<U> ForwardDaemon<U>
where
    U: Upstream + RoleOrders,
{
    /// Starts the controllers; `registry` already holds the metrics of the ports.
    pub fn start<E, R, M, S, J>(
        settings: &ForwardSettings,
        ports: ForwardPorts<U, E, R, M, S, J>,
        mut registry: Registry,
    ) -> Self
    where
        E: Feed<Item = RosterEntry>,
        R: Feed<Item = Routing>,
        M: Feed<Item = MemberEntry>,
        S: ObjectStore,
        J: ObjectStore,
    {
        let counters = Counters::new(&mut registry);
        let (board, writers) = Blackboard::new();
        LearntLimits::register(board.fleet.clone(), &mut registry);
        let clock = MonoClock::start();
        let incarnation = clock.unix_ms();
        let seed = name_hash(&settings.host) ^ incarnation;
        let rng = |purpose: &str| SmallRng::seed_from_u64(seed ^ name_hash(purpose));
        let (reachable, reachable_rx) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let links = FeedLinks {
            peer: ports.peer.clone(),
            clock,
            members: board.members.clone(),
            counters: FeedCounters::new(&mut registry),
        };
        let (routing_writer, routing_log) = section(FeedLog::default());
        let (endpoints_writer, endpoints_log) = section(FeedLog::default());
        let (members_writer, members_log) = section(FeedLog::default());
        let relay = FeedRelay {
            clock,
            routing: routing_log,
            endpoints: endpoints_log,
            members: members_log,
        };
        let path = StorePath::default();
        let routing = rng("routing");
        let feed =
            RelayedFeed::new(ports.routing, links.clone()).with_spread_limit(settings.spread_limit);
        let follower = FeedFollower::new(feed, clock, "routing", settings.watch, routing)
            .with_path(path.clone())
            .with_log(routing_writer);
        tasks.spawn(RoutingController::new(follower, writers.routing, counters.clone()).run());
        let roster = rng("endpoints");
        let feed = RelayedFeed::new(ports.endpoints, links.clone())
            .with_spread_limit(settings.spread_limit)
            .with_known(relay.endpoints.clone());
        let follower = FeedFollower::new(feed, clock, "endpoints", settings.watch, roster)
            .with_pause(ENDPOINT_PAUSE)
            .with_path(path.clone())
            .with_log(endpoints_writer);
        tasks.spawn(RosterController::new(follower, clock, writers.fleet, reachable).run());
        let (controller, health) = ReadinessController::new(ReadinessParts {
            writer: writers.health,
            routing: board.routing.clone(),
            fleet: board.fleet.clone(),
            reachable: reachable_rx,
            clock,
            stop_time: settings.stop_time,
        });
        tasks.spawn(controller.run());
        let orders = ports.upstream.clone();
        let stages = stage_parts(settings, ports.store, orders, &board, clock);
        tasks.spawn(StageController::new(stages).run());
        let members = rng("members");
        let feed = RelayedFeed::new(ports.members, links.clone())
            .with_known(relay.members.clone())
            .with_spread_start();
        let follower = FeedFollower::new(feed, clock, "members", MEMBER_MAX_WATCH, members)
            .with_pause(MEMBER_PAUSE)
            .with_initial_pause(MEMBER_INITIAL_PAUSE, MEMBER_INITIAL_PERIOD)
            .with_path(path)
            .with_log(members_writer);
        let own = own_entry(settings, incarnation);
        let roster = MemberRosterParts::new(clock, own, writers.members);
        spawn_members(&mut tasks, follower, ports.register, roster);
        let (controller, allocation) = AllocationController::new(board.clone(), clock);
        tasks.spawn(controller.run());
        let quotas = spawn_quotas(
            &mut tasks,
            QuotaParts {
                counters: QuotaCounters::new(&mut registry),
                host: settings.host.clone(),
                incarnation,
                writer: writers.quotas,
                board: board.clone(),
                peer: ports.peer.clone(),
                clock,
            },
        );
        spawn_refusals(&mut tasks, &ports.peer, clock, &board, &allocation);
        let placer = spawn_placer(&mut tasks, ports.peer, clock, &board, &allocation);
        let daemon_parts = ForwardDaemonParts {
            quotas: quotas.clone(),
            clock,
            upstream: ports.upstream,
            placer,
        };
        let options = settings.options.clone();
        let shared = ForwardShared::new(daemon_parts, board.clone(), counters, options, seed);
        Self {
            entry: ForwardEntry::new(shared),
            board,
            registry: Arc::new(registry),
            health,
            allocation,
            quotas,
            relay,
            tasks,
        }
    }

    /// Handler for the calls of other daemons.
    pub fn dispatch(&self) -> ForwardDispatch {
        ForwardDispatch {
            allocation: self.allocation.clone(),
            placer: self.entry.shared().parts().placer.clone(),
            quotas: self.quotas.clone(),
            relay: self.relay.clone(),
        }
    }

    /// Announces that a planned stop has begun; the daemon reports that it is not ready from now
    /// on.
    pub fn announce_stop(&self) {
        self.health.announce_stop();
    }

    /// Waits until every task that was spawned for a request has ended, then ends the controllers.
    pub async fn stop(mut self) {
        self.entry.shared().wait_for_tasks().await;
        self.tasks.shutdown().await;
    }
}

/// What the stage controller works with.
fn stage_parts<S, U>(
    settings: &ForwardSettings,
    store: S,
    orders: U,
    board: &Blackboard,
    clock: MonoClock,
) -> StageParts<S, U, MonoClock> {
    StageParts {
        store,
        orders,
        clock,
        holder: format!("{}-{}", settings.host, clock.unix_ms()),
        prefill_percent: settings.prefill_percent,
        fleet: board.fleet.clone(),
        members: board.members.clone(),
    }
}

/// Entry with which this daemon registers itself.
fn own_entry(settings: &ForwardSettings, incarnation: u64) -> MemberEntry {
    MemberEntry {
        name: settings.host.clone(),
        zone: settings.options.zone.clone(),
        address: settings.address.clone(),
        incarnation,
        strength: settings.strength,
    }
}

/// Starts the router of placement requests, and returns it.
fn spawn_placer(
    tasks: &mut JoinSet<()>,
    peer: PeerClient,
    clock: MonoClock,
    board: &Blackboard,
    allocation: &AllocationHandle,
) -> PlacementRouter<PeerClient, MonoClock> {
    let members = board.members.clone();
    let router = PlacementRouter::new(peer, clock, members, allocation.clone());
    tasks.spawn(router.clone().sync_placers());
    router
}

/// Starts the controller that notifies other daemons of what this one refuses.
fn spawn_refusals(
    tasks: &mut JoinSet<()>,
    peer: &PeerClient,
    clock: MonoClock,
    board: &Blackboard,
    allocation: &AllocationHandle,
) {
    let members = board.members.clone();
    let refusals = allocation.refusals();
    tasks.spawn(RefusalController::new(peer.clone(), clock, members, refusals).run());
}

/// Starts the controller of the quotas, and returns its handle.
fn spawn_quotas(
    tasks: &mut JoinSet<()>,
    parts: QuotaParts<PeerClient, MonoClock>,
) -> QuotaHandle<MonoClock> {
    let (controller, handle) = QuotaController::new(parts);
    tasks.spawn(controller.run());
    handle
}

/// Starts the controllers that register this daemon and follow the list of daemons.
fn spawn_members<F, S>(
    tasks: &mut JoinSet<()>,
    follower: FeedFollower<F, MonoClock>,
    store: S,
    parts: MemberRosterParts<MonoClock>,
) where
    F: Feed<Item = MemberEntry>,
    S: ObjectStore,
{
    let registration = Registration {
        store,
        clock: parts.clock,
        own: parts.own.clone(),
        lapsed: Arc::clone(&parts.lapsed),
    };
    tasks.spawn(registration.run());
    tasks.spawn(MemberRosterController::new(follower, parts).run());
}
