use {
    super::{
        bench_engine::{BenchEngine, BenchReport},
        bench_job::{Job, JobKey},
        bench_profile::{BenchProfile, HOSTS, LINK_TOKENS_PER_S},
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

/// Injected fault of an engine, or its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    /// The engine accepts every request and fails it.
    Break(EndpointKey),
    /// The engine's link transfers nothing.
    Stall(EndpointKey),
    /// The engine's link resumes.
    ResumeLink(EndpointKey),
}

/// Purpose of a timer that a policy has started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// Retries the handover.
    Retry,
    /// Checks whether the handover has ended.
    Stall,
    /// Checks whether the request has started.
    StartTimeout,
}

/// Scheduled event of the simulation. Events that carry an attempt, a link version or a step number
/// are ignored if these are outdated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A request arrives.
    Arrive(JobKey),
    /// A prefill ends: engine, request, attempt and prompt tokens computed.
    Computed(EndpointKey, JobKey, u32, u32),
    /// The KV cache of a request and attempt is due for eviction.
    Evict(JobKey, u32),
    /// A handover on an engine's link ends, as predicted for this version of the link.
    LinkEnd(EndpointKey, u64),
    /// The decode step with this number ends.
    Step(EndpointKey, u64),
    /// A broken engine fails a request and attempt.
    Broken(EndpointKey, JobKey, u32),
    /// A timer of a request and attempt expires.
    Timer(JobKey, u32, Timer),
    /// A fault begins or ends.
    Fault(Fault),
    /// All engines report their load.
    Sample,
}

/// Notification to a policy.
#[derive(Clone, Copy, Debug)]
pub(super) enum Notice {
    /// A request has arrived.
    Arrived(JobKey),
    /// The prompt is prefilled and the KV cache waits for the handover.
    Computed(JobKey),
    /// The KV cache was evicted before the handover.
    Evicted(JobKey),
    /// The KV cache has arrived at the decode engine; generation begins.
    Transferred(JobKey),
    /// The response is complete.
    Done(JobKey),
    /// An endpoint failed the request.
    Failed(JobKey, EndpointKey),
    /// A timer has expired.
    Expired(JobKey, Timer),
    /// New load reports have been taken.
    Sampled,
}

/// Why a handover was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HandoverRefusal {
    /// The decode endpoint has too little free memory.
    Full,
    /// The KV cache is not available: it has been evicted or the attempt has been aborted.
    KvEvicted,
}

/// Routing policy of a simulation.
pub(super) trait Policy {
    /// Handles a notice by acting on the simulation.
    fn handle(&mut self, world: &mut World, notice: Notice);
}

/// Discrete-event simulation of engines and requests.
#[derive(Debug)]
pub(super) struct World {
    /// Present time of the simulation.
    pub(super) now: Tick,
    /// Simulated engines.
    pub(super) engines: SlotMap<EndpointKey, BenchEngine>,
    /// Simulated requests, ended ones included.
    pub(super) jobs: SlotMap<JobKey, Job>,
    /// Prompt tokens computed so far.
    pub(super) computed: u64,
    /// Prompt tokens computed so far that no decode engine will use.
    pub(super) wasted: u64,
    /// Scheduled events by time, then by the order of scheduling.
    events: BinaryHeap<Reverse<(Tick, u64, Event)>>,
    /// Number of events scheduled so far.
    sequence: u64,
    /// Latest load reports of each engine with the times at which they were taken, oldest first.
    reports: SecondaryMap<EndpointKey, VecDeque<(Tick, BenchReport)>>,
    /// Delay with which load reports arrive.
    report_age: Duration,
    /// Notices that the policy has yet to handle.
    pub(super) notices: VecDeque<Notice>,
    /// Time at which the run ends.
    end: Tick,
}

impl World {
    /// Creates the engines of a profile; load reports arrive `report_age` after they were taken,
    /// and the run ends at `end`.
    pub(super) fn new(profile: &BenchProfile, report_age: Duration, end: Tick) -> Self {
        let mut world = Self {
            now: Tick::default(),
            engines: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            computed: 0,
            wasted: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            reports: SecondaryMap::new(),
            report_age,
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

    /// Schedules the arrivals of requests.
    pub(super) fn add_jobs(&mut self, jobs: Vec<Job>) {
        for job in jobs {
            let delay = job.arrived.since(self.now);
            let key = self.jobs.insert(job);
            self.schedule(delay, Event::Arrive(key));
        }
    }

    /// Schedules a fault after `delay`.
    pub(super) fn add_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(delay, Event::Fault(fault));
    }

    /// Starts a timer for a request; it is dropped if the request starts another attempt.
    pub(super) fn start_timer(&mut self, job: JobKey, delay: Duration, timer: Timer) {
        let attempt = self.jobs[job].attempt;
        self.schedule(delay, Event::Timer(job, attempt, timer));
    }

    /// Returns the engines that have `role`.
    pub(super) fn engines_of(&self, role: Role) -> Vec<EndpointKey> {
        let engines = self.engines.iter();
        let found = engines.filter(|(_, engine)| engine.role == role);
        found.map(|(key, _)| key).collect()
    }

    /// Returns the latest load report that has arrived, with the time at which it was taken; an
    /// empty one if none has arrived.
    pub(super) fn report(&self, engine: EndpointKey) -> (Tick, BenchReport) {
        let known = self.reports[engine].iter().rev();
        let mut arrived = known.filter(|(taken, _)| *taken + self.report_age <= self.now);
        arrived.next().cloned().unwrap_or_default()
    }

    /// Advances the simulation to the next notice and returns it; `None` when the run has ended.
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
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.notices.push_back(Notice::Arrived(job)),
            Event::Computed(engine, job, attempt, tokens) => {
                self.end_prefill(engine, job, attempt, tokens);
            }
            Event::Evict(job, attempt) => self.evict(job, attempt),
            Event::LinkEnd(engine, version) => self.end_handovers(engine, version),
            Event::Step(engine, number) => self.end_step(engine, number),
            Event::Broken(engine, job, attempt) => self.fail_job(engine, job, attempt),
            Event::Timer(job, attempt, timer) => {
                if self.jobs[job].attempt == attempt {
                    self.notices.push_back(Notice::Expired(job, timer));
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
                    self.fail_job(key, job, attempt);
                }
            }
            Fault::Stall(key) => self.set_rate(key, 0.0),
            Fault::ResumeLink(key) => self.set_rate(key, LINK_TOKENS_PER_S),
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
            // More than enough for the greatest report age, 5 s at one report per second.
            if history.len() > 16 {
                history.pop_front();
            }
        }
        self.notices.push_back(Notice::Sampled);
        self.schedule(REPORT_PERIOD, Event::Sample);
    }

    /// Schedules the end of the next handover on an engine's link.
    pub(super) fn schedule_link(&mut self, key: EndpointKey) {
        let link = &self.engines[key].link;
        let version = link.version;
        if let Some(delay) = link.next_end() {
            self.schedule(delay, Event::LinkEnd(key, version));
        }
    }

    /// Schedules an event after `delay`; events at the same time are processed in the order in
    /// which they were scheduled.
    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}
