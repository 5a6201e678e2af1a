use {
    super::{
        bench_engine::{BenchEngine, BenchReport},
        bench_job::{Job, JobKey},
        bench_profile::{BenchProfile, HOSTS, LINK_RATE},
    },
    crate::{
        board::{Role, Tick},
        key::EndpointKey,
    },
    slotmap::{SecondaryMap, SlotMap},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// Time between two load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// A change of the engines at a moment of the run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    /// The engine takes every request and breaks it.
    Break(EndpointKey),
    /// The engine's link stops.
    Stall(EndpointKey),
    /// The engine's link runs again.
    Unstall(EndpointKey),
}

/// Why a timer of a policy was set.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Wake {
    /// Try the handover again.
    Retry,
    /// Look whether the handover has ended.
    Stall,
    /// Look whether the request has started.
    Patience,
}

/// Something that happens at a moment of the run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    Arrive(JobKey),
    Computed(EndpointKey, JobKey, u32, u32),
    Evict(JobKey, u32),
    LinkEnd(EndpointKey, u64),
    Step(EndpointKey, u64),
    Broken(EndpointKey, JobKey, u32),
    Wake(JobKey, u32, Wake),
    Fault(Fault),
    Sample,
}

/// What a policy is told.
#[derive(Clone, Copy, Debug)]
pub(super) enum Notice {
    /// A request has arrived.
    Arrived(JobKey),
    /// Its prompt is computed; the KV cache waits for export.
    Computed(JobKey),
    /// Its KV cache was evicted before the handover.
    Evicted(JobKey),
    /// Its KV cache has arrived; generation begins.
    Moved(JobKey),
    /// Its answer is whole.
    Done(JobKey),
    /// An endpoint broke it.
    Failed(JobKey, EndpointKey),
    /// A timer has run out.
    Woken(JobKey, Wake),
    /// Load reports are due.
    Sampled,
}

/// Why a handover did not begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Unmoved {
    /// The decode endpoint has no memory left.
    Full,
    /// The KV cache is gone.
    Gone,
}

/// How a policy serves requests.
pub(super) trait Policy {
    /// Takes in a notice and acts on the world.
    fn take(&mut self, world: &mut World, notice: Notice);
}

/// Engines, requests and time.
#[derive(Debug)]
pub(super) struct World {
    /// Time.
    pub(super) now: Tick,
    /// Engines.
    pub(super) engines: SlotMap<EndpointKey, BenchEngine>,
    /// Requests.
    pub(super) jobs: SlotMap<JobKey, Job>,
    /// Prompt tokens computed.
    pub(super) computed: u64,
    /// Prompt tokens computed and never decoded from.
    pub(super) wasted: u64,
    events: BinaryHeap<Reverse<(Tick, u64, Event)>>,
    sequence: u64,
    reports: SecondaryMap<EndpointKey, VecDeque<(Tick, BenchReport)>>,
    lag: Duration,
    pub(super) notices: VecDeque<Notice>,
    end: Tick,
}

impl World {
    /// Creates the engines of a profile; reports are `lag` old.
    pub(super) fn new(profile: &BenchProfile, lag: Duration, end: Tick) -> Self {
        let mut world = Self {
            now: Tick::default(),
            engines: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            computed: 0,
            wasted: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            reports: SecondaryMap::new(),
            lag,
            notices: VecDeque::new(),
            end,
        };
        let prefills = (0..profile.prefills).map(|index| (Role::Prefill, index));
        let decodes = (0..profile.decodes).map(|index| (Role::Decode, index));
        for (role, index) in prefills.chain(decodes) {
            let engine = BenchEngine::new(role, index % HOSTS);
            let key = world.engines.insert(engine);
            world.reports.insert(key, VecDeque::new());
        }
        world.schedule(Duration::ZERO, Event::Sample);
        world
    }

    /// Adds the requests of a run.
    pub(super) fn add_jobs(&mut self, jobs: Vec<Job>) {
        for job in jobs {
            let delay = job.arrived.since(self.now);
            let key = self.jobs.insert(job);
            self.schedule(delay, Event::Arrive(key));
        }
    }

    /// Adds a fault that happens after `delay`.
    pub(super) fn add_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(delay, Event::Fault(fault));
    }

    /// Sets a timer of a policy; it is void once the request starts another attempt.
    pub(super) fn wake(&mut self, job: JobKey, delay: Duration, wake: Wake) {
        let attempt = self.jobs[job].attempt;
        self.schedule(delay, Event::Wake(job, attempt, wake));
    }

    /// Returns the engines of a role.
    pub(super) fn engines_of(&self, role: Role) -> Vec<EndpointKey> {
        let engines = self.engines.iter();
        let found = engines.filter(|(_, engine)| engine.role == role);
        found.map(|(key, _)| key).collect()
    }

    /// Returns the newest load report that has arrived, with the time at which it was true.
    pub(super) fn report(&self, engine: EndpointKey) -> (Tick, BenchReport) {
        let known = self.reports[engine].iter().rev();
        let mut arrived = known.filter(|(taken, _)| *taken + self.lag <= self.now);
        arrived.next().cloned().unwrap_or_default()
    }

    /// Runs on to the next notice; nothing when the run has ended.
    pub(super) fn next_notice(&mut self) -> Option<Notice> {
        loop {
            if let Some(notice) = self.notices.pop_front() {
                return Some(notice);
            }
            let Reverse((at, _, event)) = self.events.pop()?;
            if at > self.end {
                return None;
            }
            self.now = at;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.notices.push_back(Notice::Arrived(job)),
            Event::Computed(engine, job, attempt, tokens) => {
                self.end_prefill(engine, job, attempt, tokens);
            }
            Event::Evict(job, attempt) => self.evict(job, attempt),
            Event::LinkEnd(engine, version) => self.end_handovers(engine, version),
            Event::Step(engine, number) => self.end_step(engine, number),
            Event::Broken(engine, job, attempt) => self.break_job(engine, job, attempt),
            Event::Wake(job, attempt, wake) => {
                if self.jobs[job].attempt == attempt {
                    self.notices.push_back(Notice::Woken(job, wake));
                }
            }
            Event::Fault(fault) => self.apply(fault),
            Event::Sample => self.sample(),
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Break(key) => {
                let engine = &mut self.engines[key];
                engine.broken = true;
                let running: Vec<JobKey> =
                    engine.batch.iter().chain(&engine.queue).copied().collect();
                for job in running {
                    let attempt = self.jobs[job].attempt;
                    self.break_job(key, job, attempt);
                }
            }
            Fault::Stall(key) => self.set_rate(key, 0.0),
            Fault::Unstall(key) => self.set_rate(key, LINK_RATE),
        }
    }

    fn set_rate(&mut self, key: EndpointKey, rate: f64) {
        let link = &mut self.engines[key].link;
        link.advance(self.now);
        link.rate = rate;
        self.schedule_link(key);
    }

    fn sample(&mut self) {
        for (key, engine) in &self.engines {
            let history = &mut self.reports[key];
            history.push_back((self.now, engine.report()));
            if history.len() > 16 {
                history.pop_front();
            }
        }
        self.notices.push_back(Notice::Sampled);
        self.schedule(REPORT_PERIOD, Event::Sample);
    }

    pub(super) fn schedule_link(&mut self, key: EndpointKey) {
        let link = &self.engines[key].link;
        let version = link.version;
        if let Some(delay) = link.next_end() {
            self.schedule(delay, Event::LinkEnd(key, version));
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}
