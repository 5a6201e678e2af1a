use {
    super::{
        bench_job::{Job, JobKey, Stage},
        bench_profile::{
            FIRST_TOKEN_TARGET, HOSTS, LINK_TOKENS_PER_S, PER_TOKEN_TARGET, PIECE_TOKENS,
            START_TIMEOUT,
        },
        bench_view::{BenchGrant, BenchView},
        bench_world::{Notice, Policy, Timer, World},
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

/// Minimum number of owners whose queues a request joins at the same time.
const MIN_OWNERS: usize = 2;

/// Minimum time after which an unfinished handover counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Multiple of its predicted duration after which an unfinished handover counts as stalled.
const STALL_FACTOR: f64 = 6.0;

/// A request in the queue of one owner.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    job: JobKey,
    role: Role,
    owner: u32,
    since: Tick,
}

/// Policy of the daemon: owners grant a decode endpoint first and a prefill endpoint after it, with
/// the decision code of the daemon.
#[derive(Debug)]
pub(super) struct OwnedPolicy {
    /// Engines as their owners know them.
    views: SecondaryMap<EndpointKey, BenchView>,
    /// Index of each host.
    hosts: SlotMap<HostKey, u32>,
    /// Requests in the queues of all owners.
    queue: Vec<QueueEntry>,
    /// Recent use by branch, for fair sharing.
    shares: HashMap<u32, FairShare>,
    /// Greatest free memory of an engine, in pieces, and queue length, by owner and role, as of the
    /// latest load reports.
    digests: HashMap<(u32, Role), (u32, u32)>,
    /// Endpoint that last failed a request; the next attempt does not use it.
    avoid: SecondaryMap<JobKey, EndpointKey>,
    /// Number of grants so far, which selects the ranking for the next one.
    turn: u64,
    /// Whether one host owns all engines and knows their state without delay.
    single_owner: bool,
}

impl OwnedPolicy {
    /// Creates the owners of the simulated engines; if `single_owner`, one host owns all engines
    /// and knows their state without delay.
    pub(super) fn new(world: &World, single_owner: bool) -> Self {
        let mut views = SecondaryMap::new();
        for (key, engine) in &world.engines {
            let owner = if single_owner { 0 } else { engine.owner };
            views.insert(key, BenchView::new(engine.role, owner));
        }
        let mut hosts = SlotMap::with_key();
        for host in 0..HOSTS {
            hosts.insert(host);
        }
        Self {
            views,
            hosts,
            queue: Vec::new(),
            shares: HashMap::new(),
            digests: HashMap::new(),
            avoid: SecondaryMap::new(),
            turn: 0,
            single_owner,
        }
    }

    /// Adds a request to the queues of the best owners.
    fn enqueue(&mut self, world: &mut World, job: JobKey, role: Role) {
        let mut options = self.options(job, role);
        let pieces = pieces(world, job, role);
        order_owners(&mut options, pieces);
        let chosen: Vec<u32> = options
            .iter()
            .take(owners_to_request(&options, MIN_OWNERS))
            .map(|option| self.hosts[option.host])
            .collect();
        for owner in &chosen {
            self.queue.push(QueueEntry {
                job,
                role,
                owner: *owner,
                since: world.now,
            });
        }
        for owner in chosen {
            self.serve(world, owner, role);
        }
    }

    /// Owners that have engines of `role`, with their load as of the latest reports.
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
                tie_break: tie_hash(job, *owner),
            });
        }
        options
    }

    /// Grants endpoints to the requests in one queue until none can be granted.
    fn serve(&mut self, world: &mut World, owner: u32, role: Role) {
        while let Some((job, option)) = self.next_grant(world, owner, role) {
            self.grant(world, job, role, &option);
        }
    }

    /// Highest-ranked request in a queue that can be granted an endpoint, with that endpoint.
    fn next_grant(&self, world: &World, owner: u32, role: Role) -> Option<(JobKey, GrantOption)> {
        let entries = self.queue.iter();
        let entries = entries.filter(|entry| entry.owner == owner && entry.role == role);
        let late = self.turn % LATE_GRANT_INTERVAL == LATE_GRANT_INTERVAL - 1;
        let order = if late { late_rank } else { rank };
        let mean = self.mean_share(world.now);
        let mut ranked: Vec<_> = entries
            .map(|entry| {
                let waiting = self.describe(world, entry, mean);
                (order(&waiting, world.now), entry.job)
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .find_map(|(_, job)| Some((job, self.choose(world, job, owner, role)?)))
    }

    /// Describes a queued request to the ranking; `mean` is the mean share of all branches.
    fn describe(&self, world: &World, entry: &QueueEntry, mean: f64) -> Waiting {
        let job = &world.jobs[entry.job];
        let share = self.shares.get(&job.branch);
        Waiting {
            arrived: entry.since,
            priority: job.priority,
            due: job.arrived + FIRST_TOKEN_TARGET,
            work: self.work(job, entry),
            share: share.map_or(0.0, |share| share.used(world.now)) / mean,
        }
    }

    /// Predicted time to prefill the prompt; zero in a decode queue, whose owner cannot predict it.
    fn work(&self, job: &Job, entry: &QueueEntry) -> Duration {
        if entry.role != Role::Prefill {
            return Duration::ZERO;
        }
        let views = self.views.values();
        let owned = views.filter(|view| view.owner == entry.owner && view.role == entry.role);
        let times = owned.map(|view| {
            let uncached = job.prompt - view.cached(job);
            view.fit.predict(f64::from(uncached))
        });
        times.min().unwrap_or_default()
    }

    /// Mean of the branches' shares in use, at least 1.
    fn mean_share(&self, now: Tick) -> f64 {
        let total: f64 = self.shares.values().map(|share| share.used(now)).sum();
        (total / self.shares.len().max(1) as f64).max(1.0)
    }

    /// Endpoint of an owner for a request; `None` if no endpoint can be granted.
    fn choose(&self, world: &World, key: JobKey, owner: u32, role: Role) -> Option<GrantOption> {
        let job = &world.jobs[key];
        let avoid = self.avoid.get(key).copied();
        let candidates = self.views.iter().filter(|(endpoint, view)| {
            view.owner == owner && view.role == role && avoid != Some(*endpoint)
        });
        let options: Vec<GrantOption> = candidates
            .filter_map(|(endpoint, view)| view.grant_option(endpoint, job, world.now))
            .collect();
        let need = GrantNeed {
            pieces: pieces(world, key, role),
            prompt: job.prompt,
            per_token: Some(PER_TOKEN_TARGET),
        };
        match role {
            Role::Prefill => choose_prefill(&options, &need),
            Role::Decode | Role::Service => choose_decode(&options, &need),
        }
    }

    /// Grants an endpoint. After a decode grant the request joins the prefill queues; after a
    /// prefill grant its prefill starts.
    fn grant(&mut self, world: &mut World, key: JobKey, role: Role, option: &GrantOption) {
        self.turn += 1;
        self.queue.retain(|entry| entry.job != key);
        let job = &world.jobs[key];
        let uncached = job.prompt.saturating_sub(option.cached).max(1);
        let pieces = pieces(world, key, role);
        let share = self.shares.entry(job.branch).or_default();
        share.add(f64::from(pieces), world.now);
        self.views[option.endpoint].grants.push(BenchGrant {
            job: key,
            pieces,
            since: world.now,
            work: option.unit_time * uncached,
        });
        match role {
            Role::Prefill => world.prefill(key, option.endpoint),
            Role::Decode | Role::Service => {
                world.jobs[key].granted_decode = Some(option.endpoint);
                self.enqueue(world, key, Role::Prefill);
            }
        }
    }

    /// Releases the grant at an engine and serves the queue of its owner.
    fn release(&mut self, world: &mut World, job: JobKey, endpoint: Option<EndpointKey>) {
        let Some(endpoint) = endpoint else {
            return;
        };
        let view = &mut self.views[endpoint];
        let (owner, role) = (view.owner, view.role);
        if view.remove_grant(job).is_some() {
            self.serve(world, owner, role);
        }
    }

    /// Records that a prompt is prefilled and starts its handover.
    fn computed(&mut self, world: &mut World, key: JobKey) {
        let job = &world.jobs[key];
        let (Some(prefill), Some(decode)) = (job.prefill, job.granted_decode) else {
            return;
        };
        let view = &mut self.views[prefill];
        view.outlier.succeed(world.now);
        view.cache.insert(job.prefix);
        if let Some(grant) = view.grants.iter_mut().find(|grant| grant.job == key) {
            let took = world.now.since(grant.since.max(view.ended));
            view.fit.add_sample(f64::from(job.computed), took);
            grant.work = Duration::ZERO;
        }
        view.ended = world.now;
        if self.single_owner {
            view.cache = world.engines[prefill].cache.iter().copied().collect();
        }
        let owner = view.owner;
        let predicted = f64::from(job.prompt) / LINK_TOKENS_PER_S * STALL_FACTOR;
        let limit = MIN_STALL_TIMEOUT.max(Duration::from_secs_f64(predicted));
        if world.import(key, decode).is_ok() {
            world.start_timer(key, limit, Timer::Stall);
        }
        self.serve(world, owner, Role::Prefill);
    }

    /// Records that a response is complete and releases the decode endpoint.
    fn done(&mut self, world: &mut World, key: JobKey) {
        let job = &world.jobs[key];
        let Some(decode) = job.granted_decode else {
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

    /// Starts another attempt after a failure at an endpoint.
    fn failed(&mut self, world: &mut World, key: JobKey, endpoint: EndpointKey) {
        self.views[endpoint].outlier.fail(world.now);
        let job = &mut world.jobs[key];
        let decode = job.granted_decode.take();
        let prefills = world.engines_of(Role::Prefill);
        world.abort(key);
        self.avoid.insert(key, endpoint);
        let left = START_TIMEOUT.saturating_sub(world.now.since(world.jobs[key].arrived));
        world.start_timer(key, left, Timer::StartTimeout);
        for prefill in prefills {
            self.release(world, key, Some(prefill));
        }
        self.release(world, key, decode);
        self.enqueue(world, key, Role::Decode);
    }

    /// Abandons a request that still waits for a grant.
    fn abandon(&mut self, world: &mut World, key: JobKey) {
        let waits = self.queue.iter().any(|entry| entry.job == key);
        if !waits {
            return;
        }
        self.queue.retain(|entry| entry.job != key);
        let decode = world.jobs[key].granted_decode.take();
        world.jobs[key].stage = Stage::Dropped;
        self.release(world, key, decode);
    }

    /// Takes over new load reports and serves all queues.
    fn sampled(&mut self, world: &mut World) {
        for (key, view) in &mut self.views {
            let (_, report) = world.report(key);
            if self.single_owner {
                continue;
            }
            view.cache = report.cache.into_iter().collect();
        }
        self.digests.clear();
        for view in self.views.values() {
            let digest = self.digests.entry((view.owner, view.role)).or_default();
            digest.0 = digest.0.max(view.free());
        }
        for entry in &self.queue {
            let digest = self.digests.entry((entry.owner, entry.role)).or_default();
            digest.1 += 1;
        }
        for owner in 0..HOSTS {
            self.serve(world, owner, Role::Decode);
            self.serve(world, owner, Role::Prefill);
        }
    }
}

impl Policy for OwnedPolicy {
    fn handle(&mut self, world: &mut World, notice: Notice) {
        match notice {
            Notice::Arrived(job) => {
                world.start_timer(job, START_TIMEOUT, Timer::StartTimeout);
                self.enqueue(world, job, Role::Decode);
            }
            Notice::Computed(job) => self.computed(world, job),
            Notice::Transferred(job) => {
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
            Notice::Expired(job, Timer::Stall) => {
                let stalled = world.jobs[job]
                    .prefill
                    .filter(|_| world.jobs[job].stage == Stage::Transferring);
                if let Some(prefill) = stalled {
                    self.failed(world, job, prefill);
                }
            }
            Notice::Expired(job, Timer::StartTimeout) => self.abandon(world, job),
            Notice::Expired(_, Timer::Retry) => {}
            Notice::Sampled => self.sampled(world),
        }
    }
}

/// Pieces of memory that a request needs at an engine of `role`.
fn pieces(world: &World, key: JobKey, role: Role) -> u32 {
    let job = &world.jobs[key];
    match role {
        Role::Prefill => job.prompt.div_ceil(PIECE_TOKENS),
        Role::Decode | Role::Service => job.pieces(),
    }
}

/// Hash that distributes requests over owners with equal load.
fn tie_hash(job: JobKey, owner: u32) -> u64 {
    let seed = slotmap::Key::data(&job).as_ffi() ^ (u64::from(owner) << 48);
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}
