use {
    super::{
        link_proxy::LinkFault,
        site::{ENGINES, SERVICES},
        store_stand_in::StoreFault,
        worker_fault::WorkerFault,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        fmt::{Display, Formatter, Result},
        ops::Range,
        time::Duration,
    },
};

/// Shortest duration of a fault.
const MIN_DURATION_MS: u64 = 300;

/// Longest duration of a fault, exclusive.
const MAX_DURATION_MS: u64 = 4_000;

/// Range of the duration of a pause of an engine.
const PAUSE_MS: Range<u64> = 1_000..3_000;

/// Time for which a daemon of a rolling stop stays down after its exit.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// A fault that a soak injects. Plans print it in one line.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Index in the plan of its seed, in the order of start times; `--only` selects by it.
    pub number: usize,
    /// When it begins, counted from the start of the traffic.
    pub at: Duration,
    /// How long it lasts; for a daemon or worker that stops, the time until it starts again. Kinds
    /// without a duration ignore it.
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// Daemons to which time bounds do not apply during a fault.
#[derive(Clone, Copy, Debug)]
pub enum FaultScope {
    /// No daemon.
    None,
    /// The daemon with this number, modulo the number of daemons.
    Daemon(usize),
    /// All daemons.
    All,
}

/// Kind of a fault; the numbers select a daemon or worker, modulo how many there are. Plans print
/// the variant names.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// Kills a daemon with SIGKILL and starts it again.
    Kill(usize),
    /// Sends SIGTERM to a daemon three times and starts it again once it has exited.
    Stop(usize),
    /// Pauses a daemon with SIGSTOP, then sends SIGCONT.
    Freeze(usize),
    /// Sends SIGHUP to a daemon.
    Reload(usize),
    /// Sets a fault on the link of a daemon to the store.
    StoreLink(usize, LinkFault),
    /// Closes the connections of a daemon to the store.
    StoreReset(usize),
    /// Sets a fault on the store.
    Store(StoreFault),
    /// Drops the watch events of the store.
    Compact,
    /// Takes a copy of the store, from which it comes back after the duration.
    Restore,
    /// Sets a fault on the link to a worker.
    WorkerLink(usize, LinkFault),
    /// Closes the connections to a worker.
    WorkerReset(usize),
    /// Sets a fault on a worker.
    Worker(usize, WorkerFault),
    /// Crashes a worker, which comes back as a new instance.
    Crash(usize),
    /// Drains and stops a worker, which comes back as a new instance.
    Leave(usize),
    /// Removes the entry of a worker from the store, as when it expires, and restores it.
    Lapse(usize),
    /// Adds a route to the configuration and removes it again.
    Configure,
}

impl Fault {
    /// Draws `count` faults from `seed` that begin from `start` until before `end`, in the order of
    /// their start times.
    pub fn plan(seed: u64, count: usize, start: Duration, end: Duration) -> Vec<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let starts = start.as_millis() as u64..end.as_millis() as u64;
        let mut plan: Vec<_> = (0..count)
            .map(|_| Self {
                number: 0,
                at: Duration::from_millis(rng.random_range(starts.clone())),
                duration: Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS)),
                kind: draw_kind(&mut rng),
            })
            .collect();
        Self::order(&mut plan);
        plan
    }

    /// Draws `count` pauses of engines from `seed`, which begin from `start` until before `end` and
    /// may overlap.
    pub fn pauses(seed: u64, count: usize, start: Duration, end: Duration) -> Vec<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let starts = start.as_millis() as u64..end.as_millis() as u64;
        let pauses = (0..count).map(|_| Self {
            number: 0,
            at: Duration::from_millis(rng.random_range(starts.clone())),
            duration: Duration::from_millis(rng.random_range(PAUSE_MS)),
            kind: FaultKind::Worker(
                SERVICES + rng.random_range(0..ENGINES),
                WorkerFault::Pausing,
            ),
        });
        pauses.collect()
    }

    /// Stops each of `daemons` daemons `rounds` times, `together` at a time, evenly from `start`
    /// until before `end`.
    pub fn rolling_stops(
        daemons: usize,
        rounds: usize,
        together: usize,
        start: Duration,
        end: Duration,
    ) -> Vec<Self> {
        let together = together.max(1);
        let groups = daemons.div_ceil(together);
        let step = end.saturating_sub(start) / (groups * rounds).max(1) as u32;
        let stops = (0..rounds * daemons).map(|index| {
            let (round, daemon) = (index / daemons, index % daemons);
            Self {
                number: 0,
                at: start + step * (round * groups + daemon / together) as u32,
                duration: DOWN_TIME,
                kind: FaultKind::Stop(daemon),
            }
        });
        stops.collect()
    }

    /// Sorts `plan` by start time and numbers its faults.
    pub fn order(plan: &mut [Self]) {
        plan.sort_by_key(|fault| fault.at);
        for (number, fault) in plan.iter_mut().enumerate() {
            fault.number = number;
        }
    }

    /// Daemons to which time bounds do not apply while it lasts.
    pub fn scope(&self) -> FaultScope {
        match self.kind {
            FaultKind::Kill(daemon)
            | FaultKind::Stop(daemon)
            | FaultKind::Freeze(daemon)
            | FaultKind::StoreLink(daemon, _)
            | FaultKind::StoreReset(daemon) => FaultScope::Daemon(daemon),
            FaultKind::Store(_) | FaultKind::Restore => FaultScope::All,
            _ => FaultScope::None,
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Self {
            number,
            at,
            duration,
            kind,
        } = self;
        write!(f, "fault {number} at {at:?} for {duration:?}: {kind:?}")
    }
}

/// Draws a kind with its target. The order of the draws determines the plan of a seed.
fn draw_kind(rng: &mut SmallRng) -> FaultKind {
    let target = rng.random_range(0..1_000);
    let link = match rng.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkFault::CutThere,
        2 => LinkFault::CutBack,
        _ => LinkFault::Silent,
    };
    match rng.random_range(0..15) {
        0 => FaultKind::Kill(target),
        1 => FaultKind::Stop(target),
        2 => FaultKind::Freeze(target),
        3 => FaultKind::Reload(target),
        4 => FaultKind::StoreLink(target, link),
        5 => FaultKind::StoreReset(target),
        6 => FaultKind::Store(match rng.random_range(0..3) {
            0 => StoreFault::Down,
            1 => StoreFault::Slow(Duration::from_millis(rng.random_range(50..900))),
            _ => StoreFault::Mute,
        }),
        7 if target % 2 == 0 => FaultKind::Compact,
        7 => FaultKind::Restore,
        8 => FaultKind::WorkerLink(target, link),
        9 => FaultKind::WorkerReset(target),
        10 => FaultKind::Worker(
            target,
            match rng.random_range(0..5) {
                0 => WorkerFault::Failing,
                1 => WorkerFault::Mute,
                2 => WorkerFault::Garbled,
                3 => WorkerFault::Slow,
                _ => WorkerFault::Full,
            },
        ),
        11 => FaultKind::Crash(target),
        12 => FaultKind::Leave(target),
        13 => FaultKind::Lapse(target),
        _ => FaultKind::Configure,
    }
}
