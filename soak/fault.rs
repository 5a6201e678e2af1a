use {
    super::{link_proxy::LinkFault, store_stand_in::StoreFault, worker_fault::WorkerFault},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        fmt::{Display, Formatter, Result},
        time::Duration,
    },
};

/// Shortest time of a fault.
const SHORTEST_MS: u64 = 300;

/// Longest time of a fault.
const LONGEST_MS: u64 = 4_000;

/// A fault, where it strikes and when.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Number in the plan of its seed.
    pub number: usize,
    /// When it begins, after the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub time: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// Daemons that cannot be held to bounds of time during a fault.
#[derive(Clone, Copy, Debug)]
pub enum Reach {
    /// None.
    Nobody,
    /// The one with this number, modulo how many there are.
    Daemon(usize),
    /// Every one.
    Everyone,
}

/// What a fault is; the numbers name daemons or workers, modulo how many there are.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// A daemon is killed and started again.
    Kill(usize),
    /// A daemon is told to stop, again and again, and started once it has ended.
    Stop(usize),
    /// A daemon does not run for a time.
    Freeze(usize),
    /// A daemon is told that its settings have changed.
    Reload(usize),
    /// The link of a daemon to the store goes wrong.
    StoreLink(usize, LinkFault),
    /// The connections of a daemon to the store are reset.
    StoreReset(usize),
    /// The store goes wrong.
    Store(StoreFault),
    /// The store forgets its history.
    Compact,
    /// The link to a worker goes wrong.
    WorkerLink(usize, LinkFault),
    /// The connections to a worker are reset.
    WorkerReset(usize),
    /// A worker goes wrong.
    Worker(usize, WorkerFault),
    /// A worker breaks off everything, and comes back.
    Crash(usize),
    /// A worker leaves as planned, and comes back.
    Leave(usize),
    /// The entry of a worker lapses, and comes back.
    Lapse(usize),
    /// The operator adds a route, or takes it away again.
    Configure,
}

impl Fault {
    /// The faults of `seed`, between `calm` and `end`, in the order of their times.
    pub fn plan(seed: u64, count: usize, calm: Duration, end: Duration) -> Vec<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let span = calm.as_millis() as u64..end.as_millis() as u64;
        let mut plan: Vec<_> = (0..count)
            .map(|_| Self {
                number: 0,
                at: Duration::from_millis(rng.random_range(span.clone())),
                time: Duration::from_millis(rng.random_range(SHORTEST_MS..LONGEST_MS)),
                kind: kind(&mut rng),
            })
            .collect();
        plan.sort_by_key(|fault| fault.at);
        for (number, fault) in plan.iter_mut().enumerate() {
            fault.number = number;
        }
        plan
    }

    /// Whom it frees from bounds of time.
    pub fn reach(&self) -> Reach {
        match self.kind {
            FaultKind::Kill(daemon)
            | FaultKind::Stop(daemon)
            | FaultKind::Freeze(daemon)
            | FaultKind::StoreLink(daemon, _)
            | FaultKind::StoreReset(daemon) => Reach::Daemon(daemon),
            FaultKind::Store(_) => Reach::Everyone,
            _ => Reach::Nobody,
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Self {
            number,
            at,
            time,
            kind,
        } = self;
        write!(f, "fault {number} at {at:?} for {time:?}: {kind:?}")
    }
}

fn kind(rng: &mut SmallRng) -> FaultKind {
    let who = rng.random_range(0..1_000);
    let link = match rng.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkFault::CutThere,
        2 => LinkFault::CutBack,
        _ => LinkFault::Silent,
    };
    match rng.random_range(0..15) {
        0 => FaultKind::Kill(who),
        1 => FaultKind::Stop(who),
        2 => FaultKind::Freeze(who),
        3 => FaultKind::Reload(who),
        4 => FaultKind::StoreLink(who, link),
        5 => FaultKind::StoreReset(who),
        6 => FaultKind::Store(match rng.random_range(0..3) {
            0 => StoreFault::Down,
            1 => StoreFault::Slow(Duration::from_millis(rng.random_range(50..900))),
            _ => StoreFault::Mute,
        }),
        7 => FaultKind::Compact,
        8 => FaultKind::WorkerLink(who, link),
        9 => FaultKind::WorkerReset(who),
        10 => FaultKind::Worker(
            who,
            match rng.random_range(0..5) {
                0 => WorkerFault::Failing,
                1 => WorkerFault::Mute,
                2 => WorkerFault::Garbled,
                3 => WorkerFault::Slow,
                _ => WorkerFault::Full,
            },
        ),
        11 => FaultKind::Crash(who),
        12 => FaultKind::Leave(who),
        13 => FaultKind::Lapse(who),
        _ => FaultKind::Configure,
    }
}
