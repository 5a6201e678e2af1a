use {
    super::{
        bench_job::{Job, JobKey, Stage},
        bench_profile::{FIRST_TOKEN, HOSTS, LINK_RATE, PATIENCE, PER_TOKEN, PIECE_TOKENS},
        bench_view::{BenchGrant, BenchView},
        bench_world::{Notice, Policy, Wake, World},
    },
    crate::{
        board::{Role, Tick},
        decide::{
            FairShare, GrantNeed, GrantOption, LATE_GRANT_INTERVAL, OwnerOption, Waiting,
            choose_decode, choose_prefill, late_rank, order_owners, owners_to_request, rank,
        },
        key::{EndpointKey, HostKey},
    },
    slotmap::{SecondaryMap, SlotMap},
    std::{collections::HashMap, time::Duration},
};

/// Owners in whose lines a request stands at once, at least.
const OWNERS_ASKED: usize = 2;

/// Least time without an end after which a handover counts as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(300);

/// Multiple of its predicted time after which a handover counts as stalled.
const STALL_FACTOR: f64 = 6.0;

/// A request in the line of one owner.
#[derive(Clone, Copy, Debug)]
struct BenchAsk {
    job: JobKey,
    role: Role,
    owner: u32,
    since: Tick,
}

/// Owners that grant decode places first and prefills after, with the decisions of the daemon.
#[derive(Debug)]
pub(super) struct OwnedPolicy {
    views: SecondaryMap<EndpointKey, BenchView>,
    hosts: SlotMap<HostKey, u32>,
    asks: Vec<BenchAsk>,
    shares: HashMap<u32, FairShare>,
    digests: HashMap<(u32, Role), (u32, u32)>,
    avoid: SecondaryMap<JobKey, EndpointKey>,
    turn: u64,
    whole: bool,
}

impl OwnedPolicy {
    /// Creates the owners of a world's engines; with `whole` one owner knows all of them.
    pub(super) fn new(world: &World, whole: bool) -> Self {
        let mut views = SecondaryMap::new();
        for (key, engine) in &world.engines {
            let owner = if whole { 0 } else { engine.owner };
            views.insert(key, BenchView::new(engine.role, owner));
        }
        let mut hosts = SlotMap::with_key();
        for host in 0..HOSTS {
            hosts.insert(host);
        }
        Self {
            views,
            hosts,
            asks: Vec::new(),
            shares: HashMap::new(),
            digests: HashMap::new(),
            avoid: SecondaryMap::new(),
            turn: 0,
            whole,
        }
    }

    /// Puts a request in the lines of the best owners.
    fn ask(&mut self, world: &mut World, job: JobKey, role: Role) {
        let mut options = self.options(job, role);
        let pieces = pieces(world, job, role);
        order_owners(&mut options, pieces);
        let asked: Vec<u32> = options
            .iter()
            .take(owners_to_request(&options, OWNERS_ASKED))
            .map(|option| self.hosts[option.host])
            .collect();
        for owner in &asked {
            self.asks.push(BenchAsk {
                job,
                role,
                owner: *owner,
                since: world.now,
            });
        }
        for owner in asked {
            self.serve(world, owner, role);
        }
    }

    fn options(&self, job: JobKey, role: Role) -> Vec<OwnerOption> {
        let mut options = Vec::new();
        for (host, owner) in &self.hosts {
            let owns = |view: &BenchView| view.owner == *owner && view.role == role;
            let owned = self.views.values().filter(|view| owns(view)).count();
            if owned == 0 {
                continue;
            }
            let known = self.digests.get(&(*owner, role));
            let (free, waiting) = known.copied().unwrap_or((u32::MAX, 0));
            options.push(OwnerOption {
                host,
                free,
                endpoints: owned as u32,
                waiting,
                same_zone: true,
                tie_break: spread(job, *owner),
            });
        }
        options
    }

    /// Grants what can be granted in one line.
    fn serve(&mut self, world: &mut World, owner: u32, role: Role) {
        while let Some((job, place)) = self.next_grant(world, owner, role) {
            self.grant(world, job, role, &place);
        }
    }

