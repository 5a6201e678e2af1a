use {
    super::{
        bench_job::JobKey,
        bench_profile::{
            LINK_TOKENS_PER_S, MAX_CACHED_PREFIXES, STEP_BASE_TIME, STEP_TIME_PER_REQUEST,
        },
    },
    crate::board::{Role, Tick},
    std::{collections::VecDeque, time::Duration},
};

/// State of a simulated engine.
#[derive(Clone, Debug)]
pub(super) struct BenchEngine {
    /// Whether it prefills or decodes.
    pub(super) role: Role,
    /// Index of the host that owns it.
    pub(super) owner: u32,
    /// Whether it accepts every request and then fails it.
    pub(super) broken: bool,
    /// Requests whose prompts wait, in order; the first one is being prefilled.
    pub(super) queue: VecDeque<JobKey>,
    /// Cached prefixes, the least recently used first.
    pub(super) cache: VecDeque<u32>,
    /// Outgoing link for handovers from this engine.
    pub(super) link: Link,
    /// Pieces of engine memory in use.
    pub(super) used: u32,
    /// Attempts that hold memory: their KV cache is being transferred or they are in the batch.
    pub(super) held: u32,
    /// Requests that the next decode step generates a token for.
    pub(super) batch: Vec<JobKey>,
    /// Number of the latest decode step; events of steps with another number are ignored.
    pub(super) steps: u64,
    /// Whether a decode step is running.
    pub(super) stepping: bool,
}

/// Load report of a simulated engine.
#[derive(Clone, Debug, Default)]
pub(super) struct BenchReport {
    /// Number of queued prompts, the running one included, plus attempts that hold memory.
    pub(super) load: u32,
    /// Cached prefixes.
    pub(super) cache: Vec<u32>,
}

impl BenchEngine {
    /// Creates an idle engine.
    pub(super) fn new(role: Role, owner: u32) -> Self {
        Self {
            role,
            owner,
            broken: false,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            link: Link::default(),
            used: 0,
            held: 0,
            batch: Vec::new(),
            steps: 0,
            stepping: false,
        }
    }

    /// Marks a prefix as most recently used and returns whether it was cached.
    pub(super) fn use_prefix(&mut self, prefix: u32) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > MAX_CACHED_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }

    /// Duration of a decode step with the present batch.
    pub(super) fn step_time(&self) -> Duration {
        STEP_BASE_TIME + STEP_TIME_PER_REQUEST * self.batch.len() as u32
    }

    /// Returns a report of the present load.
    pub(super) fn report(&self) -> BenchReport {
        BenchReport {
            load: self.queue.len() as u32 + self.held,
            cache: self.cache.iter().copied().collect(),
        }
    }
}

/// Network link of a prefill engine; its handovers in progress share the rate equally.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Transfer rate in tokens of KV cache per second; 0 while the link is stalled.
    pub(super) rate: f64,
    /// Handovers in progress with the tokens that are left to transfer.
    pub(super) active: Vec<(JobKey, f64)>,
    /// Time up to which `active` is computed.
    pub(super) updated: Tick,
    /// Number of changes so far; an end that was predicted before the last change is ignored.
    pub(super) version: u64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            rate: LINK_TOKENS_PER_S,
            active: Vec::new(),
            updated: Tick::default(),
            version: 0,
        }
    }
}

impl Link {
    /// Advances every handover to `now`.
    pub(super) fn advance(&mut self, now: Tick) {
        let share = self.rate / self.active.len().max(1) as f64;
        let moved = share * now.since(self.updated).as_secs_f64();
        for (_, left) in &mut self.active {
            *left -= moved;
        }
        self.updated = now;
        self.version += 1;
    }

    /// Time until the next handover ends; `None` without handovers or on a stalled link.
    pub(super) fn next_end(&self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let left = self.active.iter().map(|(_, left)| *left);
        let min_tokens = left.min_by(f64::total_cmp)?;
        let share = self.rate / self.active.len() as f64;
        // The extra microsecond makes up for the truncation to whole ticks.
        Some(Duration::from_secs_f64(min_tokens.max(0.0) / share) + Duration::from_micros(1))
    }

    /// Removes the handovers that have ended and returns their requests.
    pub(super) fn remove_ended(&mut self) -> Vec<JobKey> {
        // Up to a thousandth of a token may be left because of rounding.
        let (ended, active) = self.active.drain(..).partition(|(_, left)| *left <= 1e-3);
        self.active = active;
        let ended: Vec<(JobKey, f64)> = ended;
        ended.into_iter().map(|(job, _)| job).collect()
    }
}
