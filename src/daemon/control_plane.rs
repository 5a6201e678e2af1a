use {
    super::{DaemonContext, DaemonPlatform},
    crate::{
        board::{
            Digests, Fleet, Health, HostList, HostState, Members, Orders, Owners, Sheet, Writer,
            Writers,
        },
        border::{ClaimObjects, EngineClient, OrderLimits, PeerClient},
        control::{
            ClaimCommitters, ClaimRouter, ClaimSettings, DescriptionSender, DigestController,
            DigestUpdate, FleetController, HealthController, HealthHandle, HeartbeatInputs,
            HeartbeatOutputs, HostController, LoadController, MemberController, MemberHandle,
            MemberParts, OrderController, OrderParts, OrderSettings, OwnerController,
            QueueController, QueueHandle, RevisionHint, SheetController, SheetHandle, SheetParts,
            SheetStore, SuspectController, SuspectHandle,
        },
        decide::{CallClass, MemberTiming},
        port::{MemberUpdate, MonoClock, SuspectUpdate},
    },
    std::net::SocketAddr,
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
    },
};

/// Requests that run at a plain service at the same time, at most.
const SERVICE_SLOTS: u32 = 64;

/// Host lists in a row that may be missed before the store counts as down.
const MAX_MISSED_LISTS: u32 = 3;

/// Capacity of the channels that carry heartbeat updates from the member controller to other
/// controllers.
const UPDATE_CHANNEL_CAPACITY: usize = 256;

/// Handles of the running controllers.
#[derive(Debug)]
pub struct ControlPlane {
    /// Queues of the endpoints owned here.
    pub queue: QueueHandle,
    /// Receives reports of endpoint crashes.
    pub suspicions: SuspectHandle,
    /// Announces a planned stop to the health controller.
    pub health: HealthHandle,
    /// Answers heartbeats and probes and announces that the daemon leaves.
    pub members: MemberHandle<PeerClient>,
    /// Serves changes of the sheet to other daemons.
    pub sheet: SheetHandle,
    /// Sheet as stored at the platform.
    pub store: SheetStore<DaemonPlatform>,
    /// Committers of the claim partitions that this host owns.
    pub claims: ClaimCommitters<MonoClock>,
    /// Routes the claims of this host's requests to the committers of their partitions.
    pub claimer: ClaimRouter<PeerClient, MonoClock>,
}

impl ControlPlane {
    /// Spawns every controller on `tasks`; `address` is where other daemons reach this one.
    pub fn start(
        ctx: &DaemonContext,
        writers: Writers,
        address: SocketAddr,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let DaemonContext {
            board,
            clock,
            settings,
            ..
        } = ctx;
        let (controller, queue) = QueueController::new(board.clone(), *clock, ctx.engine.clone());
        tasks.spawn(controller.run());
        let engine = ctx.engine.clone();
        let loads = LoadController::new(board.clone(), *clock, engine, queue.clone());
        tasks.spawn(loads.run());
        let lifetime = settings.timing.strike;
        let (controller, suspicions) = SuspectController::new(*clock, writers.suspects, lifetime);
        tasks.spawn(controller.run());
        let (controller, health) = self::health(ctx, writers.health);
        tasks.spawn(controller.run());
        tasks.spawn(hosts(ctx, writers.hosts).run());
        let fleet = fleet(ctx, writers.fleet);
        tasks.spawn(orders(ctx, writers.orders, fleet.description_sender()).run());
        tasks.spawn(fleet.run());
        tasks.spawn(owners(ctx, writers.owners).run());
        let (outputs, receivers) = heartbeat_channels();
        tasks.spawn(digests(ctx, writers.digests, receivers.digests).run());
        tasks.spawn(forward_suspects(receivers.suspects, suspicions.clone()));
        let parts = member_parts(ctx, writers.members, address, outputs);
        let (controller, members) = MemberController::new(parts);
        tasks.spawn(controller.run());
        let store = SheetStore::new(ctx.platform.with_class(CallClass::Sheet));
        let parts = sheet_parts(ctx, writers.sheet, store.clone(), receivers.revision);
        let (controller, sheet) = SheetController::new(parts);
        tasks.spawn(controller.run());
        let claims = claims(ctx);
        let members_section = board.members.clone();
        let (claimer, resolver) =
            ClaimRouter::new(ctx.peer.clone(), *clock, members_section, claims.clone());
        tasks.spawn(resolver.run(ctx.rng("resolver")));
        Self {
            queue,
            suspicions,
            health,
            members,
            sheet,
            store,
            claims,
            claimer,
        }
    }
}

/// Receiving ends of [`HeartbeatOutputs`], one for each controller that follows the updates.
struct HeartbeatReceivers {
    digests: mpsc::Receiver<DigestUpdate>,
    suspects: mpsc::Receiver<Vec<SuspectUpdate>>,
    revision: watch::Receiver<RevisionHint>,
}

fn heartbeat_channels() -> (HeartbeatOutputs, HeartbeatReceivers) {
    let (digests, digests_rx) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
    let (suspects, suspects_rx) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
    let (revision, revision_rx) = watch::channel(RevisionHint::default());
    let outputs = HeartbeatOutputs {
        digests,
        suspects,
        revision,
    };
    let receivers = HeartbeatReceivers {
        digests: digests_rx,
        suspects: suspects_rx,
        revision: revision_rx,
    };
    (outputs, receivers)
}