    fn next_grant(&self, world: &World, owner: u32, role: Role) -> Option<(JobKey, GrantOption)> {
        let line = self.asks.iter();
        let line = line.filter(|ask| ask.owner == owner && ask.role == role);
        let late = self.turn % LATE_GRANT_INTERVAL == LATE_GRANT_INTERVAL - 1;
        let order = if late { late_rank } else { rank };
        let mean = self.mean_share(world.now);
        let mut ranked: Vec<_> = line
            .map(|ask| {
                let waiting = self.describe(world, ask, mean);
                (order(&waiting, world.now), ask.job)
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .find_map(|(_, job)| Some((job, self.choose(world, job, owner, role)?)))
    }

    fn describe(&self, world: &World, ask: &BenchAsk, mean: f64) -> Waiting {
        let job = &world.jobs[ask.job];
        let share = self.shares.get(&job.branch);
        Waiting {
            arrived: ask.since,
            priority: job.priority,
            due: job.arrived + FIRST_TOKEN,
            work: self.work(job, ask),
            share: share.map_or(0.0, |share| share.used(world.now)) / mean,
        }
    }

    /// Predicted time to compute the prompt; the owner of a decode place cannot tell.
    fn work(&self, job: &Job, ask: &BenchAsk) -> Duration {
        if ask.role != Role::Prefill {
            return Duration::ZERO;
        }
        let views = self.views.values();
        let owned = views.filter(|view| view.owner == ask.owner && view.role == ask.role);
        let times = owned.map(|view| {
            let uncached = job.prompt - view.cached(job);
            view.fit.predict(f64::from(uncached))
        });
        times.min().unwrap_or_default()
    }

    fn mean_share(&self, now: Tick) -> f64 {
        let total: f64 = self.shares.values().map(|share| share.used(now)).sum();
        (total / self.shares.len().max(1) as f64).max(1.0)
    }

    fn choose(&self, world: &World, key: JobKey, owner: u32, role: Role) -> Option<GrantOption> {
        let job = &world.jobs[key];
        let avoid = self.avoid.get(key).copied();
        let candidates = self.views.iter().filter(|(endpoint, view)| {
            view.owner == owner && view.role == role && avoid != Some(*endpoint)
        });
        let places: Vec<GrantOption> = candidates
            .filter_map(|(endpoint, view)| view.place(endpoint, job, world.now))
            .collect();
        let need = GrantNeed {
            pieces: pieces(world, key, role),
            prompt: job.prompt,
            per_token: Some(PER_TOKEN),
        };
        match role {
            Role::Prefill => choose_prefill(&places, &need),
            Role::Decode | Role::Service => choose_decode(&places, &need),
        }
    }

    fn grant(&mut self, world: &mut World, key: JobKey, role: Role, place: &GrantOption) {
        self.turn += 1;
        self.asks.retain(|ask| ask.job != key);
        let job = &world.jobs[key];
        let uncached = job.prompt.saturating_sub(place.cached).max(1);
        let pieces = pieces(world, key, role);
        let share = self.shares.entry(job.branch).or_default();
        share.add(f64::from(pieces), world.now);
        self.views[place.endpoint].grants.push(BenchGrant {
            job: key,
            pieces,
            since: world.now,
            work: place.unit * uncached,
        });
        match role {
            Role::Prefill => world.prefill(key, place.endpoint),
            Role::Decode | Role::Service => {
                world.jobs[key].decode_place = Some(place.endpoint);
                self.ask(world, key, Role::Prefill);
            }
        }
    }

    /// Gives the place at an engine back and serves those who wait for one.
    fn release(&mut self, world: &mut World, job: JobKey, endpoint: Option<EndpointKey>) {
        let Some(endpoint) = endpoint else {
            return;
        };
        let view = &mut self.views[endpoint];
        let (owner, role) = (view.owner, view.role);
        if view.take_grant(job).is_some() {
            self.serve(world, owner, role);
        }
    }

    /// Takes in that a prompt is computed, and starts its handover.
    fn computed(&mut self, world: &mut World, key: JobKey) {
        let job = &world.jobs[key];
        let (Some(prefill), Some(decode)) = (job.prefill, job.decode_place) else {
            return;
        };
        let view = &mut self.views[prefill];
        view.outlier.succeed(world.now);
        view.cache.insert(job.group);
        if let Some(grant) = view.grants.iter_mut().find(|grant| grant.job == key) {
            let took = world.now.since(grant.since.max(view.ended));
            view.fit.add_sample(f64::from(job.computed), took);
            grant.work = Duration::ZERO;
        }
        view.ended = world.now;
        if self.whole {
            view.cache = world.engines[prefill].cache.iter().copied().collect();
        }
        let owner = view.owner;
        let predicted = f64::from(job.prompt) / LINK_RATE * STALL_FACTOR;
        let limit = STALL_LIMIT.max(Duration::from_secs_f64(predicted));
        if world.import(key, decode).is_ok() {
            world.wake(key, limit, Wake::Stall);
        }
        self.serve(world, owner, Role::Prefill);
    }

    fn done(&mut self, world: &mut World, key: JobKey) {
        let job = &world.jobs[key];
        let Some(decode) = job.decode_place else {
            return;
        };
        let view = &mut self.views[decode];
        let took = job
            .first
            .map_or(Duration::ZERO, |first| job.last.since(first));
        let batch = view.grants.len() as f64;
        if job.output > 1 {
            view.fit.add_sample(batch, took / (job.output - 1));
        }
        view.outlier.succeed(world.now);
        self.release(world, key, Some(decode));
    }

    /// Starts again after a failure at an endpoint.
    fn failed(&mut self, world: &mut World, key: JobKey, endpoint: EndpointKey) {
        self.views[endpoint].outlier.fail(world.now);
        let job = &mut world.jobs[key];
        let decode = job.decode_place.take();
        let prefills = world.engines_of(Role::Prefill);
        world.abort(key);
        self.avoid.insert(key, endpoint);
        let left = PATIENCE.saturating_sub(world.now.since(world.jobs[key].arrived));
        world.wake(key, left, Wake::Patience);
        for prefill in prefills {
            self.release(world, key, Some(prefill));
        }
        self.release(world, key, decode);
        self.ask(world, key, Role::Decode);
    }

    fn give_up(&mut self, world: &mut World, key: JobKey) {
        let waits = self.asks.iter().any(|ask| ask.job == key);
        if !waits {
            return;
        }
        self.asks.retain(|ask| ask.job != key);
        let decode = world.jobs[key].decode_place.take();
        world.jobs[key].stage = Stage::Dropped;
        self.release(world, key, decode);
    }

    fn sampled(&mut self, world: &mut World) {
        for (key, view) in &mut self.views {
            let (_, report) = world.report(key);
            if self.whole {
                continue;
            }
            view.cache = report.cache.into_iter().collect();
        }
        self.digests.clear();
        for view in self.views.values() {
            let digest = self.digests.entry((view.owner, view.role)).or_default();
            digest.0 = digest.0.max(view.free());
        }
        for ask in &self.asks {
            let digest = self.digests.entry((ask.owner, ask.role)).or_default();
            digest.1 += 1;
        }
        for owner in 0..HOSTS {
            self.serve(world, owner, Role::Decode);
            self.serve(world, owner, Role::Prefill);
        }
    }
}

impl Policy for OwnedPolicy {
    fn take(&mut self, world: &mut World, notice: Notice) {
        match notice {
            Notice::Arrived(job) => {
                world.wake(job, PATIENCE, Wake::Patience);
                self.ask(world, job, Role::Decode);
            }
            Notice::Computed(job) => self.computed(world, job),
            Notice::Moved(job) => {
                let prefill = world.jobs[job].prefill;
                self.release(world, job, prefill);
            }
            Notice::Done(job) => self.done(world, job),
            Notice::Failed(job, endpoint) => self.failed(world, job, endpoint),
            Notice::Evicted(job) => {
                if let Some(prefill) = world.jobs[job].prefill {
                    self.failed(world, job, prefill);
                }
            }
            Notice::Woken(job, Wake::Stall) => {
                let stalled = world.jobs[job]
                    .prefill
                    .filter(|_| world.jobs[job].stage == Stage::Moving);
                if let Some(prefill) = stalled {
                    self.failed(world, job, prefill);
                }
            }
            Notice::Woken(job, Wake::Patience) => self.give_up(world, job),
            Notice::Woken(_, Wake::Retry) => {}
            Notice::Sampled => self.sampled(world),
        }
    }
}

/// Pieces that a request needs of a place.
fn pieces(world: &World, key: JobKey, role: Role) -> u32 {
    let job = &world.jobs[key];
    match role {
        Role::Prefill => job.prompt.div_ceil(PIECE_TOKENS),
        Role::Decode | Role::Service => job.pieces(),
    }
}

/// Hash that spreads requests over owners that look equal.
fn spread(job: JobKey, owner: u32) -> u64 {
    let seed = slotmap::Key::data(&job).as_ffi() ^ (u64::from(owner) << 48);
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}
