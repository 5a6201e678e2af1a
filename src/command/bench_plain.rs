use {
    super::{
        bench_job::{JobKey, Stage},
        bench_profile::PATIENCE,
        bench_world::{Notice, Policy, Unmoved, Wake, World},
    },
    crate::{
        board::{Role, Tick},
        key::EndpointKey,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
};

/// Wait before a refused handover is tried again.
const RETRY: Duration = Duration::from_millis(25);

/// Time after which a handover counts as lost.
const TRANSFER_LIMIT: Duration = Duration::from_secs(5);

/// How a plain router chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// Any endpoint.
    Random,
    /// The least load by the last report and by what the same host has sent since.
    LeastLoaded,
}

/// A router in which each host chooses for itself, prefill first.
#[derive(Debug)]
pub(super) struct PlainPolicy {
    choice: Choice,
    random: StdRng,
    sent: HashMap<(u32, EndpointKey), Vec<Tick>>,
}

impl PlainPolicy {
    /// Creates the router.
    pub(super) fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            random: StdRng::seed_from_u64(seed),
            sent: HashMap::new(),
        }
    }

    fn choose(&mut self, world: &World, entry: u32, role: Role) -> EndpointKey {
        let engines = world.engines_of(role);
        let mut best = (u32::MAX, 0_u32, engines[0]);
        for engine in engines {
            let load = match self.choice {
                Choice::Random => 0,
                Choice::LeastLoaded => self.load(world, entry, engine),
            };
            let draw = self.random.random();
            best = best.min((load, draw, engine));
        }
        self.sent
            .entry((entry, best.2))
            .or_default()
            .push(world.now);
        best.2
    }

    fn load(&mut self, world: &World, entry: u32, engine: EndpointKey) -> u32 {
        let (taken, report) = world.report(engine);
        let sent = self.sent.entry((entry, engine)).or_default();
        sent.retain(|at| *at > taken);
        report.load + sent.len() as u32
    }

    fn start(&mut self, world: &mut World, job: JobKey) {
        let entry = world.jobs[job].entry;
        let engine = self.choose(world, entry, Role::Prefill);
        world.prefill(job, engine);
    }

    fn hand_over(&mut self, world: &mut World, job: JobKey) {
        let entry = world.jobs[job].entry;
        let decode = self.choose(world, entry, Role::Decode);
        match world.import(job, decode) {
            Ok(()) => world.wake(job, TRANSFER_LIMIT, Wake::Stall),
            Err(Unmoved::Full) => world.wake(job, RETRY, Wake::Retry),
            Err(Unmoved::Gone) => {}
        }
    }

    fn again(&mut self, world: &mut World, job: JobKey) {
        world.abort(job);
        if world.now.since(world.jobs[job].arrived) > PATIENCE {
            world.jobs[job].stage = Stage::Dropped;
            return;
        }
        self.start(world, job);
    }
}

impl Policy for PlainPolicy {
    fn take(&mut self, world: &mut World, notice: Notice) {
        match notice {
            Notice::Arrived(job) => self.start(world, job),
            Notice::Computed(job) | Notice::Woken(job, Wake::Retry) => self.hand_over(world, job),
            Notice::Woken(job, Wake::Stall) if world.jobs[job].stage != Stage::Moving => {}
            Notice::Evicted(job) | Notice::Failed(job, _) | Notice::Woken(job, Wake::Stall) => {
                self.again(world, job);
            }
            Notice::Moved(_)
            | Notice::Done(_)
            | Notice::Woken(_, Wake::Patience)
            | Notice::Sampled => {}
        }
    }
}
