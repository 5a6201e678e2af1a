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

/// Longest time for which one watch call for the sheet waits.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Number of digests that may wait for the digest controller.
const DIGEST_QUEUE_LEN: usize = 64;

/// Dependencies and settings of a control plane.
#[derive(Debug)]
pub struct PlaneParts<P, S> {
    /// Client for calls to other daemons.
    pub peer: P,
    /// Client of the platform that stores the sheet.
    pub platform: S,
    /// First membership update of this daemon about itself.
    pub own: MemberUpdate,
    /// Addresses of daemons to contact first; empty if the host list is enough.
    pub seeds: Vec<String>,
    /// Intervals and time limits of the membership protocol.
    pub timing: MemberTiming,
    /// Seed of all random choices of the controllers.
    pub rng_seed: u64,
}

/// Control plane of one daemon, without the request path: the controllers of membership, ownership,
/// digests and sheet.
///
/// Dropping it ends the daemon without notice to the others, as a crash does.
#[derive(Debug)]
pub struct ControlPlane<P> {
    /// Blackboard that the controllers read and write.
    pub board: Blackboard,
    /// Handles heartbeats and probes from other daemons.
    pub members: MemberHandle<P>,
    /// Handles calls of other daemons for changes of the sheet.
    pub sheets: SheetHandle,
    /// Endpoints, written by the test in place of the fleet controller.
    pub fleet: Writer<Fleet>,
    /// Listed hosts, written by the test in place of the host controller.
    pub hosts: Writer<HostList>,
    /// Pauses and resumes the controllers.
    pub pause: Pause,
    _tasks: JoinSet<()>,
}

impl<P> ControlPlane<P>
where
    P: Peer,
{
    /// Starts the controllers as tasks of the current runtime.
    pub fn start<S>(parts: PlaneParts<P, S>, clock: MonoClock) -> Self
    where
        S: Platform,
    {
        let (board, writers) = Blackboard::new();
        let (digests, digest_inbox) = mpsc::channel(DIGEST_QUEUE_LEN);
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

/// Handles a heartbeat, probe or sheet call of another daemon.
///
/// Returns `PeerReply::Failed` for any other call.
pub async fn handle_call<P>(
    members: &MemberHandle<P>,
    sheets: &SheetHandle,
    call: PeerCall,
) -> PeerReply
where
    P: Peer,
{
    match call {
        PeerCall::Heartbeat(heartbeat) => PeerReply::Heartbeat(members.heartbeat(heartbeat).await),
        PeerCall::Probe { address } => members.probe(&address).await,
        PeerCall::Sheet { since } => PeerReply::Sheet(sheets.changes(since).await),
        other => PeerReply::Failed(format!("the fake control plane does not handle {other:?}")),
    }
}
