use {
    super::Pause,
    crate::{
        board::{Blackboard, Fleet, HostList, Writer},
        control::{
            DigestController, HeartbeatInputs, HeartbeatOutputs, MemberController, MemberHandle,
            MemberParts, OwnerController, RevisionHint, SheetController, SheetHandle, SheetParts,
            SheetStore,
        },
        decide::MemberTiming,
        port::{MemberUpdate, MonoClock, Peer, PeerCall, PeerReply, Platform},
    },
    std::time::Duration,
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
    },
};

/// Longest wait of one watch of the sheet.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Heartbeats that wait for the digest controller.
const DIGEST_QUEUE: usize = 64;

/// What a control plane is made of.
#[derive(Debug)]
pub struct PlaneParts<P, S> {
    /// Calls other daemons.
    pub peer: P,
    /// Platform that holds the sheet.
    pub platform: S,
    /// The own host.
    pub own: MemberUpdate,
    /// Addresses of daemons to join.
    pub seeds: Vec<String>,
    /// Intervals and bounds of the membership.
    pub timing: MemberTiming,
    /// Seed of every random choice.
    pub rng_seed: u64,
}

/// Membership, ownership, digests and sheet of one daemon, without requests.
///
/// Dropping it ends the daemon without a word to the others.
#[derive(Debug)]
pub struct ControlPlane<P> {
    /// Everything that the daemon knows.
    pub board: Blackboard,
    /// Answers heartbeats and probes.
    pub members: MemberHandle<P>,
    /// Answers questions for the sheet.
    pub sheets: SheetHandle,
    /// Endpoints, written by the test in place of the fleet controller.
    pub fleet: Writer<Fleet>,
    /// Listed hosts, written by the test in place of the host controller.
    pub hosts: Writer<HostList>,
    /// Pauses the controllers.
    pub pause: Pause,
    _tasks: JoinSet<()>,
}

impl<P> ControlPlane<P>
where
    P: Peer,
{
    /// Starts the controllers.
    pub fn start<S>(parts: PlaneParts<P, S>, clock: MonoClock) -> Self
    where
        S: Platform,
    {
        let (board, writers) = Blackboard::new();
        let (digests, digest_inbox) = mpsc::channel(DIGEST_QUEUE);
        let (suspects, _) = mpsc::channel(1);
        let (revision, hints) = watch::channel(RevisionHint::default());
        let (member_controller, members) = MemberController::new(MemberParts {
            peer: parts.peer.clone(),
            clock,
            own: parts.own,
            seeds: parts.seeds,
            timing: parts.timing,
            rng_seed: parts.rng_seed,
            hosts: board.hosts.clone(),
            inputs: HeartbeatInputs {
                fleet: board.fleet.clone(),
                owners: board.owners.clone(),
                sheet: board.sheet.clone(),
                suspects: board.suspects.clone(),
            },
            outputs: HeartbeatOutputs {
                digests,
                suspects,
                revision,
            },
            members: writers.members,
        });
        let (sheet_controller, sheets) = SheetController::new(SheetParts {
            peer: parts.peer,
            store: SheetStore::new(parts.platform),
            wait: WATCH_WAIT,
            rng_seed: parts.rng_seed,
            members: board.members.clone(),
            hints,
            sheet: writers.sheet,
        });
        let owner_controller = OwnerController {
            fleet: board.fleet.clone(),
            members: board.members.clone(),
            owners: writers.owners,
        };
        let digest_controller = DigestController::new(
            clock,
            board.fleet.clone(),
            board.members.clone(),
            digest_inbox,
            writers.digests,
        );
        let pause = Pause::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(pause.clone().run(member_controller.run()));
        tasks.spawn(pause.clone().run(sheet_controller.run()));
        tasks.spawn(pause.clone().run(owner_controller.run()));
        tasks.spawn(pause.clone().run(digest_controller.run()));
        Self {
            board,
            members,
            sheets,
            fleet: writers.fleet,
            hosts: writers.hosts,
            pause,
            _tasks: tasks,
        }
    }
}

/// Answers the membership and sheet calls of other daemons.
pub async fn answer<P>(members: &MemberHandle<P>, sheets: &SheetHandle, call: PeerCall) -> PeerReply
where
    P: Peer,
{
    match call {
        PeerCall::Heartbeat(heartbeat) => PeerReply::Heartbeat(members.heartbeat(heartbeat).await),
        PeerCall::Probe { address } => members.probe(&address).await,
        PeerCall::Sheet { since } => PeerReply::Sheet(sheets.changes(since).await),
        other => PeerReply::Failed(format!("{other:?} has no receiver here")),
    }
}