fn hosts(
    ctx: &DaemonContext,
    writer: Writer<HostList>,
) -> HostController<DaemonPlatform, MonoClock> {
    let platform = ctx.platform.with_class(CallClass::Hosts);
    HostController::new(
        platform,
        ctx.clock,
        ctx.settings.timing.hosts,
        ctx.rng("hosts"),
        writer,
    )
}

fn health(
    ctx: &DaemonContext,
    writer: Writer<Health>,
) -> (HealthController<MonoClock>, HealthHandle) {
    let DaemonContext {
        board, settings, ..
    } = ctx;
    let max_age = settings.timing.hosts * MAX_MISSED_LISTS + settings.platform.timeout;
    let sheet = board.sheet.clone();
    HealthController::new(ctx.clock, writer, board.hosts.clone(), sheet, max_age)
}

fn fleet(ctx: &DaemonContext, writer: Writer<Fleet>) -> FleetController<EngineClient, MonoClock> {
    let hosts = ctx.board.hosts.clone();
    FleetController::new(ctx.engine.clone(), ctx.clock, SERVICE_SLOTS, hosts, writer)
}

fn orders(
    ctx: &DaemonContext,
    writer: Writer<Orders>,
    descriptions: DescriptionSender,
) -> OrderController<DaemonPlatform, EngineClient, MonoClock> {
    let OrderLimits {
        loads,
        limit,
        term,
        retry,
    } = ctx.settings.orders;
    let parts = OrderParts {
        platform: ctx.platform.with_class(CallClass::Orders),
        engine: ctx.engine.clone(),
        clock: ctx.clock,
        settings: OrderSettings {
            loads,
            limit,
            term,
            retry,
        },
        host: ctx.settings.host.clone(),
        incarnation: ctx.incarnation,
        board: ctx.board.clone(),
        descriptions,
        rng: ctx.rng("orders"),
    };
    OrderController::new(parts, writer)
}

fn owners(ctx: &DaemonContext, owners: Writer<Owners>) -> OwnerController {
    let fleet = ctx.board.fleet.clone();
    let members = ctx.board.members.clone();
    OwnerController {
        fleet,
        members,
        owners,
    }
}

fn digests(
    ctx: &DaemonContext,
    writer: Writer<Digests>,
    updates: mpsc::Receiver<DigestUpdate>,
) -> DigestController<MonoClock> {
    let fleet = ctx.board.fleet.clone();
    let members = ctx.board.members.clone();
    DigestController::new(ctx.clock, fleet, members, updates, writer)
}

fn member_parts(
    ctx: &DaemonContext,
    members: Writer<Members>,
    address: SocketAddr,
    outputs: HeartbeatOutputs,
) -> MemberParts<PeerClient, MonoClock> {
    let DaemonContext {
        board, settings, ..
    } = ctx;
    MemberParts {
        peer: ctx.peer.clone(),
        clock: ctx.clock,
        own: MemberUpdate {
            name: settings.host.clone(),
            zone: settings.zone.clone(),
            address: address.to_string(),
            incarnation: ctx.incarnation,
            refutations: 0,
            state: HostState::Alive,
        },
        seeds: settings.seeds.iter().map(ToString::to_string).collect(),
        timing: MemberTiming {
            interval: settings.timing.heartbeat,
            reply_timeout: settings.timing.peer,
            suspicion: settings.timing.dead.saturating_sub(settings.timing.suspect),
            ..MemberTiming::default()
        },
        rng_seed: ctx.seed("members"),
        hosts: board.hosts.clone(),
        inputs: HeartbeatInputs {
            fleet: board.fleet.clone(),
            owners: board.owners.clone(),
            sheet: board.sheet.clone(),
            suspects: board.suspects.clone(),
        },
        outputs,
        members,
    }
}

fn sheet_parts(
    ctx: &DaemonContext,
    sheet: Writer<Sheet>,
    store: SheetStore<DaemonPlatform>,
    hints: watch::Receiver<RevisionHint>,
) -> SheetParts<PeerClient, DaemonPlatform> {
    SheetParts {
        peer: ctx.peer.clone(),
        store,
        wait: ctx.settings.timing.sheet,
        rng_seed: ctx.seed("sheet"),
        members: ctx.board.members.clone(),
        hints,
        sheet,
    }
}

fn claims(ctx: &DaemonContext) -> ClaimCommitters<MonoClock> {
    let store = ClaimObjects::new(ctx.platform.with_class(CallClass::Claims));
    let settings = ClaimSettings {
        partitions: ctx.settings.claims.partitions,
        window: ctx.settings.claims.window,
        retention: ctx.settings.claims.retention,
    };
    ClaimCommitters::start(
        &store,
        ctx.clock,
        &ctx.board.members,
        settings,
        ctx.seed("claims"),
    )
}

/// Passes the suspects that heartbeats report to the suspect controller.
async fn forward_suspects(
    mut updates: mpsc::Receiver<Vec<SuspectUpdate>>,
    suspicions: SuspectHandle,
) {
    while let Some(suspects) = updates.recv().await {
        suspicions.report_suspects(suspects);
    }
}
