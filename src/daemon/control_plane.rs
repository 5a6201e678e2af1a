use {
    super::{Base, DaemonPlatform},
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
        base: &Base,
        writers: Writers,
        address: SocketAddr,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let Base {
            board,
            clock,
            settings,
            ..
        } = base;
        let (controller, queue) = QueueController::new(board.clone(), *clock, base.engine.clone());
        tasks.spawn(controller.run());
        let engine = base.engine.clone();
        let loads = LoadController::new(board.clone(), *clock, engine, queue.clone());
        tasks.spawn(loads.run());
        let lifetime = settings.timing.strike;
        let (controller, suspicions) = SuspectController::new(*clock, writers.suspects, lifetime);
        tasks.spawn(controller.run());
        let (controller, health) = self::health(base, writers.health);
        tasks.spawn(controller.run());
        tasks.spawn(hosts(base, writers.hosts).run());
        let fleet = fleet(base, writers.fleet);
        tasks.spawn(orders(base, writers.orders, fleet.description_sender()).run());
        tasks.spawn(fleet.run());
        tasks.spawn(owners(base, writers.owners).run());
        let (outputs, receivers) = heartbeat_channels();
        tasks.spawn(digests(base, writers.digests, receivers.digests).run());
        tasks.spawn(forward_suspects(receivers.suspects, suspicions.clone()));
        let parts = member_parts(base, writers.members, address, outputs);
        let (controller, members) = MemberController::new(parts);
        tasks.spawn(controller.run());
        let store = SheetStore::new(base.platform.with_class(CallClass::Sheet));
        let parts = sheet_parts(base, writers.sheet, store.clone(), receivers.revision);
        let (controller, sheet) = SheetController::new(parts);
        tasks.spawn(controller.run());
        let claims = claims(base);
        let members_section = board.members.clone();
        let (claimer, resolver) =
            ClaimRouter::new(base.peer.clone(), *clock, members_section, claims.clone());
        tasks.spawn(resolver.run(base.rng("resolver")));
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

fn hosts(base: &Base, writer: Writer<HostList>) -> HostController<DaemonPlatform, MonoClock> {
    let platform = base.platform.with_class(CallClass::Hosts);
    HostController::new(
        platform,
        base.clock,
        base.settings.timing.hosts,
        base.rng("hosts"),
        writer,
    )
}

fn health(base: &Base, writer: Writer<Health>) -> (HealthController<MonoClock>, HealthHandle) {
    let Base {
        board, settings, ..
    } = base;
    let max_age = settings.timing.hosts * MAX_MISSED_LISTS + settings.platform.timeout;
    let sheet = board.sheet.clone();
    HealthController::new(base.clock, writer, board.hosts.clone(), sheet, max_age)
}

fn fleet(base: &Base, writer: Writer<Fleet>) -> FleetController<EngineClient, MonoClock> {
    let hosts = base.board.hosts.clone();
    FleetController::new(
        base.engine.clone(),
        base.clock,
        SERVICE_SLOTS,
        hosts,
        writer,
    )
}

fn orders(
    base: &Base,
    writer: Writer<Orders>,
    descriptions: DescriptionSender,
) -> OrderController<DaemonPlatform, EngineClient, MonoClock> {
    let OrderLimits {
        loads,
        limit,
        term,
        retry,
    } = base.settings.orders;
    let parts = OrderParts {
        platform: base.platform.with_class(CallClass::Orders),
        engine: base.engine.clone(),
        clock: base.clock,
        settings: OrderSettings {
            loads,
            limit,
            term,
            retry,
        },
        host: base.settings.host.clone(),
        incarnation: base.incarnation,
        board: base.board.clone(),
        descriptions,
        rng: base.rng("orders"),
    };
    OrderController::new(parts, writer)
}

fn owners(base: &Base, owners: Writer<Owners>) -> OwnerController {
    let fleet = base.board.fleet.clone();
    let members = base.board.members.clone();
    OwnerController {
        fleet,
        members,
        owners,
    }
}

fn digests(
    base: &Base,
    writer: Writer<Digests>,
    inlet: mpsc::Receiver<DigestUpdate>,
) -> DigestController<MonoClock> {
    let fleet = base.board.fleet.clone();
    let members = base.board.members.clone();
    DigestController::new(base.clock, fleet, members, inlet, writer)
}

fn member_parts(
    base: &Base,
    members: Writer<Members>,
    address: SocketAddr,
    outputs: HeartbeatOutputs,
) -> MemberParts<PeerClient, MonoClock> {
    let Base {
        board, settings, ..
    } = base;
    MemberParts {
        peer: base.peer.clone(),
        clock: base.clock,
        own: MemberUpdate {
            name: settings.host.clone(),
            zone: settings.zone.clone(),
            address: address.to_string(),
            incarnation: base.incarnation,
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
        rng_seed: base.seed("members"),
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
    base: &Base,
    sheet: Writer<Sheet>,
    store: SheetStore<DaemonPlatform>,
    hints: watch::Receiver<RevisionHint>,
) -> SheetParts<PeerClient, DaemonPlatform> {
    SheetParts {
        peer: base.peer.clone(),
        store,
        wait: base.settings.timing.sheet,
        rng_seed: base.seed("sheet"),
        members: base.board.members.clone(),
        hints,
        sheet,
    }
}

fn claims(base: &Base) -> ClaimCommitters<MonoClock> {
    let store = ClaimObjects::new(base.platform.with_class(CallClass::Claims));
    let settings = ClaimSettings {
        partitions: base.settings.claims.partitions,
        window: base.settings.claims.window,
        retention: base.settings.claims.retention,
    };
    ClaimCommitters::start(
        &store,
        base.clock,
        &base.board.members,
        settings,
        base.seed("claims"),
    )
}

/// Passes the suspects that heartbeats report to the suspect controller.
async fn forward_suspects(
    mut inlet: mpsc::Receiver<Vec<SuspectUpdate>>,
    suspicions: SuspectHandle,
) {
    while let Some(news) = inlet.recv().await {
        suspicions.report_suspects(news);
    }
}
