use {
    super::{
        bench_job::{JobKey, Stage},
        bench_profile::START_TIMEOUT,
        bench_world::{HandoverRefusal, Notice, Policy, Timer, World},
    },
    crate::{
        board::{Role, Tick},
        key::EndpointKey,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
};

/// Delay before a refused handover is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Time after which an unfinished handover counts as failed.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// How a plain router chooses an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// Any endpoint, with equal probability.
    Random,
    /// The endpoint with the least load: that of its latest report plus the requests that the same
    /// host has sent since.
    LeastLoaded,
}

/// Policy for comparison: each host chooses endpoints by itself, the prefill endpoint first.
#[derive(Debug)]
pub(super) struct PlainPolicy {
    choice: Choice,
    random: StdRng,
    /// Times of the requests that a host has sent to an engine.
    sent: HashMap<(u32, EndpointKey), Vec<Tick>>,
}

impl PlainPolicy {
    /// Creates the policy; `seed` determines its random choices.
    pub(super) fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            random: StdRng::seed_from_u64(seed),
            sent: HashMap::new(),
        }
    }

    /// Chooses an engine of `role` for a request at host `entry` and records the choice.
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

    /// Load of an engine by its latest report, plus what host `entry` has sent since.
    fn load(&mut self, world: &World, entry: u32, engine: EndpointKey) -> u32 {
        let (taken, report) = world.report(engine);
        let sent = self.sent.entry((entry, engine)).or_default();
        sent.retain(|at| *at > taken);
        report.load + sent.len() as u32
    }

    /// Sends a request to a prefill endpoint.
    fn start(&mut self, world: &mut World, job: JobKey) {
        let entry = world.jobs[job].entry;
        let engine = self.choose(world, entry, Role::Prefill);
        world.prefill(job, engine);
    }

    /// Starts the handover to a decode endpoint; retries later if that has too little free memory.
    fn transfer(&mut self, world: &mut World, job: JobKey) {
        let entry = world.jobs[job].entry;
        let decode = self.choose(world, entry, Role::Decode);
        match world.import(job, decode) {
            Ok(()) => world.start_timer(job, HANDOVER_TIMEOUT, Timer::Stall),
            Err(HandoverRefusal::Full) => world.start_timer(job, RETRY_DELAY, Timer::Retry),
            Err(HandoverRefusal::KvEvicted) => {}
        }
    }

    /// Starts another attempt, or abandons the request after [`START_TIMEOUT`].
    fn retry(&mut self, world: &mut World, job: JobKey) {
        world.abort(job);
        if world.now.since(world.jobs[job].arrived) > START_TIMEOUT {
            world.jobs[job].stage = Stage::Dropped;
            return;
        }
        self.start(world, job);
    }
}

impl Policy for PlainPolicy {
    fn handle(&mut self, world: &mut World, notice: Notice) {
        match notice {
            Notice::Arrived(job) => self.start(world, job),
            Notice::Computed(job) | Notice::Expired(job, Timer::Retry) => self.transfer(world, job),
            Notice::Expired(job, Timer::Stall) if world.jobs[job].stage != Stage::Transferring => {}
            Notice::Evicted(job) | Notice::Failed(job, _) | Notice::Expired(job, Timer::Stall) => {
                self.retry(world, job);
            }
            Notice::Transferred(_)
            | Notice::Done(_)
            | Notice::Expired(_, Timer::StartTimeout)
            | Notice::Sampled => {}
        }
    }
}
