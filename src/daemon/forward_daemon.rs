use {
    crate::{
        board::{Blackboard, Counters, Routing},
        border::PeerClient,
        control::{
            AllocationController, AllocationHandle, FeedFollower, HealthHandle, MemberEntry,
            MemberRosterController, PlacementRouter, ReadinessController, RosterController,
            RosterEntry, RoutingController, StageController, StageParts, register,
        },
        key::name_hash,
        port::{
            Clock, Feed, MonoClock, ObjectStore, PeerCall, PeerHandler, PeerReply, RoleOrders,
            Upstream,
        },
        request::{ForwardEntry, ForwardOptions, ForwardParts, ForwardShared},
    },
    prometheus_client::registry::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinSet},
};

/// Time in which changes of endpoints are gathered.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(300);

/// Time for which changes of the list of daemons are gathered while a daemon is young: others may
/// have started with it.
const MEMBER_FIRST: Duration = Duration::from_millis(300);

/// Time for which a daemon is young.
const MEMBER_YOUNG: Duration = Duration::from_secs(5);

/// Time in which changes of the list of daemons are gathered.
const MEMBER_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait of one watch of the list of daemons: who calls a dead one notices by itself.
const MEMBER_WAIT: Duration = Duration::from_secs(15);

/// What a daemon that forwards is told at its start.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Name of the host.
    pub host: String,
    /// Address at which other daemons call this one, `ip:port`.
    pub address: String,
    /// Longest wait of one watch at the store, which bounds the age of what is believed.
    pub watch: Duration,
    /// Hundredths of the engines that are to read prompts.
    pub prefill_percent: usize,
    /// Hundredths of a core that this daemon may use.
    pub strength: u32,
    /// Limits of the path of a request.
    pub options: ForwardOptions,
}

/// The outside of a daemon that forwards.
#[derive(Clone, Debug)]
pub struct ForwardPorts<U, E, R, M, S, J> {
    /// Where daemons are listed.
    pub members: M,
    /// Where this daemon registers.
    pub register: J,
    /// Other daemons.
    pub peer: PeerClient,
    /// Where leases are kept.
    pub store: S,
    /// Endpoints.
    pub upstream: U,
    /// Where endpoints register.
    pub endpoints: E,
    /// Where the routes are kept.
    pub routing: R,
}

/// The ports as the path of a request uses them.
#[derive(Clone, Debug)]
pub struct HostPorts<U> {
    clock: MonoClock,
    upstream: U,
    placer: PlacementRouter<PeerClient, MonoClock>,
}

impl<U> ForwardParts for HostPorts<U>
where
    U: Upstream,
{
    type Clock = MonoClock;
    type Upstream = U;
    type Placer = PlacementRouter<PeerClient, MonoClock>;

    fn clock(&self) -> &MonoClock {
        &self.clock
    }

    fn upstream(&self) -> &U {
        &self.upstream
    }

    fn placer(&self) -> &Self::Placer {
        &self.placer
    }
}

/// A daemon that forwards requests by routes; dropping it ends it at once, as a crash would.
///
/// The front end is not part of it: it hands requests to `entry` and reads the answers.
#[derive(Debug)]
pub struct ForwardDaemon<U>
where
    U: Upstream,
{
    /// Where requests are handed in.
    pub entry: ForwardEntry<HostPorts<U>>,
    /// The blackboard.
    pub board: Blackboard,
    /// Every metric.
    pub registry: Arc<Registry>,
    health: HealthHandle,
    allocation: AllocationHandle,
    tasks: JoinSet<()>,
}

/// Answers the calls of other daemons.
#[derive(Clone, Debug)]
pub struct ForwardDispatch {
    allocation: AllocationHandle,
}

impl PeerHandler for ForwardDispatch {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        self.allocation.handle(call).await
    }
}

impl<U> ForwardDaemon<U>
where
    U: Upstream + RoleOrders,
{
    /// Starts the controllers; `registry` holds what the ports count.
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
        let clock = MonoClock::start();
        let seed = name_hash(&settings.host) ^ clock.unix_ms();
        let rng = |purpose: &str| SmallRng::seed_from_u64(seed ^ name_hash(purpose));
        let (reached, answers) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let routing = rng("routing");
        let follower = FeedFollower::new(ports.routing, clock, "routing", settings.watch, routing);
        tasks.spawn(RoutingController::new(follower, writers.routing).run());
        let roster = rng("endpoints");
        let follower =
            FeedFollower::new(ports.endpoints, clock, "endpoints", settings.watch, roster)
                .with_pause(ENDPOINT_PAUSE);
        tasks.spawn(RosterController::new(follower, clock, writers.fleet, reached).run());
        let (controller, health) = ReadinessController::new(
            writers.health,
            board.routing.clone(),
            board.fleet.clone(),
            answers,
        );
        tasks.spawn(controller.run());
        let stages = StageParts {
            store: ports.store,
            orders: ports.upstream.clone(),
            clock,
            holder: format!("{}-{}", settings.host, clock.unix_ms()),
            prefill_percent: settings.prefill_percent,
            fleet: board.fleet.clone(),
            members: board.members.clone(),
        };
        tasks.spawn(StageController::new(stages).run());
        let own = MemberEntry {
            name: settings.host.clone(),
            zone: settings.options.zone.clone(),
            address: settings.address.clone(),
            incarnation: clock.unix_ms(),
            strength: settings.strength,
        };
        tasks.spawn(register(ports.register, clock, own.clone()));
        let members = rng("members");
        let follower = FeedFollower::new(ports.members, clock, "members", MEMBER_WAIT, members)
            .with_pause(MEMBER_PAUSE)
            .with_initial_pause(MEMBER_FIRST, MEMBER_YOUNG);
        tasks.spawn(MemberRosterController::new(follower, own, writers.members).run());
        let (controller, allocation) = AllocationController::new(board.clone(), clock);
        tasks.spawn(controller.run());
        let members = board.members.clone();
        let placer = PlacementRouter::new(ports.peer, clock, members, allocation.clone());
        tasks.spawn(placer.clone().sync_placers());
        let host = HostPorts {
            clock,
            upstream: ports.upstream,
            placer,
        };
        let options = settings.options.clone();
        let shared = ForwardShared::new(host, board.clone(), counters, options, seed);
        Self {
            entry: ForwardEntry::new(shared),
            board,
            registry: Arc::new(registry),
            health,
            allocation,
            tasks,
        }
    }

    /// What answers the calls of other daemons.
    pub fn dispatch(&self) -> ForwardDispatch {
        ForwardDispatch {
            allocation: self.allocation.clone(),
        }
    }

    /// Announces that a planned stop has begun: the daemon is not ready any more.
    pub fn stopping(&self) {
        self.health.announce_stop();
    }

    /// Ends the controllers once nothing that was spawned for requests is left.
    pub async fn stop(mut self) {
        self.entry.shared().settle().await;
        self.tasks.shutdown().await;
    }
}
